// Writes a run's report: result.json, plots and Markdown.
#include "lab/report.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

namespace cairnjunction::lab {
namespace {

using nlohmann::json;

constexpr int kWidth = 960, kLeft = 70, kRow = 18, kTop = 24;
constexpr const char* kColours[] = {"#4269d0", "#3ca951", "#efb118", "#a463f2",
                                    "#ff8ab7", "#6cc5b0", "#97bbf5", "#9c6b4e"};

struct Scale {
  std::int64_t begin, end;
  double operator()(std::int64_t ms) const {
    const double part = static_cast<double>(std::clamp(ms, begin, end) - begin) /
                        static_cast<double>(std::max<std::int64_t>(end - begin, 1));
    return kLeft + part * (kWidth - kLeft - 10);
  }
};

std::string head(int height) {
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(kWidth) + "\" height=\"" +
         std::to_string(height) +
         "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n";
}

void axis(std::ostream& svg, const Scale& x, int bottom) {
  for (std::int64_t ms = x.begin; ms <= x.end;
       ms += std::max<std::int64_t>((x.end - x.begin) / 10000 * 1000, 1000))
    svg << "<text x=\"" << x(ms) << "\" y=\"" << bottom + 14 << "\" fill=\"#555\">" << (ms - x.begin) / 1000
        << " s</text>\n"
        << "<line x1=\"" << x(ms) << "\" x2=\"" << x(ms) << "\" y1=\"" << kTop << "\" y2=\"" << bottom
        << "\" stroke=\"#eee\"/>\n";
}

// A row for each process: grey bars for faults, a colour for each task whose lease it holds.
void owners(std::ostream& svg, const Ledgers& l, const Scale& x) {
  std::map<std::string, int> row;
  for (const auto& [name, lines] : l.members) row.emplace(name, 0);
  for (const auto& [name, lines] : l.keepers) row.emplace(name, 0);
  int n = 0;
  for (auto& [name, at] : row) at = kTop + kRow * n++;
  const int bottom = kTop + kRow * n;
  svg << head(bottom + 40);
  axis(svg, x, bottom);
  for (const auto& [name, at] : row) svg << "<text x=\"8\" y=\"" << at + 13 << "\">" << name << "</text>\n";
  for (const FaultSpan& f : l.faults)
    if (row.count(f.process))
      svg << "<rect x=\"" << x(f.beginMs) << "\" y=\"" << row[f.process] << "\" width=\""
          << std::max(x(f.endMs) - x(f.beginMs), 2.0) << "\" height=\"" << kRow << "\" fill=\"#ccc\"><title>"
          << f.kind << "</title></rect>\n<text x=\"" << x(f.beginMs) + 2 << "\" y=\"" << row[f.process] + 13
          << "\" fill=\"#a00\">" << f.kind << "</text>\n";
  std::map<std::string, int> colour;
  for (const Span& s : spans(l)) {
    const int c = colour.emplace(s.duty, static_cast<int>(colour.size())).first->second;
    const std::int64_t end = s.endMs ? s.endMs : x.end;
    svg << "<rect x=\"" << x(s.beginMs) << "\" y=\"" << row[s.member] + 3 + 3 * std::min(c, 3)
        << "\" width=\"" << std::max(x(end) - x(s.beginMs), 1.0) << "\" height=\"3\" fill=\""
        << kColours[c % 8] << "\"><title>" << s.duty << "/" << s.shard << " epoch " << s.epoch
        << "</title></rect>\n";
  }
  int left = kLeft;
  for (const auto& [duty, c] : colour) {
    svg << "<rect x=\"" << left << "\" y=\"6\" width=\"10\" height=\"10\" fill=\"" << kColours[c % 8]
        << "\"/><text x=\"" << left + 14 << "\" y=\"15\">" << duty << "</text>\n";
    left += 120;
  }
  svg << "</svg>\n";
}

// Calls per quarter of a second: served at the bottom, rejected and failed above.
void calls(std::ostream& svg, const Ledgers& l, const Scale& x) {
  constexpr std::int64_t kBin = 250;
  constexpr int kHeight = 160;
  std::map<std::int64_t, std::array<int, 3>> bins;
  int most = 1;
  for (const ClientCall& call : l.calls) {
    auto& bin = bins[(call.dueMs - x.begin) / kBin];
    ++bin[call.status == 200 ? 0 : call.status == 503 ? 1 : 2];
    most = std::max(most, bin[0] + bin[1] + bin[2]);
  }
  svg << head(kTop + kHeight + 40);
  axis(svg, x, kTop + kHeight);
  const char* colours[] = {"#3ca951", "#efb118", "#d62728"};
  const char* names[] = {"served", "refused", "failed or none"};
  for (const auto& [bin, counts] : bins) {
    double at = kTop + kHeight;
    for (std::size_t i = 0; i < 3; ++i) {
      const double tall = static_cast<double>(counts[i]) * kHeight / most;
      at -= tall;
      const double left = x(x.begin + bin * kBin);
      if (counts[i] > 0)
        svg << "<rect x=\"" << left << "\" y=\"" << at << "\" width=\""
            << std::max(x(x.begin + (bin + 1) * kBin) - left - 0.5, 0.5) << "\" height=\"" << tall
            << "\" fill=\"" << colours[i] << "\"/>\n";
    }
  }
  for (int i = 0; i < 3; ++i)
    svg << "<rect x=\"" << kLeft + 130 * i << "\" y=\"6\" width=\"10\" height=\"10\" fill=\"" << colours[i]
        << "\"/><text x=\"" << kLeft + 14 + 130 * i << "\" y=\"15\">" << names[i] << "</text>\n";
  svg << "<text x=\"8\" y=\"" << kTop + 10 << "\">" << most * 1000 / kBin << "/s</text>\n</svg>\n";
}

void write(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  if (!(file << text)) throw std::runtime_error(path + ": not written");
}

}  // namespace

json resultOf(const Ledgers& l, const std::vector<Check>& checks) {
  json rows = json::array();
  for (const Check& check : checks) {
    rows.push_back({{"name", check.name}, {"held", check.held}, {"counted", check.counted}});
    if (!check.held) rows.back()["broken"] = check.broken;
  }
  return {{"experiment", l.run.value("experiment", "")},
          {"seed", l.run.value("seed", std::uint64_t{0})},
          {"checks", rows},
          {"figures", figures(l)}};
}

void writeReport(const std::string& folder, const Ledgers& l, const std::vector<Check>& checks) {
  const auto begin = l.run.at("begin_ms").get<std::int64_t>(), end = l.run.at("end_ms").get<std::int64_t>();
  const Scale x{begin, std::max(end, begin + 1)};
  std::ostringstream first, second, page;
  owners(first, l, x);
  calls(second, l, x);
  write(folder + "/owners.svg", first.str());
  write(folder + "/calls.svg", second.str());
  page << "# " << l.run.value("experiment", "") << ", seed " << l.run.value("seed", std::uint64_t{0})
       << "\n\n"
       << "| promise | held | judged by |\n| --- | --- | --- |\n";
  for (const Check& check : checks)
    page << "| " << check.name << " | " << (check.held ? "yes" : "**no**") << " | " << check.counted
         << " |\n";
  for (const Check& check : checks)
    for (const std::string& text : check.broken) page << "\n- " << check.name << ": " << text;
  page << "\n\n![who owned what](owners.svg)\n\n![calls](calls.svg)\n\n| fault | on | process | at | for |\n"
       << "| --- | --- | --- | --- | --- |\n";
  for (const FaultSpan& f : l.faults)
    page << "| " << f.kind << " | " << f.whom << " | " << f.process << " | " << f.beginMs - x.begin
         << " ms | " << f.endMs - f.beginMs << " ms |\n";
  page << "\n```json\n" << figures(l).dump(1) << "\n```\n";
  write(folder + "/report.md", page.str());
}

}  // namespace cairnjunction::lab
