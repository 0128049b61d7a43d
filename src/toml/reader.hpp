// Reads TOML files written by people: typed and bounded values, and errors that name the file, the line, what
// was found and what was expected. A key that nobody reads is an error.
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

// What is wrong, with file and line.
struct BadFile : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string readWhole(const std::string& path);  // throws BadFile
::toml::table parse(const std::string& text,
                    const std::string& name);  // `name` stands in errors; throws BadFile

// Reads one table, key by key. A key that is missing has the default given for it, or is an error where there
// is none.
class Reader {
 public:
  // Errors begin with the file's `name`, the line and `what`, such as "[[keeper]]: ". The table must outlive
  // the reader.
  Reader(const ::toml::table& table, std::string what, std::string name)
      : table_(table), what_(std::move(what)), name_(std::move(name)) {}

  [[noreturn]] void fail(const ::toml::node* node,
                         const std::string& problem) const;            // null: of the whole table
  const ::toml::node* find(const char* key);                           // null: not there
  std::string text(const char* key, const char* otherwise = nullptr);  // null: it must be there
  std::int64_t number(const char* key, std::int64_t least, std::int64_t most, std::int64_t otherwise);
  int number(const char* key, int least, int most, int otherwise) {
    return static_cast<int>(number(key, std::int64_t{least}, std::int64_t{most}, std::int64_t{otherwise}));
  }
  double real(const char* key, double least, double most, double otherwise);  // a whole number too
  bool flag(const char* key, bool otherwise);
  void tables(const char* key, const std::function<void(const ::toml::table&)>& each);  // [[key]]
  void finish() const;  // all keys were asked for, or it fails

 private:
  const ::toml::table& table_;
  std::string what_, name_;
  std::set<std::string> known_;
};

}  // namespace cairnjunction::toml
