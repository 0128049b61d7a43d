// What nginx would do with a request, written straight and slowly from its public documentation: the tests'
// yardstick for the importer and the compiled routes. It works on the directives as they were read, keeps no
// state, compiles nothing ahead, and shares with the program only the parser, the library for expressions and
// the table that says which directives guard.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "import/nginx/directives.hpp"
#include "import/nginx/syntax.hpp"
#include "route/regex.hpp"

namespace cairnjunction::testing {

struct Expected {
  std::string location, pool, uri, text;
  int status = 0;  // 0: passed on

  std::string line() const {
    return status ? std::to_string(status) + (text.empty() ? "" : " " + text) + " [" + location + "]"
                  : pool + " " + uri + " [" + location + "]";
  }
};

class Reference {
 public:
  using Directive = import_nginx::Directive;

  explicit Reference(const std::vector<Directive>& all) {
    const std::vector<Directive>* level = &all;
    for (const Directive& d : all)
      if (d.name == "http") level = &d.inner;
    for (const Directive& d : *level) {
      if (d.name == "server") servers_.push_back(&d);
      if (d.name == "upstream") upstreams_.push_back(d.arguments[0].text);
      if (d.name == "map") maps_.push_back(&d);
    }
  }

  Expected route(const std::string& method, const std::string& host, int port,
                 const std::string& target) const {
    State s;
    s.method = method;
    s.host = lowered(host);
    s.target = target;
    const Directive* server = serverFor(s, port);
    Expected out;
    if (!server) return status(404);
    for (const Directive& d : server->inner)
      if (d.name == "server_name" && s.serverName.empty()) s.serverName = d.arguments[0].text;
    bool merge = true;
    for (const Directive& d : server->inner)
      if (d.name == "merge_slashes") merge = d.arguments[0].text == "on";
    s.merge = merge;
    if (!canonicalPath(target, merge, s.path, s.args)) return status(400);
    Outcome o = rewriteAll(server->inner, s);
    if (o.ended) return withText(o);
    bool internal = s.rewritten;
    const Directive* named = nullptr;
    for (int cycle = 0; cycle <= 10; ++cycle) {
      std::vector<const Directive*> chain{server};  // of the locations around it, the innermost last
      if (named) {
        chain.push_back(named);
        named = nullptr;
      } else {
        const Kind kind = find(*server, s, chain);
        if (kind == Kind::none) return status(404);
        if (kind == Kind::redirect) {
          Expected r = status(301);
          r.text = escape(s.path) + "/" + (s.args.empty() ? "" : "?" + s.args);
          return r;
        }
      }
      const Directive& location = *chain.back();
      out.location = written(location);
      if (has(location, "internal") && !internal) return at(status(404), out);
      internal = true;
      s.rewritten = false;
      s.stopped = false;
      o = rewriteAll(location.inner, s);
      if (o.ended) return at(withText(o), out);
      if (s.rewritten && !s.stopped) continue;
      // What may not pass, by the operators' page.
      if (unservable(chain)) return at(status(501), out);
      if (denied(chain)) return at(status(403), out);
      if (const Directive* files = child(location, "try_files")) {
        const std::string last = expand(files->arguments.back().text, s);
        if (last[0] == '=') return at(status(std::stoi(last.substr(1))), out);
        if (last[0] == '@') {
          for (const Directive& d : server->inner)
            if (d.name == "location" && d.arguments[0].text == last) named = &d;
          continue;
        }
        const std::size_t q = last.find('?');
        s.path = last.substr(0, q);
        if (q != std::string::npos) s.args = last.substr(q + 1);
        continue;
      }
      const Directive* pass = child(location, "proxy_pass");
      if (!pass) return at(status(404), out);
      return at(proxied(pass->arguments[0].text, location, s), out);
    }
    return at(status(500), out);
  }

