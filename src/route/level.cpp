// Search in one compiled level of locations.
#include "route/level.hpp"

#include <algorithm>

namespace cairnjunction::route {
namespace {

constexpr std::size_t kWord = sizeof(std::uint64_t);

// Eight bytes from `at` on, as a number that sorts like the bytes; a shorter text is padded with zeros, which
// no path contains.
std::uint64_t wordAt(std::string_view text, std::size_t at) {
  std::uint64_t number = 0;
  for (std::size_t i = at; i < at + kWord; ++i)
    number = number << 8 | (i < text.size() ? static_cast<unsigned char>(text[i]) : 0);
  return number;
}

bool begins(std::string_view text, std::string_view with) { return text.substr(0, with.size()) == with; }

}  // namespace

Level::Entry& Level::entry(const std::string& name) {
  const auto [it, fresh] = building_.emplace(name, entries_.size());
  if (fresh) entries_.emplace_back().name = name;
  return entries_[it->second];
}

bool Level::addExact(const std::string& name, std::uint32_t location) {
  Entry& e = entry(name);
  if (e.exact != kNone) return false;
  e.exact = location;
  return true;
}

bool Level::addPrefix(const std::string& name, std::uint32_t location) {
  Entry& e = entry(name);
  if (e.prefix != kNone) return false;
  e.prefix = location;
  return true;
}

void Level::addRedirect(const std::string& name) {
  if (name.size() > 1) entry(name.substr(0, name.size() - 1)).redirect = true;
}

void Level::seal() {
  building_ = {};
  std::sort(entries_.begin(), entries_.end(), [](const Entry& a, const Entry& b) { return a.name < b.name; });
  entries_.shrink_to_fit();
  if (entries_.empty()) return;
  const std::string &first = entries_.front().name, &last = entries_.back().name;
  const auto differ = std::mismatch(first.begin(), first.end(), last.begin(), last.end()).first;
  shared_.assign(first.begin(), differ);
  std::size_t longest = 0;
  for (const Entry& e : entries_) longest = std::max(longest, e.name.size() - shared_.size());
  columns_.resize(std::min(kColumnsMost, longest / kWord + 1));
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    columns_[column].reserve(entries_.size());
    for (const Entry& e : entries_)
      columns_[column].push_back(wordAt(std::string_view(e.name).substr(shared_.size()), column * kWord));
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& e = entries_[i];
    // A prefix of this name is either the previous name or a prefix of that.
    for (std::size_t at = i; at > 0 && e.shorter == kNone;) {
      const Entry& before = entries_[at - 1];
      if (before.prefix != kNone && begins(e.name, before.name))
        e.shorter = static_cast<std::uint32_t>(at - 1);
      else if (before.shorter == kNone) break;
      else at = before.shorter + 1;
    }
  }
}

Level::Found Level::find(std::string_view path) const {
  Found found;
  if (!begins(path, shared_)) return found;
  const std::string_view rest = path.substr(shared_.size());
  // Finds the last name that does not sort after the path: narrows the range by eight bytes at a time, then
  // compares the rest.
  std::size_t low = 0, high = entries_.size();
  for (std::size_t column = 0; column < columns_.size() && low < high; ++column) {
    const std::uint64_t word = wordAt(rest, column * kWord);
    const std::uint64_t* begin = columns_[column].data();
    const auto first = std::lower_bound(begin + low, begin + high, word);
    high = static_cast<std::size_t>(std::upper_bound(first, begin + high, word) - begin);
    low = static_cast<std::size_t>(first - begin);
  }
  const auto at = [&](std::size_t i) { return entries_.begin() + static_cast<std::ptrdiff_t>(i); };
  auto after = std::upper_bound(at(low), at(high), path,
                                [](std::string_view text, const Entry& e) { return text < e.name; });
  if (after == entries_.begin()) return found;
  const Entry* last = &*--after;
  if (last->name == path) {
    found.exact = last->exact;
    found.prefix = last->prefix;
    found.redirect = last->redirect && found.exact == kNone && found.prefix == kNone;
    if (found.prefix != kNone) return found;
    last = last->shorter == kNone ? nullptr : &entries_[last->shorter];
  }
  for (; last; last = last->shorter == kNone ? nullptr : &entries_[last->shorter])
    if (last->prefix != kNone && begins(path, last->name)) {
      found.prefix = static_cast<std::uint32_t>(last->prefix);
      break;
    }
  return found;
}

}  // namespace cairnjunction::route
