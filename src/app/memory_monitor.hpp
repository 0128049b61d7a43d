// Watches the memory account: reports who holds how much while it is high, and returns the heap's free memory
// to the system once much less of it is in use than before. By default glibc keeps what is freed below a
// block that is still used.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/memory_account.hpp"

namespace cairnjunction {

class MemoryMonitor {
 public:
  using Report = std::function<void(const std::string& line)>;

  // `limitBytes`: memory that the process may use. `report` is called about once a second while a quarter of
  // it or more is held.
  MemoryMonitor(boost::asio::io_context& io, std::shared_ptr<MemoryAccount> memory, std::size_t limitBytes,
                Report report);
  void setLimit(std::size_t limitBytes) { limitBytes_ = limitBytes; }

 private:
  void check();
  void trimHeap();

  const std::shared_ptr<MemoryAccount> memory_;
  std::size_t limitBytes_;
  const Report report_;
  std::size_t peak_ = 0;  // of the account, since the heap was last trimmed
  boost::asio::steady_timer timer_;
};

// The line on who holds how much, in bytes.
std::string memoryLine(const MemoryAccount& memory, std::size_t limitBytes);

}  // namespace cairnjunction
