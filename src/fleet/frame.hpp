// What members and keepers say to each other: one MessagePack array behind its length in four bytes (big end
// first). Bounded before it is kept, checked whole before it is used.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "agreement/identity.hpp"
#include "duty/fence.hpp"
#include "duty/registry.hpp"

namespace cairnjunction::fleet {

inline constexpr int kProtocol = 1;
// A list of 10,000 hosts has 2 MB; anything larger comes from somebody else.
inline constexpr std::size_t kFrameMost = 4 << 20;

struct Hello {  // a member's first word
  int protocol = kProtocol;
  std::string fleet;
  duty::Member member;
  std::string zone;
  bool willing = true;
};
struct KeeperHello {  // a keeper's, before it votes
  int protocol = kProtocol;
  std::string fleet;
  int number = 0;
  agreement::Mark mark;
};
struct KeeperAnswer {
  int number = 0;
  agreement::Mark mark;
  std::string why;  // empty: it may vote
};
struct Welcome {  // the leader's; sent after the member's `joined` is on the log
  int keeper = 0;
  std::uint32_t members = 0;
  std::map<duty::Key, duty::Fence::Mark> marks;  // without senders
};
struct Elsewhere {  // this keeper does not lead
  int keeper = 0;   // 0: it does not know who does
};
struct TurnedAway {
  std::string why;
};
struct Beat {
  std::int64_t stamp = 0;  // the member's clock before it wrote this, ms
  std::vector<duty::Renewed::Held> held;
};
struct Grant {
  duty::Key key;
  duty::Epoch epoch = 0;
  duty::Sequence sequence = 0;
  std::int64_t askedAt = 0;  // the member's stamp that it answers
  std::int64_t lease = 0;    // ms
};
struct Pulse {  // answers a beat, or tells of a grant
  std::uint32_t members = 0;
  std::vector<Grant> granted;
  std::vector<std::pair<duty::Key, duty::Epoch>> lost;
};
struct GiveBack {
  duty::Key key;
  duty::Epoch epoch = 0;
  bool failed = false;
};
struct HandOver {  // the owner is to give it back as soon as it can
  duty::Key key;
  duty::Epoch epoch = 0;
};
struct Order {
  duty::OrderId id;
  bool keep = false;  // the last one of its key is given to those that join
  std::string body;
};
struct Leave {};  // a member stops and owns nothing any more; and the keeper's word that this is on the log

using Message = std::variant<Hello, KeeperHello, KeeperAnswer, Welcome, Elsewhere, TurnedAway, Beat, Pulse,
                             GiveBack, HandOver, Order, Leave>;

struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Bytes = std::shared_ptr<const std::string>;  // one frame, shared by all the links it goes to

Bytes encode(const Message& message);      // with its length. Throws BadFrame past kFrameMost.
Message decode(std::string_view payload);  // without. Throws BadFrame.

}  // namespace cairnjunction::fleet
