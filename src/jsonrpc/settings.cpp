// Reads the JSON-RPC settings strictly: each member is checked, unknown ones are errors.
#include "jsonrpc/settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

#include "discovery/endpoint_list.hpp"

namespace cairnjunction::jsonrpc {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

// The time to live of a session's results. A response may wait up to twice `stalled` here and up to half the
// time to live in the kernel before its connection is known to be dead. With a shorter time to live, the
// result would be forgotten before the client can resume the session, and its call would run again.
constexpr double kTtlLeast = 25, kTtlMost = 3600;  // seconds
constexpr double kDeadlineMost = 600'000;          // milliseconds
constexpr std::uint32_t kStreamsMost = 1024;

using Readers = std::map<std::string, std::function<void(const json&)>>;

void readObject(const json& object, const std::string& where, const Readers& readers) {
  if (!object.is_object())
    throw BadSettings(where + ": found " + object.type_name() + ", expected an object");
  for (const auto& [name, value] : object.items()) {
    const auto reader = readers.find(name);
    if (reader == readers.end()) {
      std::string known;
      for (const auto& [each, unused] : readers) known += (known.empty() ? "" : ", ") + each;
      throw BadSettings(where + ": unknown member '" + name + "', expected one of " + known);
    }
    try {
      reader->second(value);
    } catch (const BadSettings& bad) {
      throw BadSettings(where + "." + name + ": " + bad.what());
    }
  }
}

double number(const json& value, double least, double most) {
  if (!value.is_number())
    throw BadSettings(std::string("found ") + value.type_name() + ", expected a number");
  const double n = value.get<double>();
  if (!(n >= least && n <= most))
    throw BadSettings("found " + value.dump() + ", expected " + json(least).dump() + " to " +
                      json(most).dump());
  return n;
}

std::string text(const json& value) {
  if (!value.is_string())
    throw BadSettings(std::string("found ") + value.type_name() + ", expected a string");
  return value.get<std::string>();
}

std::string pointer(const json& value) {
  const std::string at = text(value);
  try {
    if (at.empty() || json::json_pointer(at).empty()) throw BadSettings("an empty pointer");
  } catch (const json::exception&) {
    throw BadSettings("'" + at + "' is no JSON pointer, which begins with '/'");
  }
  return at;
}

tcp::endpoint endpoint(const json& value) {
  try {
    return parseEndpoint(text(value));
  } catch (const std::invalid_argument& bad) {
    throw BadSettings(bad.what());
  }
}

std::string target(const json& value) {
  const std::string path = text(value);
  if (path.empty() || path.front() != '/' || !std::all_of(path.begin(), path.end(), [](char c) {
        return c > ' ' && c < 0x7f && c != '?' && c != '#';
      }))
    throw BadSettings("'" + path + "' is no path");
  return path;
}

std::size_t size(const json& value, double least, double most) {
  return static_cast<std::size_t>(number(value, least, most));
}

MethodSettings readMethod(const json& entry, const std::string& where) {
  MethodSettings m;
  readObject(entry, where,
             {{"name", [&](const json& v) { m.name = text(v); }},
              {"class", [&](const json& v) { m.className = text(v); }},
              {"worth", [&](const json& v) { m.worth = number(v, 0, 1e9); }},
              {"deadline_ms",
               [&](const json& v) {
                 m.deadline = std::chrono::microseconds(std::llround(number(v, 1, kDeadlineMost) * 1000));
               }},
              {"deadline", [&](const json& v) { m.deadlineAt = pointer(v); }},
              {"key", [&](const json& v) { m.keyAt = pointer(v); }},
              {"object", [&](const json& v) { m.objectAt = pointer(v); }},
              {"path", [&](const json& v) { m.target = target(v); }}});
  if (m.name.empty()) throw BadSettings(where + ": no name");
  if (m.name.rfind("rpc.", 0) == 0)
    throw BadSettings(where + ": names that begin with 'rpc.' are the specification's");
  if (m.className.empty()) m.className = m.name;
  return m;
}

}  // namespace

