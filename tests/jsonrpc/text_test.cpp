// Frames, texts and settings of JSON-RPC, without a socket.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "jsonrpc/frame.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/reply.hpp"
#include "jsonrpc/settings.hpp"

namespace cairnjunction::jsonrpc {
namespace {

using nlohmann::json;
using State = FrameReader::State;

std::string padded(std::string text) {
  text.reserve(text.size() + kPadding);
  return text;
}

// --- Frames
// -------------------------------------------------------------------------------------------------

// All frames of an input that comes `step` bytes at a time.
std::vector<std::string> framesOf(const std::string& input, std::size_t step, State* last = nullptr) {
  FrameReader reader(1000);
  std::string have;
  std::vector<std::string> frames;
  State state = State::more;
  for (std::size_t at = 0; at < input.size(); at += step) {
    have += input.substr(at, step);
    std::string_view text;
    while ((state = reader.next(have, text)) == State::frame) {
      frames.emplace_back(text);
      have.erase(0, reader.taken());
    }
    have.erase(0, reader.taken());
    if (state != State::more) break;
  }
  if (last) *last = state;
  return frames;
}

TEST(Frames, AreTheSameHoweverTheBytesCome) {
  const std::string lines = "{\"a\":1}\r\n\n  \n[1,2]\n{}\n{\"rest\":";
  const std::string headers =
      "Content-Length: 7\r\n\r\n{\"a\":1}content-length:2\r\nContent-Type: x\r\n\r\n[]Content-Length: "
      "0\r\n\r\n";
  for (std::size_t step = 1; step <= headers.size(); ++step) {
    EXPECT_EQ(framesOf(lines, step), (std::vector<std::string>{"{\"a\":1}", "[1,2]", "{}"})) << step;
    EXPECT_EQ(framesOf(headers, step), (std::vector<std::string>{"{\"a\":1}", "[]", ""})) << step;
  }
}

TEST(Frames, WhatCannotBeFramedIsBad) {
  State state = State::more;
  for (const std::string bad :
       {"x: 1\r\n\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: 1x\r\n\r\n", "Content-Length:\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", "Content-Length: 99999999999999999999\r\n\r\n",
        "Content Length: 1\r\n\r\n", "GET / HTTP/1.1\r\n", "\x80\x81", "7"}) {
    framesOf(bad, 3, &state);
    EXPECT_EQ(state, State::bad) << bad;
  }
  framesOf("Content-Length: 1001\r\n\r\n", 3, &state);
  EXPECT_EQ(state, State::tooLarge);
  framesOf("[" + std::string(1001, ' '), 100, &state);
  EXPECT_EQ(state, State::tooLarge);
  framesOf("Content-Length: 1000\r\n\r\n", 3, &state);
  EXPECT_EQ(state, State::more);
}

TEST(Frames, ATextOfSeveralLinesGoesOutAsOne) {
  std::string out;
  appendFrame(Form::lines, "{\n \"a\":\r\n1}", out);
  EXPECT_EQ(out, "{  \"a\":  1}\n");
}

// --- Texts
// ----------------------------------------------------------------------------------------------------

TEST(Parser, TellsTheKindsOfEntriesApart) {
  Parser parser(10000);
  const std::string text = padded(
      "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"m\",\"params\":[ 1 , 2 ] },"
      "{\"jsonrpc\":\"2.0\",\"method\":\"m\"},{\"jsonrpc\":\"2.0\",\"id\":null,\"method\":\"\\u006d\"},"
      "{\"method\":\"m\",\"id\":1,\"params\":[]},7]");
  const Request& r = parser.parseRequest(text, 10);
  ASSERT_EQ(r.error, 0);
  ASSERT_EQ(r.entries.size(), 5u);
  EXPECT_EQ(r.entries[0].kind, Entry::Kind::call);
  EXPECT_EQ(r.entries[0].params, "[ 1 , 2 ]");
  EXPECT_EQ(r.entries[1].kind, Entry::Kind::notification);
  EXPECT_EQ(r.entries[2].kind, Entry::Kind::call);
  EXPECT_EQ(r.entries[2].method, "m");
  EXPECT_EQ(r.entries[2].id, "null");
  EXPECT_EQ(r.entries[3].kind, Entry::Kind::invalid) << "1.0 has no batches";
  EXPECT_EQ(r.entries[4].kind, Entry::Kind::invalid);
}

TEST(Parser, IdsAreComparedByValue) {
  Parser parser(10000);
  const auto key = [&](const std::string& id) {
    const std::string text = padded("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":" + id + "}");
    const Request& r = parser.parseRequest(text, 10);
    EXPECT_EQ(r.error, 0) << id;
    EXPECT_EQ(r.entries[0].id, id);
    return r.entries[0].key;
  };
  EXPECT_EQ(key("1"), key("1.0"));
  EXPECT_EQ(key("1"), key("10e-1"));
  EXPECT_EQ(key("-0.0"), key("0"));
  EXPECT_NE(key("1"), key("\"1\""));
  EXPECT_EQ(key("\"a\""), key("\"\\u0061\""));
  EXPECT_NE(key("9223372036854775807"), key("9223372036854775808"));
  EXPECT_NE(key("18446744073709551615"), key("18446744073709551614"));
  EXPECT_EQ(key("1.5"), key("15e-1"));
  EXPECT_NE(key("\"n1\""), key("1"));
}

TEST(Parser, FindsWhatAPointerNames) {
  Parser parser(10000);
  const std::string text = padded(
      "{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":1,\"params\":{\"a\":{\"b/"
      "c\":[7,\"x\",true]},\"n\":null}}");
  parser.parseRequest(text, 10);
  EXPECT_EQ(parser.param(0, "/a/b~1c/0"), "7");
  EXPECT_EQ(parser.param(0, "/a/b~1c/1"), "x");
  EXPECT_EQ(parser.param(0, "/a/b~1c/2"), "true");
  EXPECT_EQ(parser.param(0, "/n"), std::nullopt);
  EXPECT_EQ(parser.param(0, "/a"), std::nullopt);
  EXPECT_EQ(parser.param(0, "/none"), std::nullopt);
  EXPECT_EQ(parser.param(3, "/a"), std::nullopt);
}

TEST(Parser, AnswersOfWorkers) {
  Parser parser(10000);
  const auto answer = [&](const std::string& text) { return parser.parseAnswer(padded(text)); };
  EXPECT_EQ(answer("{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":null}").result.size(), 4u);
  EXPECT_TRUE(answer("{\"id\":7,\"result\":{\"a\":1},\"error\":null}").readable);
  EXPECT_TRUE(answer("{\"id\":7,\"error\":{\"code\":1,\"message\":\"\"}}").failed);
  EXPECT_TRUE(answer("{\"id\":7,\"error\":{\"code\":1,\"data\":{\"not_run\":true}}}").notRun);
  for (const char* bad : {"{\"id\":7}", "{\"id\":7,\"result\":1,\"error\":{\"code\":1}}",
                          "{\"id\":7,\"error\":{}}", "[]", "7", "{", "{\"id\":7,\"result\":1,\"result\":2}",
                          "{\"id\":7,\"error\":{\"code\":\"x\"}}", "{\"id\":7,\"error\":5}"})
    EXPECT_FALSE(answer(bad).readable) << bad;
  EXPECT_FALSE(answer("{\"id\":\"7\",\"result\":1}").hasId);
  EXPECT_FALSE(answer("{\"id\":-7,\"result\":1}").hasId);
}

TEST(Parser, QuotesWhatItIsGiven) {
  std::string all;
  for (char c = 1; c < 0x7f; ++c) all += c;
  EXPECT_EQ(json::parse(jsonrpc::quoted(all)).get<std::string>(), all);
  EXPECT_EQ(json::parse(jsonrpc::quoted("\xc3\xa9")).get<std::string>(), "\xc3\xa9");
}

TEST(Replies, AWorkersAnswerThatIsNoJsonIsAStringAndOneThatIsNoTextHasFailed) {
  Parser parser(10000);
  const auto of = [&](const std::string& body) {
    Reply reply;
    reply.status = ReplyStatus::ok;
    reply.message.body = body;
    return resultOf(std::move(reply), false, parser);
  };
  EXPECT_EQ(of("{\"a\": 1}").json, "{\"a\": 1}");
  EXPECT_EQ(of("plain \"text\"").json, "\"plain \\\"text\\\"\"");
  EXPECT_EQ(of("").json, "null");
  EXPECT_TRUE(of("\xff\xfe").isError);
}

// --- Settings
// ---------------------------------------------------------------------------------------------------

const json kGood = {{"listen", "127.0.0.1:9090"},
                    {"methods", {{{"name", "cut"}, {"class", "read"}, {"worth", 3}}, {{"name", "read"}}}}};

void expectBad(json change, const std::string& word) {
  json j = kGood;
  j.merge_patch(change);
  try {
    parseSettings(j);
    FAIL() << "taken: " << change;
  } catch (const BadSettings& bad) {
    EXPECT_NE(std::string(bad.what()).find(word), std::string::npos) << bad.what();
    EXPECT_EQ(std::string(bad.what()).find('\n'), std::string::npos);
  }
}

TEST(JsonRpcSettings, EachMistakeIsNamed) {
  EXPECT_NO_THROW(parseSettings(kGood));
  EXPECT_NO_THROW(parseSettings(json::object()));
  expectBad({{"listen", "here"}}, "'here' is no address:port");
  expectBad({{"lissten", 1}}, "unknown member 'lissten'");
  expectBad({{"methods", json::array()}}, "no methods");
  expectBad({{"methods", {{{"name", "rpc.x"}}}}}, "rpc.");
  expectBad({{"methods", {{{"class", "x"}}}}}, "no name");
  expectBad({{"methods", {{{"name", "a"}}, {{"name", "a"}}}}}, "twice");
  expectBad({{"methods", {{{"name", "a"}, {"key", "key"}}}}}, "JSON pointer");
  expectBad({{"methods", {{{"name", "a"}, {"path", "/a b"}}}}}, "no path");
  expectBad({{"methods", {{{"name", "a"}, {"deadline_ms", 0}}}}}, "deadline_ms");
  expectBad({{"limits", {{"batch", -1}}}}, "limits.batch: found -1");
  expectBad({{"limits", {{"batch", "x"}}}}, "expected a number");
  expectBad({{"sessions", {{"ttl_s", 1}}}}, "ttl_s");
  expectBad({{"limits", {{"stalled_ms", 20000}}}}, "ttl_s must be above");
  expectBad({{"workers", {{"protocol", "smtp"}}}}, "expected 'http' or 'json-rpc'");
  expectBad({{"workers", {{"streams", 0}}}}, "streams");
}

TEST(JsonRpcSettings, MethodsFindTheirClasses) {
  policy::Settings module;
  for (const char* name : {"read", "put"}) {
    policy::ClassSettings c;
    c.name = name;
    c.latencyObjective = c.clientTimeout = std::chrono::seconds(1);
    c.idempotency = std::string(name) == "put" ? policy::Idempotency::keyed : policy::Idempotency::safe;
    module.classes.push_back(c);
  }
  Settings s = parseSettings(kGood);
  resolve(s, module);
  ASSERT_EQ(module.classes.size(), 3u) << "one of its own worth";
  EXPECT_EQ(module.classes[2].priorityWeight, 3);
  EXPECT_EQ(module.classes[2].idempotency, policy::Idempotency::safe);
  EXPECT_EQ(s.methods[0].classIndex, 2u);
  EXPECT_EQ(s.methods[1].classIndex, 0u);
  EXPECT_EQ(s.methods[1].target, "/read");
  Settings unknown = parseSettings({{"methods", {{{"name", "x"}}}}});
  EXPECT_THROW(resolve(unknown, module), BadSettings);
  Settings keyless = parseSettings({{"methods", {{{"name", "put"}}}}});
  EXPECT_THROW(resolve(keyless, module), BadSettings) << "a keyed class needs to know where its key stands";
}

}  // namespace
}  // namespace cairnjunction::jsonrpc
