// Outcomes of a file's directives, as text and JSON.
#include "import/nginx/report.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cairnjunction::import_nginx {
namespace {

constexpr std::size_t kTextMost = 80;     // bytes of a directive's text in the report
constexpr std::size_t kReasonMost = 400;  // bytes of all its reasons
constexpr char kNotJudged[] = "not looked at: please report this";

}  // namespace

std::string_view nameOf(Fate fate) {
  switch (fate) {
    case Fate::carried: return "carried";
    case Fate::difference: return "difference";
    case Fate::leftOut: return "left-out";
  }
  return "";
}

std::string textOf(const Directive& directive) {
  std::string text = directive.name;
  for (const Argument& argument : directive.arguments) {
    if (text.size() > kTextMost) break;
    text += ' ';
    text += argument.text;
  }
  std::replace_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, ' ');
  if (text.size() > kTextMost) {
    text.resize(kTextMost);
    // Not within a character of several bytes.
    while (!text.empty() && (static_cast<unsigned char>(text.back()) & 0x80)) text.pop_back();
    text += "...";
  }
  return text;
}

void Report::expect(const Directive& directive) {
  if (!indexOf_.emplace(&directive, entries_.size()).second) return;
  entries_.push_back({textOf(directive), directive.at, Fate::leftOut, kNotJudged});
  judged_.push_back(false);
}

void Report::judge(const Directive& directive, Fate fate, const std::string& reason) {
  const auto known = indexOf_.find(&directive);
  if (known == indexOf_.end()) return;
  Entry& entry = entries_[known->second];
  if (!judged_[known->second]) {
    judged_[known->second] = true;
    entry.fate = fate;
    entry.reason = reason;
    return;
  }
  entry.fate = std::max(entry.fate, fate);
  if (reason.empty() || entry.reason.find(reason) != std::string::npos) return;
  if (entry.reason.size() + reason.size() > kReasonMost) return;
  entry.reason += (entry.reason.empty() ? "" : "; ") + reason;
}

std::size_t Report::count(Fate fate) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.fate == fate; }));
}

nlohmann::ordered_json Report::json(const Source& source) const {
  nlohmann::ordered_json out = nlohmann::ordered_json::object();
  for (const Fate fate : {Fate::carried, Fate::difference, Fate::leftOut})
    out["counts"][std::string(nameOf(fate))] = count(fate);
  out["directives"] = nlohmann::ordered_json::array();
  for (const Entry& entry : entries_) {
    auto& e = out["directives"].emplace_back(nlohmann::ordered_json::object());
    e["directive"] = entry.text;
    e["file"] = entry.at.file < source.files.size() ? source.files[entry.at.file]->path : "?";
    e["line"] = entry.at.line;
    e["column"] = entry.at.column;
    e["fate"] = nameOf(entry.fate);
    if (!entry.reason.empty()) e["reason"] = entry.reason;
  }
  return out;
}

}  // namespace cairnjunction::import_nginx
