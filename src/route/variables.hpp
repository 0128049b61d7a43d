// Texts with variables ("https://$host$request_uri"), compiled once and evaluated for a request.
//
// Known: uri, document_uri, request_uri, args, query_string, is_args, arg_NAME, host, http_NAME, cookie_NAME,
// http_host, scheme, server_name, server_port, remote_addr, binary_remote_addr (the
// same), request_method, proxy_add_x_forwarded_for, proxy_host,
// $1 to $9, groups named by expressions, what `set` sets and maps give. Another name is an error where
// the text is compiled, never an empty value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "route/regex.hpp"
#include "route/routes.hpp"

namespace cairnjunction::route {

struct BadText : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A request, as received by the frontend. All views must outlive the call they are passed to.
class Headers {
 public:
  // Values of one name, in any case of letters, joined by ", "; empty: none.
  virtual std::string value(std::string_view name) const = 0;

 protected:
  ~Headers() = default;
};

struct Request {
  std::string_view method = "GET";
  std::string_view host;    // as the client named it, perhaps with a port; empty: it did not
  std::string_view target;  // as it came (RFC 9112, 3.2.1)
  std::uint16_t port = 0;   // of the listener; 0: that of the routes' first one
  std::string_view scheme = "http";
  std::string_view remote;           // address of the client; empty: unknown
  const Headers* headers = nullptr;  // null: none
};

// Texts of variables are bounded: a rewrite that doubles its path ten times would grow by a thousand.
inline constexpr std::size_t kTextMost = 64 << 10;  // bytes, of one evaluated text
inline constexpr int kMapDepthMost = 8;             // maps whose values name maps

// The state that texts are evaluated in, through all rewrites of one request.
struct Context {
  const Request* request = nullptr;
  std::string host;  // in small letters and without a port
  std::string path;  // decoded; changes by rewrites
  std::string args;
  std::string_view serverName;
  std::uint16_t serverPort = 0;
  std::string proxyHost;
  std::vector<std::string> groups;     // of the last match, [0] the whole
  std::vector<std::string> variables;  // by slot: set, and named groups
  int mapDepth = 0;
  bool exhausted = false;  // an expression reached its bound, or a text its own
};

class Texts;

// One compiled text.
class Text {
 public:
  bool constant() const { return parts_.empty(); }
  const std::string& literal() const { return literal_; }  // of a constant one
  bool empty() const { return parts_.empty() && literal_.empty(); }

 private:
  friend class Texts;
  enum class Kind {
    literal,
    group,
    slot,
    map,
    uri,
    requestUri,
    args,
    isArgs,
    arg,
    host,
    header,
    cookie,
    scheme,
    serverName,
    serverPort,
    remote,
    method,
    forwardedFor,
    proxyHost
  };
  struct Part {
    Kind kind = Kind::literal;
    std::size_t index = 0;  // group, slot, map
    std::string text;       // literal; name of argument, header or cookie
  };
  std::string literal_;
  std::vector<Part> parts_;
};

// Compiles and evaluates texts; knows the variables that files define.
class Texts {
 public:
  Texts();
  ~Texts();
  Texts(Texts&&) noexcept;
  Texts& operator=(Texts&&) noexcept;

  // Throws BadText for a map that can't be compiled, or variables that are defined by two maps.
  void addMaps(const std::vector<Map>& maps);
  std::size_t slot(std::string_view variable);  // of a variable that `set` or a named group sets
  std::size_t slots() const { return slots_.size(); }
  bool known(std::string_view variable) const;

  // Throws BadText: an unknown variable, a '$' with no name. All slots must have been asked for before.
  Text compile(std::string_view text) const;
  std::string evaluate(const Text& text, Context& context) const;
  // Notes groups and named groups of a match in the context. Copies: the path may change next.
  static void take(const Captures& captures, const std::vector<std::pair<std::size_t, std::size_t>>& named,
                   Context& context);
  // Slots of an expression's named groups, for take().
  std::vector<std::pair<std::size_t, std::size_t>> namedSlots(const Regex& regex);

 private:
  struct CompiledMap;
  void append(const Text::Part& part, Context& context, std::string& into) const;
  std::string mapped(const CompiledMap& map, Context& context) const;
  bool partOf(std::string_view name, Text::Part& part) const;

  std::map<std::string, std::size_t, std::less<>> slots_;
  std::map<std::string, std::size_t, std::less<>> mapOf_;
  std::vector<std::unique_ptr<CompiledMap>> maps_;
};

// Names of the variables in a text, as written, for checks before it is compiled.
std::vector<std::string> variablesIn(std::string_view text);

// The value of one cookie of a Cookie header (RFC 6265, 4.2.1); empty: there is none.
std::string_view cookie(std::string_view header, std::string_view name);

// The value of one argument of a query, as it stands there.
std::string_view argument(std::string_view query, std::string_view name);

}  // namespace cairnjunction::route
