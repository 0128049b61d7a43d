// One compiled level of locations: finds the name that equals a path, or the longest one that is a prefix of
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cairnjunction::route {

class Level {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Found {
    std::uint32_t exact = kNone;   // location whose exact name the path is
    std::uint32_t prefix = kNone;  // location with the longest prefix of the path
    bool redirect = false;         // the path is a name without its last '/', and no name itself
  };

  // To be called before seal(), in any order. False if the name exists already.
  bool addExact(const std::string& name, std::uint32_t location);
  bool addPrefix(const std::string& name, std::uint32_t location);
  // A path that is `name` without its last byte, a '/', is to be redirected, if it is no name itself.
  void addRedirect(const std::string& name);
  void seal();

  Found find(std::string_view path) const;

 private:
  struct Entry {
    std::string name;
    std::uint32_t exact = kNone, prefix = kNone;
    std::uint32_t shorter = kNone;  // entry with the longest other prefix that begins this one's name
    bool redirect = false;
  };
  Entry& entry(const std::string& name);

  // Names are searched by eight bytes at a time, each a number in an array of its own: a search among many
  // touches little memory, and no name's text before the last step.
  static constexpr std::size_t kColumnsMost = 8;

  std::vector<Entry> entries_;  // sorted by name once sealed
  std::vector<std::vector<std::uint64_t>>
      columns_;         // of each name, behind shared_: bytes 0 to 7, 8 to 15, ...
  std::string shared_;  // common prefix of all names
  std::unordered_map<std::string, std::size_t> building_;  // until sealed
};

}  // namespace cairnjunction::route