 private:
  enum class Kind { none, found, redirect };
  struct State {
    std::string method, host, target, serverName, path, args;
    bool merge = true, rewritten = false, stopped = false;
    std::vector<std::string> groups;
    std::map<std::string, std::string> variables;
  };
  struct Outcome {
    bool ended = false;
    int status = 0;
    std::string text;
  };

  static Expected status(int code) {
    Expected e;
    e.status = code;
    return e;
  }
  static Expected at(Expected e, const Expected& where) {
    e.location = where.location;
    return e;
  }
  static Expected withText(const Outcome& o) {
    Expected e = status(o.status);
    e.text = o.text;
    return e;
  }
  static std::string lowered(std::string text) {
    for (char& c : text)
      if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
    return text;
  }
  static const Directive* child(const Directive& d, std::string_view name) {
    for (const Directive& each : d.inner)
      if (each.name == name) return &each;
    return nullptr;
  }
  static bool has(const Directive& d, std::string_view name) { return child(d, name) != nullptr; }

  // --- The path: RFC 3986, 5.2.4, segment by segment.
  static int hex(char c) {
    const auto at =
        std::string_view("0123456789abcdef").find(static_cast<char>(c >= 'A' && c <= 'F' ? c + 32 : c));
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
  }
  static bool canonicalPath(const std::string& target, bool merge, std::string& path, std::string& args) {
    if (target.empty() || target[0] != '/' || target.find('#') != std::string::npos) return false;
    const std::size_t q = target.find('?');
    const std::string raw = target.substr(0, q);
    args = q == std::string::npos ? "" : target.substr(q + 1);
    std::string decoded;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      char c = raw[i];
      const bool escaped = c == '%';
      if (escaped) {
        if (i + 2 >= raw.size() || hex(raw[i + 1]) < 0 || hex(raw[i + 2]) < 0) return false;
        c = static_cast<char>(hex(raw[i + 1]) * 16 + hex(raw[i + 2]));
        i += 2;
        if (c == '/') return false;
      } else if (c == ' ') {
        return false;
      }
      if (c == '\\' || (c >= 0 && c < 32) || c == 127) return false;
      decoded += c;
    }
    for (std::size_t i = 0; i + 2 < decoded.size(); ++i)
      if (decoded[i] == '%' && hex(decoded[i + 1]) >= 0 && hex(decoded[i + 2]) >= 0) return false;
    return tidy(decoded, merge, path);
  }
  static bool tidy(const std::string& decoded, bool merge, std::string& path) {
    std::vector<std::string> kept;
    std::vector<std::string> segments{""};
    for (const char c : decoded.substr(1))
      if (c == '/') segments.emplace_back();
      else segments.back() += c;
    for (std::size_t i = 0; i < segments.size(); ++i) {
      const bool last = i + 1 == segments.size();
      const std::string& segment = segments[i];
      if (segment == "..") {
        if (kept.empty()) return false;
        kept.pop_back();
        if (last) kept.emplace_back();
      } else if (segment == ".") {
        if (last) kept.emplace_back();
      } else if (segment.empty() && !last && merge) {
      } else if (segment.empty() && last && merge && !kept.empty() && kept.back().empty()) {
      } else {
        kept.push_back(segment);
      }
    }
    path.clear();
    for (const std::string& segment : kept) path += "/" + segment;
    if (path.empty()) path = "/";
    return true;
  }
  static std::string escape(const std::string& path) {
    std::string out;
    for (const char c : path) {
      const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                         std::string_view("-._~!$&'()*+,;=:@/").find(c) != std::string_view::npos;
      char text[4];
      std::snprintf(text, sizeof text, "%%%02X", static_cast<unsigned char>(c));
      out += plain ? std::string(1, c) : std::string(text);
    }
    return out;
  }

  // What may not stand in a URL at all (RFC 3986, 2).
  static std::string clean(const std::string& url) {
    std::string out;
    for (const char c : url) {
      char text[4];
      std::snprintf(text, sizeof text, "%%%02X", static_cast<unsigned char>(c));
      const bool bad = static_cast<unsigned char>(c) <= ' ' || static_cast<unsigned char>(c) >= 127 ||
                       std::string_view("\"<>\\^`{|}").find(c) != std::string_view::npos;
      out += bad ? std::string(text) : std::string(1, c);
    }
    return out;
  }

