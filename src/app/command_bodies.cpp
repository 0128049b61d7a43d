#include "app/command_bodies.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_object_reader.hpp"

namespace cairnjunction {
namespace {

using nlohmann::json;

// Fields of a ProbeReport and of its recoveries.
constexpr const char* kUnreachable = "out";
constexpr const char* kRecovered = "up";
constexpr const char* kUid = "uid";
constexpr const char* kAgeMs = "age_ms";
// Fields of an EndpointListMessage beside those of the list.
constexpr const char* kSource = "source";
constexpr const char* kEpoch = "era";

json parseDocument(std::string_view body) {
  json document = json::parse(body, nullptr, false);
  if (document.is_discarded()) throw InvalidCommandBody("expected JSON");
  return document;
}

std::vector<std::string> parseUids(const JsonObjectReader& reader) {
  std::vector<std::string> uids;
  if (!reader.has(kUnreachable)) return uids;
  for (const json& uid : reader.array(kUnreachable, kMaxReportedEndpoints)) {
    if (!uid.is_string())
      throw JsonFieldError(reader.pathOfEntry(kUnreachable, uids.size()), "a text", uid.type_name());
    uids.push_back(uid.get<std::string>());
  }
  return uids;
}

std::vector<ProbeReport::Recovery> parseRecoveries(const JsonObjectReader& reader) {
  std::vector<ProbeReport::Recovery> recoveries;
  if (!reader.has(kRecovered)) return recoveries;
  for (const json& entry : reader.array(kRecovered, kMaxReportedEndpoints)) {
    const JsonObjectReader fields(entry, reader.pathOfEntry(kRecovered, recoveries.size()));
    const std::int64_t ageMs = fields.integer(kAgeMs, {0, kMaxRecoveryAge.count()});
    recoveries.push_back({fields.text(kUid), std::chrono::milliseconds(ageMs)});
  }
  return recoveries;
}

}  // namespace

std::string encode(const ProbeReport& report) {
  json recovered = json::array();
  for (const ProbeReport::Recovery& recovery : report.recovered)
    recovered.push_back({{kUid, recovery.uid}, {kAgeMs, std::min(recovery.age, kMaxRecoveryAge).count()}});
  return json{{kUnreachable, report.unreachable}, {kRecovered, std::move(recovered)}}.dump();
}

std::string encode(const EndpointListMessage& message) {
  json body = toJson(message.list);
  body[kSource] = message.version.source;
  body[kEpoch] = message.version.epoch;
  return body.dump();
}

ProbeReport parseProbeReport(std::string_view body) {
  const json document = parseDocument(body);
  try {
    const JsonObjectReader reader(document, "");
    return {parseUids(reader), parseRecoveries(reader)};
  } catch (const JsonFieldError& error) {
    throw InvalidCommandBody(error.what());
  }
}

EndpointListMessage parseEndpointListMessage(std::string_view body) {
  const json document = parseDocument(body);
  try {
    EndpointListMessage message;
    message.list = parseEndpointList(document);
    message.list.full = true;
    const JsonObjectReader reader(document, "");
    message.version.source = reader.text(kSource, "");
    message.version.epoch =
        static_cast<std::uint64_t>(reader.integer(kEpoch, {0, std::numeric_limits<std::int64_t>::max()}, 0));
    message.version.version = message.list.version;
    return message;
  } catch (const EndpointListError& error) {
    throw InvalidCommandBody(error.what());
  } catch (const JsonFieldError& error) {
    throw InvalidCommandBody(error.what());
  }
}

}  // namespace cairnjunction
