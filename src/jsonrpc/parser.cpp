// Parses the text of a JSON-RPC frame with simdjson: its DOM validates the whole text, then On Demand locates
// `params` and other members in it, so that they are forwarded byte for byte.
#include "jsonrpc/parser.hpp"

#include <simdjson.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace cairnjunction::jsonrpc {
namespace {

namespace dom = simdjson::dom;
namespace ondemand = simdjson::ondemand;

static_assert(kPadding >= simdjson::SIMDJSON_PADDING);

constexpr double kExactMost = 9007199254740992.0;  // 2^53: up to here each integer is exactly one double

std::string_view trimmed(std::string_view text) {
  while (!text.empty() &&
         (text.back() == ' ' || text.back() == '\t' || text.back() == '\r' || text.back() == '\n'))
    text.remove_suffix(1);
  return text;
}

// The raw text of a value that has been validated.
std::string_view rawOf(ondemand::value value) {
  ondemand::json_type type{};
  if (value.type().get(type)) return {};
  std::string_view raw;
  if (type == ondemand::json_type::object) {
    ondemand::object object;
    if (value.get_object().get(object) || object.raw_json().get(raw)) return {};
  } else if (type == ondemand::json_type::array) {
    ondemand::array array;
    if (value.get_array().get(array) || array.raw_json().get(raw)) return {};
  } else {
    raw = value.raw_json_token();
  }
  return trimmed(raw);
}

// Ids are compared by value: 1 and 1.0 are the same id, 1 and "1" are not.
bool keyOf(const dom::element& id, std::string& key) {
  std::string_view text;
  if (!id.get_string().get(text)) {
    key.assign(1, 's').append(text);
    return true;
  }
  std::int64_t whole = 0;
  if (!id.get_int64().get(whole)) {
    key.assign(1, 'n').append(std::to_string(whole));
    return true;
  }
  std::uint64_t large = 0;
  if (!id.get_uint64().get(large)) {
    key.assign(1, 'n').append(std::to_string(large));
    return true;
  }
  double number = 0;
  if (id.get_double().get(number)) return false;
  if (std::abs(number) <= kExactMost && number == std::floor(number)) {
    key.assign(1, 'n').append(std::to_string(static_cast<std::int64_t>(number)));
  } else {
    std::array<char, 40> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number).ptr;
    key.assign(1, 'n').append(buffer.data(), end);
  }
  return true;
}

enum Member : unsigned { kVersion = 1, kMethod = 2, kParams = 4, kId = 8, kResult = 16, kError = 32 };

unsigned memberOf(std::string_view name) {
  if (name == "jsonrpc") return kVersion;
  if (name == "method") return kMethod;
  if (name == "params") return kParams;
  if (name == "id") return kId;
  if (name == "result") return kResult;
  if (name == "error") return kError;
  return 0;
}

}  // namespace

struct Parser::Impl {
  std::size_t most;
  dom::parser validator;
  ondemand::parser locator;
  ondemand::document document;
  Request request;
  Answer answer;
  std::vector<dom::element> params;  // of the entries; null elements where there are none
  dom::element root;

  explicit Impl(std::size_t m) : most(m), validator(m + kPadding), locator(m + kPadding) {}

  simdjson::error_code validate(std::string_view text) {
    if (text.size() > most) return simdjson::CAPACITY;
    if (validator.capacity() < text.size() || validator.max_depth() != kDepthMost)
      if (const auto error = validator.allocate(std::max<std::size_t>(text.size(), 4096), kDepthMost))
        return error;
    return validator.parse(text.data(), text.size(), false).get(root);
  }

  bool locate(std::string_view text) {
    return !locator.iterate(text.data(), text.size(), text.size() + kPadding).get(document);
  }

