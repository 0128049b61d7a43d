// Sizes and times as nginx's files write them.
#include "import/nginx/units.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace cairnjunction::import_nginx {
namespace {

constexpr std::size_t kDigitsMost = 18;
constexpr std::uint64_t kSizeMost = 1ULL << 62;
constexpr std::int64_t kTimeMost = 100LL * 365 * 24 * 3600 * 1000;

bool digit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

std::optional<std::uint64_t> numberOf(std::string_view text) {
  if (text.empty() || text.size() > kDigitsMost || !std::all_of(text.begin(), text.end(), digit))
    return std::nullopt;
  return std::stoull(std::string(text));
}

std::optional<std::uint64_t> sizeOf(std::string_view text) {
  if (text.empty()) return std::nullopt;
  unsigned shift = 0;
  switch (text.back()) {
    case 'k':
    case 'K': shift = 10; break;
    case 'm':
    case 'M': shift = 20; break;
    case 'g':
    case 'G': shift = 30; break;
    default: break;
  }
  if (shift > 0) text.remove_suffix(1);
  const auto number = numberOf(text);
  if (!number || *number > kSizeMost >> shift) return std::nullopt;
  return *number << shift;
}

std::optional<std::chrono::milliseconds> timeOf(std::string_view text) {
  struct Unit {
    std::string_view name;
    std::int64_t ms;
  };
  static constexpr std::array<Unit, 8> kUnits{{{"y", 365LL * 24 * 3600 * 1000},
                                               {"M", 30LL * 24 * 3600 * 1000},
                                               {"w", 7LL * 24 * 3600 * 1000},
                                               {"d", 24LL * 3600 * 1000},
                                               {"h", 3600LL * 1000},
                                               {"m", 60LL * 1000},
                                               {"s", 1000},
                                               {"ms", 1}}};
  std::int64_t total = 0;
  std::size_t least = 0;  // into kUnits: units may only fall
  bool any = false;
  while (!text.empty()) {
    if (text.front() == ' ') {
      text.remove_prefix(1);
      continue;
    }
    std::size_t digits = 0, letters = 0;
    while (digits < text.size() && digit(text[digits])) ++digits;
    const auto number = numberOf(text.substr(0, digits));
    if (!number) return std::nullopt;
    text.remove_prefix(digits);
    while (letters < text.size() && !digit(text[letters]) && text[letters] != ' ') ++letters;
    // A number without a unit is seconds, and the last one.
    const std::string_view name = letters == 0 ? "s" : text.substr(0, letters);
    text.remove_prefix(letters);
    if (letters == 0 && !text.empty()) return std::nullopt;
    const auto unit = std::find_if(kUnits.begin() + static_cast<std::ptrdiff_t>(least), kUnits.end(),
                                   [&](const Unit& u) { return u.name == name; });
    if (unit == kUnits.end() || *number > static_cast<std::uint64_t>(kTimeMost / unit->ms))
      return std::nullopt;
    total += static_cast<std::int64_t>(*number) * unit->ms;
    if (total > kTimeMost) return std::nullopt;
    least = static_cast<std::size_t>(unit - kUnits.begin()) + 1;
    any = true;
  }
  if (!any) return std::nullopt;
  return std::chrono::milliseconds(total);
}

}  // namespace cairnjunction::import_nginx
