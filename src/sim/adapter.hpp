// The line protocol between the adapter and what drives it: parsing, printing and bookkeeping of ids.
// No decision is made here.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::sim {

// Hosts many gateways, each with a Balancer of its own. Feed it line by line.
class Adapter {
 public:
  explicit Adapter(std::ostream& complaints);
  ~Adapter();

  // Takes one line without its line end. When the line closes a batch, appends the reply to `reply` and
  // returns true.
  bool feed(std::string_view line, std::string& reply);
  bool insideBatch() const { return insideBatch_; }
  std::size_t lineNumber() const { return lineNumber_; }

 private:
  struct Gateway;
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };
  struct List {
    bool known = false;
    std::vector<policy::EndpointInfo> entries;
  };

  void event(std::string_view name, std::string_view rest);
  void enlist(std::string_view rest);
  void row(std::string_view rest);
  void ledger(std::string_view rest);
  void membership(Gateway& gateway, std::string_view rest);
  void request(Gateway& gateway, std::string_view rest);
  void settled(Gateway& gateway, std::string_view rest);
  Gateway& gatewayOf(std::string_view rest);
  void print(Gateway& gateway);
  void complain(std::string_view line, std::string_view cause);

  std::ostream& complaints_;
  std::unordered_map<std::string, std::unique_ptr<Gateway>, TextHash, std::equal_to<>> gateways_;
  std::vector<Gateway*> touched_;  // this batch, in order of their first event
  std::array<List, 16> lists_;
  std::size_t rowsDue_ = 0;
  List* rowsInto_ = nullptr;
  std::int64_t clock_ = 0;
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
};

// Reads the settings of an ENLIST line; unknown ones are skipped. Throws std::invalid_argument.
policy::Settings readSettings(std::string_view pairs);

}  // namespace cairnjunction::sim
