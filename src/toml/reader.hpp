// Reads TOML files written by people: typed values with limits, and errors that name the file, the line, what
// was found and what was expected. A key that is not read is an error.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::toml {

inline constexpr std::size_t kMaxTextBytes = 1024;  // paths and addresses are the longest texts

// The file is not readable or not valid. The message names the file and, where known, the line.
struct BadFile : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string readWhole(const std::string& path);  // the file's content; throws BadFile
// Parses a file's content. `name` is the file's name in errors. Throws BadFile.
::toml::table parse(const std::string& text, const std::string& name);

// Reads one table, key by key. A missing key yields `defaultValue`, or is an error if there is none. Throws
// BadFile for values of another type or out of range.
class Reader {
 public:
  // Errors begin with the file's `name`, the line and `what`, which names the table, such as "[[keeper]]: ".
  // The table must outlive the reader.
  Reader(const ::toml::table& table, std::string what, std::string name)
      : table_(table), what_(std::move(what)), name_(std::move(name)) {}

  // Throws BadFile with the line of `node`, or of the table if null.
  [[noreturn]] void fail(const ::toml::node* node, const std::string& problem) const;
  const ::toml::node* find(const char* key);                              // null: missing
  std::string text(const char* key, const char* defaultValue = nullptr);  // null: the key is required
  std::int64_t number(const char* key, std::int64_t min, std::int64_t max, std::int64_t defaultValue);
  int number(const char* key, int min, int max, int defaultValue) {
    return static_cast<int>(number(key, std::int64_t{min}, std::int64_t{max}, std::int64_t{defaultValue}));
  }
  double real(const char* key, double min, double max, double defaultValue);  // accepts integers too
  bool flag(const char* key, bool defaultValue);
  void tables(const char* key,
              const std::function<void(const ::toml::table&)>& each);  // each [[key]], in order
  void finish() const;  // throws BadFile if the table has a key that was not read

 private:
  const ::toml::table& table_;
  std::string what_, name_;
  std::set<std::string> known_;  // keys that were read
};

}  // namespace cairnjunction::toml