  // --- Servers: "Server names": exact, longest wildcard with the star in front, longest with it behind,
  // expressions.
  const Directive* serverFor(State& s, int port) const {
    const Directive *exact = nullptr, *front = nullptr, *behind = nullptr, *regex = nullptr,
                    *fallback = nullptr;
    std::size_t frontLength = 0, behindLength = 0;
    std::vector<std::pair<std::string, std::string>> named;
    bool isDefault = false;
    for (const Directive* server : servers_) {
      bool listens = false, any = false, told = false;
      for (const Directive& d : server->inner) {
        if (d.name != "listen") continue;
        any = true;
        const std::string& word = d.arguments[0].text;
        const std::size_t colon = word.rfind(':');
        const int mine = std::stoi(colon == std::string::npos ? word : word.substr(colon + 1));
        if (mine != port) continue;
        listens = true;
        for (const auto& a : d.arguments) told = told || a.text == "default_server";
      }
      if (!any) listens = port == 80;
      if (!listens) continue;
      if (!fallback || (told && !isDefault)) fallback = server;
      isDefault = isDefault || told;
      std::vector<std::string> names;
      for (const Directive& d : server->inner)
        if (d.name == "server_name")
          for (const auto& a : d.arguments) names.push_back(a.text);
      if (names.empty()) names.push_back("");
      for (const std::string& written : names) {
        const std::string name = written[0] == '~' ? written : lowered(written);
        if (name == s.host && !exact) exact = server;
        if (name[0] == '.' && name.substr(1) == s.host && !exact) exact = server;
        const std::string suffix = name[0] == '.' ? name : name.rfind("*.", 0) == 0 ? name.substr(1) : "";
        if (!suffix.empty() && s.host.size() > suffix.size() && s.host.ends_with(suffix) &&
            suffix.size() > frontLength) {
          front = server;
          frontLength = suffix.size();
        }
        if (name.ends_with(".*")) {
          const std::string prefix = name.substr(0, name.size() - 1);
          if (s.host.size() > prefix.size() && s.host.starts_with(prefix) && prefix.size() > behindLength) {
            behind = server;
            behindLength = prefix.size();
          }
        }
        if (name[0] == '~' && !regex && matches(name.substr(1), true, s.host, s, false)) regex = server;
      }
    }
    if (exact) return exact;
    if (front) return front;
    if (behind) return behind;
    if (regex) {
      for (const Directive& d : regex->inner)
        if (d.name == "server_name")
          for (const auto& a : d.arguments)
            if (a.text[0] == '~' && matches(a.text.substr(1), true, s.host, s, true)) return regex;
    }
    return fallback;
  }

  static bool matches(const std::string& pattern, bool caseless, const std::string& text, State& s,
                      bool keep) {
    const route::Regex regex(pattern, caseless);
    route::Captures captures;
    if (regex.match(text, &captures) != route::Regex::Result::matched) return false;
    if (!keep) return true;
    s.groups.assign(captures.begin(), captures.end());
    for (const auto& [name, group] : regex.names()) s.variables[name] = s.groups[group];
    return true;
  }

  // --- Locations
  static std::string written(const Directive& location) {
    if (location.arguments.size() == 2) return location.arguments[0].text + " " + location.arguments[1].text;
    return location.arguments[0].text;
  }
  static std::string sign(const Directive& location) {
    return location.arguments.size() == 2         ? location.arguments[0].text
           : location.arguments[0].text[0] == '@' ? "@"
                                                  : "";
  }
  static const std::string& name(const Directive& location) { return location.arguments.back().text; }

  Kind find(const Directive& in, State& s, std::vector<const Directive*>& chain) const {
    std::vector<const Directive*> final;
    const Kind kind = search(in, s, chain, final);
    if (kind == Kind::found) chain = final;
    return kind;
  }

