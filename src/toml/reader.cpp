// Parses TOML files and checks the types and limits of their values.
#include "toml/reader.hpp"

#include <fstream>
#include <sstream>

namespace cairnjunction::toml {
namespace {

std::string quoted(std::string_view key) { return "'" + std::string(key) + "'"; }

}  // namespace

std::string readWhole(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw BadFile(path + ": can't be read");
  return text.str();
}

::toml::table parse(const std::string& text, const std::string& name) {
  try {
    return ::toml::parse(text, name);
  } catch (const ::toml::parse_error& error) {
    throw BadFile(name + ":" + std::to_string(error.source().begin.line) + ": " +
                  std::string(error.description()));
  }
}

void Reader::fail(const ::toml::node* node, const std::string& problem) const {
  std::ostringstream text;
  text << name_;
  const ::toml::source_region& at = node ? node->source() : table_.source();
  if (at.begin.line > 0) text << ":" << at.begin.line;
  text << ": " << what_ << problem;
  throw BadFile(text.str());
}

const ::toml::node* Reader::find(const char* key) {
  known_.insert(key);
  return table_.get(key);
}

std::string Reader::text(const char* key, const char* defaultValue) {
  const ::toml::node* node = find(key);
  if (!node && defaultValue) return defaultValue;
  if (!node) fail(nullptr, quoted(key) + " is missing");
  const auto value = node->value_exact<std::string>();
  if (!value) fail(node, quoted(key) + " is not a text");
  if (value->size() > kMaxTextBytes) fail(node, quoted(key) + " is too long");
  return *value;
}

std::int64_t Reader::number(const char* key, std::int64_t min, std::int64_t max, std::int64_t defaultValue) {
  const ::toml::node* node = find(key);
  if (!node) return defaultValue;
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < min || *value > max)
    fail(node, quoted(key) + " is no number from " + std::to_string(min) + " to " + std::to_string(max));
  return *value;
}

double Reader::real(const char* key, double min, double max, double defaultValue) {
  const ::toml::node* node = find(key);
  if (!node) return defaultValue;
  const auto value = node->value<double>();
  if (!value || !(*value >= min && *value <= max)) fail(node, quoted(key) + " is out of range");
  return *value;
}

bool Reader::flag(const char* key, bool defaultValue) {
  const ::toml::node* node = find(key);
  if (!node) return defaultValue;
  const auto value = node->value_exact<bool>();
  if (!value) fail(node, quoted(key) + " is neither true nor false");
  return *value;
}

void Reader::tables(const char* key, const std::function<void(const ::toml::table&)>& each) {
  const ::toml::node* node = find(key);
  if (!node) return;
  if (!node->is_array_of_tables()) fail(node, quoted(key) + " is not given as [[" + key + "]]");
  for (const ::toml::node& element : *node->as_array()) each(*element.as_table());
}

void Reader::finish() const {
  for (const auto& [key, node] : table_)
    if (!known_.contains(std::string(key.str()))) fail(&node, "unknown key " + quoted(key.str()));
}

}  // namespace cairnjunction::toml
