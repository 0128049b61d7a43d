// The nginx files of the tests, and files that live in memory.
#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "import/nginx/import.hpp"
#include "import/nginx/syntax.hpp"

namespace cairnjunction::testing {

// A pattern may end in one '*'; that is all the tests need.
class MemoryFiles final : public import_nginx::Files {
 public:
  std::map<std::string, std::string> files;

  std::optional<std::string> read(const std::string& path) override {
    const auto it = files.find(path);
    return it == files.end() ? std::nullopt : std::optional(it->second);
  }
  std::vector<std::string> glob(const std::string& pattern) override {
    std::vector<std::string> out;
    const std::size_t star = pattern.find('*');
    for (const auto& [path, text] : files)
      if (star == std::string::npos
              ? path == pattern
              : path.starts_with(pattern.substr(0, star)) && path.ends_with(pattern.substr(star + 1)))
        out.push_back(path);
    return out;
  }
};

// All files below a folder, by their paths relative to it.
inline MemoryFiles filesBelow(const std::string& folder) {
  MemoryFiles out;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (!entry.is_regular_file()) continue;
    std::ifstream file(entry.path(), std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    out.files[std::filesystem::relative(entry.path(), folder).string()] = std::move(text).str();
  }
  return out;
}

// A file as text, imported. The directives are kept for the report and for the reference.
struct ImportedText {
  import_nginx::Source source;
  std::vector<import_nginx::Directive> directives;
  import_nginx::Imported result;

  explicit ImportedText(const std::string& text) {
    MemoryFiles files;
    files.files["nginx.conf"] = text;
    load("nginx.conf", files);
  }
  ImportedText(const std::string& path, MemoryFiles& files) { load(path, files); }

  // The report on the first directive of that name, in the order of reading.
  const import_nginx::Report::Entry& entry(const std::string& begin) const {
    const auto& all = result.report.entries();
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const auto& e) { return e.text.starts_with(begin); });
    if (it == all.end()) throw std::out_of_range(begin);
    return *it;
  }

 private:
  void load(const std::string& path, MemoryFiles& files) {
    directives = import_nginx::parse(path, files, source);
    result = import_nginx::lower(directives, source);
  }
};

}  // namespace cairnjunction::testing
