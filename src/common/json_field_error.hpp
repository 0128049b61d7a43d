// The error of a field in a JSON document that another process sent.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace cairnjunction {

// A field that can't be read: its path, what was expected there, and what was found.
class JsonFieldError : public std::invalid_argument {
 public:
  JsonFieldError(std::string field, std::string expected, std::string found)
      : std::invalid_argument((field.empty() ? "" : field + ": ") + "expected " + expected + ", found " +
                              found),
        field_(std::move(field)),
        expected_(std::move(expected)),
        found_(std::move(found)) {}

  const std::string& field() const { return field_; }  // "targets[2].state"; empty: the document itself
  const std::string& expected() const { return expected_; }
  const std::string& found() const { return found_; }

 private:
  std::string field_;
  std::string expected_;
  std::string found_;
};

}  // namespace cairnjunction
