#include "app/memory_monitor.hpp"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cairnjunction {
namespace {

constexpr auto kCheckInterval = std::chrono::seconds(1);
constexpr std::size_t kMinFreedBytes = 4 << 20;  // a trim walks over the whole heap
constexpr std::size_t kHighPart = 4;             // 1/n of the limit

}  // namespace

std::string memoryLine(const MemoryAccount& memory, std::size_t limitBytes) {
  const auto held = [&](MemoryOwner owner) { return std::to_string(memory.held(owner)); };
  return "memory-high requests=" + held(MemoryOwner::clientRequests) +
         " responses=" + held(MemoryOwner::clientResponses) +
         " endpoints=" + held(MemoryOwner::endpointResponses) +
         " jsonrpc=" + held(MemoryOwner::jsonRpcClients) + " limit=" + std::to_string(limitBytes);
}

MemoryMonitor::MemoryMonitor(boost::asio::io_context& io, std::shared_ptr<MemoryAccount> memory,
                             std::size_t limitBytes, Report report)
    : memory_(std::move(memory)), limitBytes_(limitBytes), report_(std::move(report)), timer_(io) {
  check();
}

void MemoryMonitor::check() {
  if (memory_->total() >= limitBytes_ / kHighPart) report_(memoryLine(*memory_, limitBytes_));
  trimHeap();
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) check();
  });
}

void MemoryMonitor::trimHeap() {
  peak_ = std::max(peak_, memory_->takePeak());
  if (peak_ < memory_->total() + kMinFreedBytes) return;
  ::malloc_trim(0);
  peak_ = memory_->total();
}

}  // namespace cairnjunction