  // `chain` leads to `in`. Found: `result` leads to the location. Whether it ends the search further out is
  // told by `ends_`.
  Kind search(const Directive& in, State& s, const std::vector<const Directive*>& chain,
              std::vector<const Directive*>& result) const {
    ends_ = true;
    std::vector<const Directive*> all;
    for (const Directive& d : in.inner)
      if (d.name == "location") all.push_back(&d);
    const auto with = [&](const Directive* last) {
      auto longer = chain;
      longer.push_back(last);
      return longer;
    };
    for (const Directive* l : all)
      if (sign(*l) == "=" && name(*l) == s.path) {
        result = with(l);
        return Kind::found;
      }
    bool sameName = false;
    for (const Directive* l : all)
      sameName = sameName || ((sign(*l).empty() || sign(*l) == "^~") && name(*l) == s.path);
    if (!sameName)
      for (const Directive* l : all)
        if ((sign(*l).empty() || sign(*l) == "^~" || sign(*l) == "=") && name(*l) == s.path + "/" &&
            passes(*l))
          return Kind::redirect;
    const Directive* longest = nullptr;
    for (const Directive* l : all)
      if ((sign(*l).empty() || sign(*l) == "^~") && s.path.starts_with(name(*l)) &&
          (!longest || name(*l).size() > name(*longest).size()))
        longest = l;
    Kind remembered = Kind::none;
    if (longest) {
      result = with(longest);
      remembered = Kind::found;
      std::vector<const Directive*> inner;
      const Kind nested = search(*longest, s, with(longest), inner);
      if (nested == Kind::redirect) return nested;
      if (nested == Kind::found) {
        result = inner;
        if (ends_) return nested;
      }
    }
    ends_ = true;
    if (!longest || sign(*longest) != "^~")
      for (const Directive* l : all)
        if ((sign(*l) == "~" || sign(*l) == "~*") && matches(name(*l), sign(*l) == "~*", s.path, s, true)) {
          result = with(l);
          std::vector<const Directive*> inner;
          const Kind nested = search(*l, s, with(l), inner);
          if (nested == Kind::redirect) return nested;
          if (nested == Kind::found) result = inner;
          ends_ = true;
          return Kind::found;
        }
    ends_ = false;
    return remembered;
  }

  // --- What may not pass
  static bool passes(const Directive& location) {
    for (const char* each :
         {"proxy_pass", "fastcgi_pass", "uwsgi_pass", "scgi_pass", "memcached_pass", "grpc_pass"})
      if (has(location, each)) return true;
    return false;
  }
  static bool unservable(const std::vector<const Directive*>& chain) {
    using import_nginx::Treatment;
    std::map<std::string, bool> on;
    for (const Directive* level : chain) {
      bool access = false, byAddress = false;
      for (const Directive& d : level->inner) {
        const auto* row = import_nginx::findRow(d.name);
        if ((row && row->treatment == Treatment::guard) || d.name == "auth_basic" || d.name == "auth_request")
          on[d.name] = d.arguments[0].text != "off";
        if ((d.name == "allow" || d.name == "deny") && !access) {
          access = true;
          byAddress = d.arguments[0].text != "all";
        }
      }
      if (access) on["access"] = byAddress;
    }
    for (const auto& [name, value] : on)
      if (value) return true;
    for (const Directive& d : chain.back()->inner) {
      const auto* row = import_nginx::findRow(d.name);
      if (row && row->treatment == Treatment::handler) return true;
      if (d.name == "proxy_pass" && d.arguments[0].text.starts_with("https:")) return true;
    }
    return false;
  }
  static bool denied(const std::vector<const Directive*>& chain) {
    bool out = false;
    for (const Directive* level : chain) {
      bool first = true;
      for (const Directive& d : level->inner) {
        if (d.name != "allow" && d.name != "deny") continue;
        if (first) out = d.name == "deny" && d.arguments[0].text == "all";
        first = false;
      }
    }
    return out;
  }

