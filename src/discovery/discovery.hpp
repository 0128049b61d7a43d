// The watch on discovery. When to begin one anew after a failure is decided by the module.
//
// A watch can be lost without a word: its answer never comes, and what changed meanwhile is not heard. So one
// that has been silent for longer than it promised is asked anew beside the old one, which is kept until the
// new call is answered; and so it is when askBeside() is called. If that call knows more than the watch has
// told, the watch was lost: the new call takes its place, and the next watches promise less until one has
// kept its promise.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "discovery/host_list.hpp"

namespace cairnjunction {

class Discovery {
 public:
  struct Callbacks {
    std::function<void(const HostList&)> told;
    std::function<void()> failed;                // the watch is over
    std::function<void()> besideFailed = [] {};  // it goes on, and the call beside it was not answered
  };
  struct Waits {
    std::chrono::milliseconds watch{20000};      // a watch may wait so long,
    std::chrono::milliseconds leastWatch{5000};  // or as little as this once watches were lost;
    std::chrono::milliseconds late{250};         // past that it is asked anew beside,
    std::chrono::milliseconds answer{2000};      // and so much longer any call may take before it is given up
  };

  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
            Waits waits);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  void knows(std::int64_t version) { version_ = version; }  // of the list held already
  void watch();                                             // begins a watch; one that is on is given up
  // Another server from now on: the watch on the old one is kept until the new one has given its whole list.
  void moveTo(const boost::asio::ip::tcp::endpoint& server);
  // What is seen of the hosts contradicts the list. Ignored while such a call, or no watch, is on.
  void askBeside();
  void stop();

 private:
  struct Call;
  enum class Kind { list, first, next };
  using CallPtr = std::shared_ptr<Call>;

  void call(Kind kind);
  void callNew();
  void ended(const CallPtr& call, const std::optional<HostList>& list);
  void endedNew(const std::optional<HostList>& list);
  void endedBeside(const std::optional<HostList>& list);
  void late(const CallPtr& call);
  void giveUp(CallPtr& call);
  void begin(CallPtr& call, const boost::asio::ip::tcp::endpoint& server, Kind kind,
             std::chrono::milliseconds wait);
  void fail();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  Waits waits_;
  std::optional<std::int64_t> version_;
  CallPtr call_;
  std::optional<boost::asio::ip::tcp::endpoint> next_;  // the server to move to,
  CallPtr newCall_;                                     // and the call for its list
  CallPtr beside_;                                      // beside the watch
  std::chrono::milliseconds wait_;                      // of the watch
  bool overdue_ = false;                                // the watch has not kept its promise
};

}  // namespace cairnjunction
