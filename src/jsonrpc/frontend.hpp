// JSON-RPC 2.0 and 1.0 frontend over TCP: turns requests into calls of the engine, and its replies into
// responses. Handles ids, batches, notifications and named sessions; all decisions on calls are the engine's.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/callback_guard.hpp"
#include "core/engine.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/reply.hpp"
#include "jsonrpc/server.hpp"
#include "jsonrpc/session_table.hpp"
#include "jsonrpc/settings.hpp"

namespace cairnjunction::jsonrpc {

// The gateway's own method; the specification reserves names that begin with `rpc.` for extensions.
inline constexpr std::string_view kSessionMethod = "rpc.session";

class Frontend final : public ReplySink {
 public:
  // Listens at once; throws boost::system::system_error. `settings` must be resolved (resolve()) and have a
  // listener. `gateway`: prefix of call ids, unique among all gateways that use the same workers and for each
  // start of one. All references must outlive this object. `memory`: see Server.
  Frontend(boost::asio::io_context& io, const Settings& settings, Engine& engine, std::string gateway,
           std::shared_ptr<MemoryAccount> memory = nullptr);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return server_.listening(); }
  void onReply(std::uint64_t ticket, Reply reply) override;
  void stopAccepting(std::function<void()> onEmpty);
  void stopReading() { server_.stopReading(); }  // after stopAccepting: connections end with their open calls
  std::size_t connections() const { return server_.connections(); }
  std::size_t openCalls() const { return slots_.size(); }
  std::size_t bytes() const { return server_.bytes(); }  // of texts, open calls and replies
  const SessionTable& sessions() const { return table_; }

 private:
  // The responses to one text; they are sent together once the last is complete.
  struct Group {
    ConnectionId connection = 0;
    bool batch = false;
    std::size_t pending = 1;           // responses not complete yet, plus one while the text is read
    std::vector<std::string> replies;  // by position in the text; empty: no response
    std::size_t bytes = 0;
    std::unordered_set<std::string> keys;  // ids of the batch's calls, each used once
  };
  using GroupPtr = std::shared_ptr<Group>;

  struct Slot {      // a call that is open
    GroupPtr group;  // null: a notification, or its connection closed
    ConnectionId connection = 0;
    std::size_t place = 0;
    int version = 2;
    std::string id, key;  // as written; as compared
    CallId call = 0;
    SessionTable::Id session = 0;  // 0: none
    std::size_t bytes = 0;         // counted against FrontendLimits::bytes
    bool safe = false;
  };
  struct Peer {                            // state of a connection
    std::unordered_set<std::string> keys;  // of the open calls that have an id
    std::unordered_set<std::uint64_t> slots;
    SessionTable::Id session = 0;
    std::size_t bad = 0, open = 0;  // invalid texts; calls and notifications in flight
  };

  void received(ConnectionId id, std::string_view text, std::chrono::steady_clock::time_point began);
  void rejectAll(ConnectionId id, std::string_view text);
  void take(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
            policy::Duration left);
  void reject(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry);
  bool answerFromSession(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
                         const SessionTable::KnownCall& found);
  void failAsIdInUse(const GroupPtr& group, std::size_t place, const Entry& entry);
  bool firstOfItsId(const Peer& peer, Group& group, const Entry& entry) const;
  void openSession(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry);
  policy::Duration timeFor(std::size_t i, const Entry& entry) const;
  void start(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
             const MethodSettings& method, policy::Duration left);
  void join(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
            std::uint64_t ticket);

  void deliver(const GroupPtr& group, std::size_t place, int version, std::string_view id,
               const Result& result);
  void fail(const GroupPtr& group, std::size_t place, const Entry& entry, int code, std::string_view message,
            std::string_view data = {});
  void complete(const GroupPtr& group);
  void leave(std::uint64_t ticket, const Slot& slot);
  void bad(ConnectionId id, const char* why);
  void gone(ConnectionId id);
  void drop(ConnectionId id, Peer& peer);
  policy::Timestamp now() const;
  void expire();

  const Settings& settings_;
  Engine& engine_;
  std::string gateway_;
  std::unordered_map<std::string_view, const MethodSettings*> methods_;
  Parser parser_, checker_;  // of texts; of workers' responses, while a text's views are in use
  SessionTable table_;
  std::unordered_map<std::uint64_t, Slot> slots_;
  std::unordered_map<ConnectionId, Peer> peers_;
  std::unordered_map<SessionTable::Id, ConnectionId> attached_;
  std::uint64_t lastTicket_ = 0;
  boost::asio::steady_timer expirer_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  Server server_;           // after the others: it may hand over texts at once
  CallbackGuard lifetime_;  // guards callbacks still queued in the event loop
};

}  // namespace cairnjunction::jsonrpc
