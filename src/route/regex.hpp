// A compiled expression with bounded work: PCRE2, in whose dialect nginx files are written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cairnjunction::route {

struct BadRegex : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Captured texts of the last match by number; [0] is the whole match. One that took no part is empty. Views
// of the subject.
using Captures = std::vector<std::string_view>;

class Regex {
 public:
  enum class Result {
    matched,
    none,
    exhausted
  };  // exhausted: the bound on work was reached, nothing is known

  // Steps of matching (PCRE2's match limit): some milliseconds at most. Usual expressions need a few hundred
  // on a path of 16 KiB.
  static constexpr std::uint32_t kMatchLimit = 100'000;
  static constexpr std::uint32_t kDepthLimit = 10'000;
  static constexpr std::uint32_t kHeapLimit = 1024;      // KiB
  static constexpr std::size_t kPatternMost = 64 << 10;  // bytes; a file can hold tokens of megabytes
  static constexpr std::size_t kCapturesMost = 99;

  // Throws BadRegex that says what is wrong and where.
  Regex(std::string_view pattern, bool caseless);
  Regex(Regex&&) noexcept;
  Regex& operator=(Regex&&) noexcept;
  ~Regex();

  // `captures`, if given, is set only on a match, to views of `subject`. Not to be called by two threads at
  // once for one object.
  Result match(std::string_view subject, Captures* captures) const;

  // Number of each named group, by name.
  const std::vector<std::pair<std::string, std::size_t>>& names() const { return names_; }
  std::size_t groups() const { return groups_; }  // without the whole match

 private:
  struct Code;
  std::unique_ptr<Code> code_;
  std::vector<std::pair<std::string, std::size_t>> names_;
  std::size_t groups_ = 0;
};

}  // namespace cairnjunction::route
