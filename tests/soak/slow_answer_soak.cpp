// The slow answers' soak: plays runs by seed, one after the other, and prints what they found. Exit codes: 0
// all held; 1 a promise was broken; 2 it could not be played.
//
//   slow_answer_soak PROGRAM [--work sound] [--hosts http] [--disturbance none] --seed FIRST --runs N
#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "soak/play.hpp"
#include "soak/slow_answer_run.hpp"

int main(int argc, char** argv) {
  using namespace cairnjunction::soak;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "Puts a gateway before hosts that are slow within answers and requests, and judges each request"};
  SlowAnswerRunOptions options;
  std::string folder = "slow-answer-soak";
  int runs = 1;
  long lengthMs = static_cast<long>(options.length.count());
  const std::map<std::string, SlowWork> works{
      {"sound", SlowWork::soundAnswers},   {"late", SlowWork::lateAnswers},
      {"silent", SlowWork::silentAnswers}, {"slow-reads", SlowWork::slowReads},
      {"half-heads", SlowWork::halfHeads}, {"mixed", SlowWork::mixed}};
  const std::map<std::string, Disturbance> disturbances{{"none", Disturbance::none},
                                                        {"stop", Disturbance::stop},
                                                        {"reload", Disturbance::reload},
                                                        {"drain", Disturbance::drain}};
  const std::map<std::string, HostProtocol> protocols{{"http", HostProtocol::http},
                                                      {"json-rpc", HostProtocol::jsonRpc}};
  const std::map<std::string, AnswerShape> shapes{
      {"steady", AnswerShape::steady},      {"lumps", AnswerShape::lumps},
      {"late-body", AnswerShape::lateBody}, {"head-in-pieces", AnswerShape::headInPieces},
      {"interim", AnswerShape::interim},    {"noise-behind", AnswerShape::noiseBehind}};
  app.add_option("PROGRAM", options.program, "the gateway")->required();
  app.add_option("--work", options.work, "")->transform(CLI::CheckedTransformer(works));
  app.add_option("--disturbance", options.disturbance, "")->transform(CLI::CheckedTransformer(disturbances));
  app.add_option("--hosts", options.hosts, "their protocol")->transform(CLI::CheckedTransformer(protocols));
  app.add_option("--streams", options.streams, "calls on one JSON-RPC connection")->capture_default_str();
  app.add_option("--http-clients", options.httpClients, "")->capture_default_str();
  app.add_option("--jsonrpc-clients", options.jsonRpcClients, "")->capture_default_str();
  app.add_option("--crowd", options.crowd, "clients that write, stop and read slowly")->capture_default_str();
  app.add_option("--smallest", options.smallestBytes, "answer, in bytes")->capture_default_str();
  app.add_option("--largest", options.largestBytes, "answer, in bytes")->capture_default_str();
  app.add_option("--shape", options.shape, "of all answers")->transform(CLI::CheckedTransformer(shapes));
  long longestMs = static_cast<long>(options.classes[1].clientTimeout.count());
  app.add_option("--longest", longestMs, "client timeout of a class, in ms")->capture_default_str();
  app.add_option("--hold-ups", options.holdUps, "of the gateway in a stop, 150 ms each")
      ->capture_default_str();
  app.add_option("--seed", options.seed, "of the first run")->capture_default_str();
  app.add_option("--runs", runs, "")->capture_default_str();
  app.add_option("--length", lengthMs, "of a run, in ms")->capture_default_str();
  app.add_option("--folder", folder, "where a run that finds something leaves its files")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.length = std::chrono::milliseconds(lengthMs);
  options.classes[1].clientTimeout = std::chrono::milliseconds(longestMs);
  try {
    return playRuns(options, folder, runs, playSlowAnswerRun);
  } catch (const std::exception& failed) {
    std::cerr << "slow_answer_soak: " << failed.what() << '\n';
    return 2;
  }
}
