// The outcome for each directive of a file: none is dropped or guessed silently.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "import/nginx/syntax.hpp"

namespace cairnjunction::import_nginx {

enum class Fate {
  carried,     // means the same here
  difference,  // carried over, and the reason says what is otherwise
  leftOut      // does nothing here, and the reason says why and what that changes
};

std::string_view nameOf(Fate fate);

class Report {
 public:
  struct Entry {
    std::string text;  // the directive as written, cut to a line
    Position at;
    Fate fate = Fate::leftOut;
    std::string reason;  // empty only where carried
  };

  // Each directive is registered when read, then gets one or more verdicts: the worst holds, and reasons are
  // joined. A directive without a verdict is reported as left out.
  void expect(const Directive& directive);
  void judge(const Directive& directive, Fate fate, const std::string& reason = {});

  const std::vector<Entry>& entries() const { return entries_; }  // in order of reading
  std::size_t count(Fate fate) const;
  // 0: all is carried over; 1: there are differences or what is left out.
  int exitCode() const { return count(Fate::carried) == entries_.size() ? 0 : 1; }
  nlohmann::ordered_json json(const Source& source) const;

 private:
  std::vector<Entry> entries_;
  std::vector<bool> judged_;
  std::unordered_map<const Directive*, std::size_t> indexOf_;
};

// "proxy_pass http://stock", cut to 80 bytes.
std::string textOf(const Directive& directive);

}  // namespace cairnjunction::import_nginx