Settings parseSettings(const json& file) {
  Settings s;
  const double huge = 1 << 30;
  const auto milliseconds = [](const json& v, std::chrono::milliseconds& into) {
    into = std::chrono::milliseconds(std::llround(number(v, 1, 86'400'000)));
  };
  readObject(
      file, "jsonrpc",
      {{"listen", [&](const json& v) { s.listen = endpoint(v); }},
       {"methods",
        [&](const json& v) {
          if (!v.is_array()) throw BadSettings("expected a list");
          for (std::size_t i = 0; i < v.size(); ++i)
            s.methods.push_back(readMethod(v[i], "[" + std::to_string(i) + "]"));
        }},
       {"limits",
        [&](const json& v) {
          FrontendLimits& l = s.limits;
          readObject(v, "limits",
                     {{"connections", [&](const json& n) { l.connections = size(n, 1, 1e6); }},
                      {"frame_bytes", [&](const json& n) { l.frameBytes = size(n, 1024, huge / 64); }},
                      {"params_bytes", [&](const json& n) { l.paramsBytes = size(n, 16, huge / 64); }},
                      {"batch", [&](const json& n) { l.batch = size(n, 1, 100'000); }},
                      {"open_of_one", [&](const json& n) { l.openOfOne = size(n, 1, 1e6); }},
                      {"open", [&](const json& n) { l.open = size(n, 1, 1e7); }},
                      {"unsent_of_one", [&](const json& n) { l.unsentOfOne = size(n, 1024, huge); }},
                      {"bytes", [&](const json& n) { l.bytes = size(n, 65536, huge); }},
                      {"bad_most", [&](const json& n) { l.badMost = size(n, 1, 1e6); }},
                      {"slow_ms", [&](const json& n) { milliseconds(n, l.slow); }},
                      {"stalled_ms", [&](const json& n) { milliseconds(n, l.stalled); }},
                      {"idle_ms", [&](const json& n) { milliseconds(n, l.idle); }}});
        }},
       {"sessions",
        [&](const json& v) {
          SessionTable::Limits& l = s.sessions;
          readObject(v, "sessions",
                     {{"ttl_s",
                       [&](const json& n) {
                         l.ttl =
                             std::chrono::milliseconds(std::llround(number(n, kTtlLeast, kTtlMost) * 1000));
                       }},
                      {"sessions", [&](const json& n) { l.sessions = size(n, 0, 1e6); }},
                      {"entries", [&](const json& n) { l.entries = size(n, 0, 1e7); }},
                      {"entries_of_one", [&](const json& n) { l.entriesPerSession = size(n, 0, 1e7); }},
                      {"bytes", [&](const json& n) { l.bytes = size(n, 0, huge); }}});
        }},
       {"workers", [&](const json& v) {
          UpstreamSettings& w = s.workers;
          readObject(
              v, "workers",
              {{"protocol",
                [&](const json& n) {
                  const std::string word = text(n);
                  if (word != "http" && word != "json-rpc")
                    throw BadSettings("found '" + word + "', expected 'http' or 'json-rpc'");
                  w.jsonRpc = word == "json-rpc";
                }},
               {"streams",
                [&](const json& n) { w.streams = static_cast<std::uint32_t>(number(n, 1, kStreamsMost)); }},
               {"frames", [&](const json& n) {
                  const std::string word = text(n);
                  if (word != "lines" && word != "headers")
                    throw BadSettings("found '" + word + "', expected 'lines' or 'headers'");
                  w.form = word == "lines" ? Form::lines : Form::headers;
                }}});
        }}});
  for (std::size_t i = 0; i < s.methods.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (s.methods[i].name == s.methods[j].name)
        throw BadSettings("jsonrpc.methods: '" + s.methods[i].name + "' comes twice");
  if (s.listen && s.methods.empty()) throw BadSettings("jsonrpc: a listener and no methods");
  const double ttl = std::chrono::duration<double>(s.sessions.ttl).count();
  const double stalled = std::chrono::duration<double>(s.limits.stalled).count();
  if (2 * stalled + ttl / 2 >= ttl)
    throw BadSettings("jsonrpc: sessions.ttl_s must be above four times limits.stalled_ms");
  return s;
}

Settings readSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadSettings("cannot read " + path);
  json parsed;
  try {
    parsed = json::parse(file);
  } catch (const json::exception& bad) {
    throw BadSettings(path + " holds no JSON: " + bad.what());
  }
  return parseSettings(parsed);
}

void resolve(Settings& settings, policy::Settings& module) {
  if (settings.workers.jsonRpc) module.streamsPerConnection = settings.workers.streams;
  const std::size_t given = module.classes.size();
  for (MethodSettings& method : settings.methods) {
    std::size_t at = 0;
    while (at < given && module.classes[at].name != method.className) ++at;
    if (at == given)
      throw BadSettings("jsonrpc.methods: '" + method.name + "' names the class '" + method.className +
                        "', which the settings do not have");
    method.effect = module.classes[at].idempotency;
    if (method.effect == policy::Idempotency::keyed && method.keyAt.empty())
      throw BadSettings("jsonrpc.methods: '" + method.name + "' is of the keyed class '" + method.className +
                        "' and has no key");
    if (method.target.empty()) method.target = "/" + method.className;
    if (method.deadline <= policy::Duration{}) method.deadline = module.classes[at].clientTimeout;
    if (method.worth && *method.worth != module.classes[at].priorityWeight) {
      policy::ClassSettings own = module.classes[at];
      own.name = method.className + "/" + method.name;
      own.priorityWeight = *method.worth;
      at = module.classes.size();
      module.classes.push_back(own);
    }
    method.classIndex = static_cast<std::uint32_t>(at);
  }
}

}  // namespace cairnjunction::jsonrpc