  // --- The rewrite module, directive by directive
  Outcome rewriteAll(const std::vector<Directive>& directives, State& s) const {
    for (const Directive& d : directives) {
      const auto word = [&](std::size_t i) { return d.arguments[i].text; };
      if (d.name == "set") s.variables[word(0).substr(1)] = expand(word(1), s);
      if (d.name == "break") {
        s.stopped = true;
        return {};
      }
      if (d.name == "return") {
        const bool number = word(0).find_first_not_of("0123456789") == std::string::npos;
        if (!number) return {true, 302, expand(word(0), s)};
        return {true, std::stoi(word(0)), d.arguments.size() > 1 ? expand(word(1), s) : ""};
      }
      if (d.name == "rewrite") {
        if (!matches(word(0), false, s.path, s, true)) continue;
        const std::string flag = d.arguments.size() > 2 ? word(2) : "";
        std::string to = word(1);
        const bool drop = to.ends_with("?");
        if (drop) to.pop_back();
        const std::size_t q = to.find('?');
        std::string path = expand(to.substr(0, q), s);
        std::string args = q == std::string::npos ? "" : expand(to.substr(q + 1), s);
        if (!drop && !s.args.empty()) args += (args.empty() ? "" : "&") + s.args;
        if (flag == "redirect" || flag == "permanent" || to.starts_with("http")) {
          const std::string where =
              (path[0] == '/' ? escape(path) : clean(path)) + (args.empty() ? "" : "?" + clean(args));
          return {true, flag == "permanent" ? 301 : 302, where};
        }
        if (path.size() > 1000) return {true, 500, ""};  // beyond what the tests' files make on purpose
        if (!tidy(path, s.merge, s.path)) return {true, 500, ""};
        s.args = args;
        s.rewritten = true;
        if (flag == "last") return {};
        if (flag == "break") {
          s.stopped = true;
          return {};
        }
      }
      if (d.name == "if" && holds(d, s)) {
        const State before = s;
        Outcome o = rewriteAll(d.inner, s);
        if (o.ended || s.stopped) return o;
        const bool jumped = s.rewritten && !before.rewritten;
        if (jumped) return {};
      }
    }
    return {};
  }

  bool holds(const Directive& d, State& s) const {
    std::string first = d.arguments[0].text.substr(1);
    if (d.arguments.size() == 1) {
      first.pop_back();
      const std::string value = expand(first, s);
      return !value.empty() && value != "0";
    }
    if (first[0] == '-') return false;
    if (first[0] == '!' && first[1] == '-') return true;
    const std::string op = d.arguments[1].text, value = expand(first, s);
    std::string operand = d.arguments[2].text;
    if (operand.ends_with(")")) operand.pop_back();
    if (op == "=") return value == expand(operand, s);
    if (op == "!=") return value != expand(operand, s);
    const bool matched = matches(operand, op.ends_with("*"), value, s, true);
    return matched == (op[0] != '!');
  }