  // Reads an entry's kind, id and errors from the DOM.
  void describe(const dom::element& element, Entry& entry, dom::element& found) {
    entry.error = "not an object";
    dom::object object;
    if (element.get_object().get(object)) return;
    unsigned seen = 0;
    bool twice = false, idNull = false, idBad = false, paramsBad = false;
    dom::element id, version, method;
    for (const dom::key_value_pair& field : object) {
      const unsigned member = memberOf(field.key);
      twice |= (seen & member) != 0;
      seen |= member;
      if (member == kVersion) version = field.value;
      else if (member == kMethod) method = field.value;
      else if (member == kId) id = field.value;
      else if (member == kParams) found = field.value;
    }
    // Of a repeated member one parser uses the first value and another the last: a worker could run another
    // method than the one the gateway admitted. So the entry is invalid.
    if (twice) return void(entry.error = "a member comes twice");
    if (seen & kId) {
      idNull = id.is_null();
      idBad = !idNull && !keyOf(id, entry.key);
    }
    if (idBad) return void(entry.error = "id is neither string, number nor null");
    std::string_view text;
    if (seen & kVersion) {
      if (version.get_string().get(text) || text != "2.0")
        return void(entry.error = "jsonrpc is not \"2.0\"");
    } else {
      entry.version = 1;
    }
    if (!(seen & kMethod) || method.get_string().get(entry.method))
      return void(entry.error = "no method, or not a string");
    if (seen & kParams) {
      const bool array = found.is_array(), isObject = found.is_object();
      paramsBad = !array && !(isObject && entry.version == 2);
    }
    if (paramsBad) return void(entry.error = "params is neither array nor object");
    if (entry.version == 1 && !(seen & kId)) return void(entry.error = "no jsonrpc member and no id");
    entry.error = "";
    const bool silent = entry.version == 2 ? !(seen & kId) : idNull;
    entry.kind = silent ? Entry::Kind::notification : Entry::Kind::call;
  }

  // Locates the parts of an entry in the text.
  static bool find(ondemand::value value, Entry& entry) {
    ondemand::json_type type{};
    if (value.type().get(type)) return false;
    if (type != ondemand::json_type::object) return true;
    ondemand::object object;
    if (value.get_object().get(object)) return false;
    return find(object, entry);
  }
  static bool find(ondemand::object& object, Entry& entry) {
    for (auto result : object) {
      ondemand::field field;
      if (std::move(result).get(field)) return false;
      std::string_view name;
      if (field.unescaped_key().get(name)) return false;
      const unsigned member = memberOf(name);
      if (member == kParams) entry.params = rawOf(field.value());
      else if (member == kId && !entry.key.empty()) entry.id = rawOf(field.value());
    }
    return true;
  }

  void fail(int code, const char* message) {
    request.entries.clear();
    request.error = code;
    request.message = message;
  }

  void add(const dom::element& element) {
    Entry& entry = request.entries.emplace_back();
    entry.id = "null";
    describe(element, entry, params.emplace_back());
  }

  void read(std::string_view text, std::size_t entriesMost) {
    request.entries.clear();
    params.clear();
    request.error = 0;
    request.batch = false;
    if (const auto error = validate(text)) {
      return fail(kParseError, error == simdjson::DEPTH_ERROR    ? "Parse error: nested too deep"
                               : error == simdjson::UTF8_ERROR   ? "Parse error: not UTF-8"
                               : error == simdjson::NUMBER_ERROR ? "Parse error: a number that can't be read"
                                                                 : "Parse error");
    }
    dom::array array;
    request.batch = !root.get_array().get(array);
    if (!request.batch) add(root);
    std::size_t count = 0;
    if (request.batch)
      for (const dom::element element : array) {
        if (++count > entriesMost) return fail(kInvalidRequest, "Invalid Request: too many entries");
        add(element);
        // JSON-RPC 1.0 has no batches, so in one an entry without a version is invalid.
        Entry& entry = request.entries.back();
        if (entry.version == 1) {
          entry.version = 2;
          if (entry.kind != Entry::Kind::invalid) entry.error = "no jsonrpc member";
          entry.kind = Entry::Kind::invalid;
        }
      }
    if (request.batch && count == 0) return fail(kInvalidRequest, "Invalid Request: an empty batch");
    if (!findAll(text)) fail(kParseError, "Parse error");
  }

