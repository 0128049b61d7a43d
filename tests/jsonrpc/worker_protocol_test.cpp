#include "jsonrpc/worker_protocol.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using policy::Outcome;

class WorkerProtocolTest : public ::testing::Test {
 protected:
  jsonrpc::Parser parser{1 << 16};
  Call call;

  WorkerProtocolTest() {
    call.externalId = "name";
    call.message.operation = "work";
  }
  std::string text(policy::Duration timeRemaining = 250ms) {
    return jsonrpc::requestText(7, call, timeRemaining, parser);
  }
};

TEST_F(WorkerProtocolTest, ACallIsARequestWithItsNameAndTime) {
  call.message.format = Format::json;
  call.message.body = "[1, 2]";
  EXPECT_EQ(json::parse(text()),
            json::parse(R"({"jsonrpc": "2.0", "id": 7, "method": "work", "params": [1, 2],
      "call": {"name": "name", "deadline_ms": 250}})"));
}

TEST_F(WorkerProtocolTest, AKeyIsToldIfThereIsOne) {
  call.idempotencyKey = "key";
  EXPECT_EQ(json::parse(text())["call"]["key"], "key");
}

TEST_F(WorkerProtocolTest, WithoutParamsThereIsNoSuchMember) {
  call.message.format = Format::json;
  EXPECT_FALSE(json::parse(text()).contains("params"));
}

TEST_F(WorkerProtocolTest, TheTimeIsOneMillisecondAtLeast) {
  EXPECT_EQ(json::parse(text(10us))["call"]["deadline_ms"], 1);
  EXPECT_EQ(json::parse(text(-1s))["call"]["deadline_ms"], 1);
}

TEST_F(WorkerProtocolTest, ACallOfAnotherProtocolHasItsPathAndBodyAsParams) {
  call.message.target = "/work?x=1";
  call.message.body = "no json";
  EXPECT_EQ(json::parse(text())["params"], (json{{"path", "/work?x=1"}, {"body", "no json"}}));
  call.message.body = R"({"a": 1})";
  EXPECT_EQ(json::parse(text())["params"], (json{{"a", 1}})) << "a body that is JSON stands for itself";
}

// Names and keys of HTTP clients may hold any bytes; sent on, they would make the request no JSON.
TEST_F(WorkerProtocolTest, WhatIsNoUtf8CantBeSaid) {
  call.externalId = "\xff";
  EXPECT_EQ(text(), "");
  call.externalId = "name";
  call.idempotencyKey = "\xff";
  EXPECT_EQ(text(), "");
  call.idempotencyKey.clear();
  call.message.body = "\xff";
  EXPECT_EQ(text(), "");
}

TEST_F(WorkerProtocolTest, ACancelNamesItsCall) {
  EXPECT_EQ(json::parse(jsonrpc::cancelText(7)),
            json::parse(R"({"jsonrpc": "2.0", "method": "rpc.cancel", "params": {"id": 7}})"));
}

TEST_F(WorkerProtocolTest, TheCodeOfAnErrorTellsTheOutcome) {
  const auto outcomeOf = [](std::int64_t code, bool notRun) {
    jsonrpc::Answer answer;
    answer.readable = answer.hasId = answer.failed = true;
    answer.code = code;
    answer.notRun = notRun;
    return jsonrpc::outcomeOf(answer);
  };
  EXPECT_EQ(jsonrpc::outcomeOf(jsonrpc::Answer{}), Outcome::served) << "a result";
  EXPECT_EQ(outcomeOf(1, false), Outcome::served) << "an error of the application";
  EXPECT_EQ(outcomeOf(-32769, false), Outcome::served);
  EXPECT_EQ(outcomeOf(-32000, true), Outcome::overloaded);
  EXPECT_EQ(outcomeOf(-32000, false), Outcome::error);
  EXPECT_EQ(outcomeOf(-32603, true), Outcome::error) << "not of the worker's own range";
  for (const std::int64_t code : {-32700, -32600, -32601, -32602})
    EXPECT_EQ(outcomeOf(code, false), Outcome::invalidRequest);
}

}  // namespace
}  // namespace cairnjunction::testing