  // --- Variables
  std::string expand(const std::string& text, State& s) const {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] != '$') {
        out += text[i];
        continue;
      }
      std::string name;
      if (text[i + 1] >= '0' && text[i + 1] <= '9') name = text[++i];
      else
        while (i + 1 < text.size() &&
               (std::isalnum(static_cast<unsigned char>(text[i + 1])) || text[i + 1] == '_'))
          name += text[++i];
      out += variable(name, s);
    }
    return out;
  }
  std::string variable(const std::string& name, State& s) const {
    if (name.size() == 1 && name[0] >= '0' && name[0] <= '9') {
      const std::size_t group = static_cast<std::size_t>(name[0] - '0');
      return group < s.groups.size() ? s.groups[group] : "";
    }
    if (s.variables.contains(name)) return s.variables[name];
    for (const Directive* map : maps_)
      if (map->arguments[1].text == "$" + name) return mapped(*map, s);
    if (name == "uri") return s.path;
    if (name == "args") return s.args;
    if (name == "is_args") return s.args.empty() ? "" : "?";
    if (name == "host") return s.host.empty() ? s.serverName : s.host;
    if (name == "request_uri") return s.target;
    if (name == "request_method") return s.method;
    if (name.starts_with("arg_")) {
      std::string rest = "&" + s.args + "&";
      const std::size_t found = rest.find("&" + name.substr(4) + "=");
      if (found == std::string::npos) return "";
      rest.erase(0, found + name.size() - 4 + 2);
      return rest.substr(0, rest.find('&'));
    }
    return "";
  }
  std::string mapped(const Directive& map, State& s) const {
    const std::string value = lowered(expand(map.arguments[0].text, s));
    const std::string whole = expand(map.arguments[0].text, s);
    bool hostnames = false;
    for (const Directive& e : map.inner) hostnames = hostnames || e.name == "hostnames";
    const Directive *exact = nullptr, *front = nullptr, *behind = nullptr, *fallback = nullptr;
    for (const Directive& e : map.inner) {
      if (e.arguments.empty()) continue;
      if (e.name == "default") fallback = &e;
      else if (e.name[0] != '~' && lowered(e.name) == value) exact = &e;
      else if (hostnames && e.name.starts_with("*.") && value.ends_with(e.name.substr(1)) &&
               value.size() > e.name.size() - 1 && (!front || e.name.size() > front->name.size()))
        front = &e;
      else if (hostnames && e.name.ends_with(".*") &&
               value.starts_with(e.name.substr(0, e.name.size() - 1)) &&
               (!behind || e.name.size() > behind->name.size()))
        behind = &e;
    }
    for (const Directive* found : {exact, front, behind})
      if (found) return expand(found->arguments[0].text, s);
    for (const Directive& e : map.inner)
      if (!e.name.empty() && e.name[0] == '~') {
        const bool caseless = e.name.size() > 1 && e.name[1] == '*';
        if (matches(e.name.substr(caseless ? 2 : 1), caseless, whole, s, true))
          return expand(e.arguments[0].text, s);
      }
    return fallback ? expand(fallback->arguments[0].text, s) : "";
  }

  // --- proxy_pass
  Expected proxied(const std::string& url, const Directive& location, State& s) const {
    const std::string rest = url.substr(7);
    const std::size_t slash = rest.find('/'), dollar = rest.find('$');
    Expected out;
    std::string path = s.path, args = s.args;
    std::string whole;  // with variables: stands for all
    if (dollar < slash) {
      const std::string value = expand(rest, s);
      out.pool = value.substr(0, value.find('/'));
      if (value.find('/') != std::string::npos) whole = value.substr(value.find('/'));
      bool known = false;
      for (const std::string& each : upstreams_) known = known || each == out.pool;
      if (!known) return status(502);
    } else {
      out.pool = rest.substr(0, slash);
      if (slash != std::string::npos && !s.rewritten) {
        const std::string uri = rest.substr(slash);
        if (dollar != std::string::npos) whole = expand(uri, s);
        else if (!tidy(uri + s.path.substr(name(location).size()), s.merge, path)) return status(500);
      }
    }
    if (!whole.empty()) {
      // A value that is decoded already is not decoded again: only whole escapes are.
      std::string target;
      for (std::size_t i = 0; i < whole.size(); ++i) {
        const bool escape = i + 2 < whole.size() && hex(whole[i + 1]) >= 0 && hex(whole[i + 2]) >= 0;
        target += whole[i] == '%' && !escape ? "%25" : std::string(1, whole[i]);
      }
      target = clean(target);
      if (!canonicalPath(target, s.merge, path, args)) return status(500);
    }
    out.uri = escape(path) + (args.empty() ? "" : "?" + clean(args));
    return out;
  }

  std::vector<const Directive*> servers_, maps_;
  std::vector<std::string> upstreams_;
  mutable bool ends_ = true;
};

}  // namespace cairnjunction::testing