  bool findAll(std::string_view text) {
    if (!locate(text)) return false;
    if (!request.batch) {
      ondemand::json_type type{};
      if (document.type().get(type)) return false;
      if (type != ondemand::json_type::object) return true;
      ondemand::object object;
      return !document.get_object().get(object) && find(object, request.entries.front());
    }
    ondemand::array array;
    if (document.get_array().get(array)) return false;
    std::size_t i = 0;
    for (auto result : array) {
      ondemand::value value;
      if (std::move(result).get(value) || i >= request.entries.size()) return false;
      if (!find(value, request.entries[i++])) return false;
    }
    return i == request.entries.size();
  }

  void readAnswer(std::string_view text) {
    answer = {};
    dom::object object;
    if (validate(text) || root.get_object().get(object)) return;
    unsigned seen = 0;
    bool twice = false;
    dom::element error;
    for (const dom::key_value_pair& field : object) {
      const unsigned member = memberOf(field.key);
      twice |= (seen & member) != 0;
      seen |= member;
      if (member == kId) answer.hasId = !field.value.get_uint64().get(answer.id);
      else if (member == kError) error = field.value;
      // In JSON-RPC 1.0 both members are present and one is null.
      if ((member == kError || member == kResult) && field.value.is_null()) seen &= ~member;
    }
    if (twice) return;
    answer.failed = (seen & kError) != 0;
    if (answer.failed && (seen & kResult)) return;
    if (answer.failed) {
      if (error["code"].get_int64().get(answer.code)) return;
      bool notRun = false;
      answer.notRun = !error["data"]["not_run"].get_bool().get(notRun) && notRun;
    }
    ondemand::object located;
    if (!locate(text) || document.get_object().get(located)) return;
    for (auto result : located) {
      ondemand::field field;
      std::string_view name;
      if (std::move(result).get(field) || field.unescaped_key().get(name)) return;
      const unsigned member = memberOf(name);
      if (member == kResult) answer.result = rawOf(field.value());
      else if (member == kError) answer.error = rawOf(field.value());
    }
    answer.readable = answer.failed ? !answer.error.empty() : !answer.result.empty();
  }
};

Parser::Parser(std::size_t most) : impl_(std::make_unique<Impl>(most)) {}
Parser::~Parser() = default;

const Request& Parser::parseRequest(std::string_view text, std::size_t entriesMost) {
  impl_->read(text, entriesMost);
  return impl_->request;
}

std::optional<std::string> Parser::param(std::size_t i, std::string_view pointer) const {
  if (i >= impl_->params.size() || impl_->request.entries[i].params.empty()) return std::nullopt;
  dom::element found;
  if (impl_->params[i].at_pointer(pointer).get(found)) return std::nullopt;
  std::string_view text;
  if (!found.get_string().get(text)) return std::string(text);
  std::int64_t whole = 0;
  if (!found.get_int64().get(whole)) return std::to_string(whole);
  std::uint64_t large = 0;
  if (!found.get_uint64().get(large)) return std::to_string(large);
  bool truth = false;
  if (!found.get_bool().get(truth)) return truth ? "true" : "false";
  return std::nullopt;
}

const Answer& Parser::parseAnswer(std::string_view text) {
  impl_->readAnswer(text);
  return impl_->answer;
}

bool Parser::valid(std::string_view text) {
  if (text.size() > impl_->most) return false;
  const simdjson::padded_string copy(text);
  return !impl_->validate(std::string_view(copy.data(), copy.size()));
}

std::string quoted(std::string_view text) {
  constexpr char hex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\', out += c;
    else if (c == '\n') out += "\\n";
    else if (static_cast<unsigned char>(c) < 0x20)
      out.append("\\u00") += hex[static_cast<unsigned char>(c) >> 4], out += hex[c & 15];
    else out += c;
  }
  return out += '"';
}

bool utf8(std::string_view text) { return simdjson::validate_utf8(text.data(), text.size()); }

}  // namespace cairnjunction::jsonrpc
