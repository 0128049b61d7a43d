// The program itself: exit codes and SIGTERM. Its path is the first argument.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <thread>

#include "discovery/endpoint_list.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

std::string program, deploy;  // set once, by main

pid_t run(const std::string& variable) {
  std::vector<char*> argv{program.data(), nullptr};
  std::string copy = variable;
  std::vector<char*> env{copy.data(), nullptr};
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, program.c_str(), nullptr, nullptr, argv.data(), env.data()), 0);
  return pid;
}

int exitCode(pid_t pid) {
  int status = 0;
  EXPECT_EQ(waitpid(pid, &status, 0), pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// What the program prints and its exit code, with no GW_ variable set.
std::pair<std::string, int> say(const std::string& words) {
  const std::string line = "env -i " + program + " " + words + " 2>&1";
  FILE* pipe = popen(line.c_str(), "r");
  std::string out;
  std::array<char, 4096> chunk;
  while (const std::size_t n = fread(chunk.data(), 1, chunk.size(), pipe)) out.append(chunk.data(), n);
  const int status = pclose(pipe);
  return {out, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST(CommandLine, HelpAndVersionNeedNoConfiguration) {
  const auto [help, helped] = say("--help");
  EXPECT_EQ(helped, 0);
  for (const char* word : {"Usage", "check", "demo", "--config", "--jsonrpc"})
    EXPECT_NE(help.find(word), std::string::npos) << word;
  const auto [version, told] = say("--version");
  EXPECT_EQ(told, 0);
  EXPECT_EQ(version.rfind("cairnjunction ", 0), 0u);
  EXPECT_EQ(say("demo --help").second, 0);
}

TEST(CommandLine, MistakesAreNamedAndEndItWithTwo) {
  const auto [none, ended] = say("");
  EXPECT_EQ(ended, 2);
  EXPECT_NE(none.find("--config"), std::string::npos) << none;
  EXPECT_EQ(say("--nonsense").second, 2);
  EXPECT_EQ(say("check").second, 2);
  EXPECT_EQ(say("check /nonexistent").second, 2);
  EXPECT_EQ(say("demo --workers 0").second, 2);
}

TEST(CommandLine, CheckReadsTheShippedFilesAndNamesWhatIsWrong) {
  const std::string config = deploy + "/config.example.json", rpc = deploy + "/jsonrpc.json";
  const auto [good, passed] = say("check " + config + " --jsonrpc " + rpc);
  EXPECT_EQ(passed, 0) << good;
  EXPECT_NE(good.find("3 methods"), std::string::npos) << good;
  const std::string bad = ::testing::TempDir() + "bad_jsonrpc.json";
  std::ofstream(bad) << R"({"listen":"127.0.0.1:0","methods":[{"name":"x","class":"unheard"}]})";
  const auto [told, failed] = say("check " + config + " --jsonrpc " + bad);
  EXPECT_EQ(failed, 2);
  EXPECT_NE(told.find("'unheard'"), std::string::npos) << told;
  std::remove(bad.c_str());
}

TEST(Program, BadConfigurationEndsIt) { EXPECT_EQ(exitCode(run("GW_CONFIG=/nonexistent")), 2); }

class RunningProgram : public ::testing::Test {
 protected:
  asio::io_context io;
  const ReservedPort port{io};  // held while no gateway has it
  json config = configJson();
  const std::string path = ::testing::TempDir() + "program_config.json";
  pid_t pid = 0;

  void SetUp() override {
    config["listen"] = textOf(port.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
    write(config.dump());
    pid = run("GW_CONFIG=" + path);
    EXPECT_EQ(up(), 200u);
  }
  void TearDown() override {
    kill(pid, SIGTERM);
    EXPECT_EQ(exitCode(pid), 0);
    std::remove(path.c_str());
  }
  void write(const std::string& text) { std::ofstream(path) << text; }
  unsigned up() {
    tcp::socket socket(io);
    const tcp::endpoint at = parseEndpoint(config["listen"].get<std::string>());
    error_code ec = asio::error::not_connected;
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (ec && std::chrono::steady_clock::now() < end) {
      socket.close();
      socket.connect(at, ec);
      std::this_thread::yield();
    }
    if (ec) return 0;
    asio::write(socket, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
    boost::beast::flat_buffer buffer;
    Response answer;
    http::read(socket, buffer, answer, ec);
    return ec ? 0 : answer.result_int();
  }
};

TEST_F(RunningProgram, SigtermEndsItWithZero) {}

// Signals that wait together: the process is stopped while they are sent.
TEST_F(RunningProgram, SignalsThatComeTogetherEndItAsOneDoes) {
  for (const auto& signals : std::vector<std::vector<int>>{
           {SIGHUP, SIGTERM}, {SIGTERM, SIGHUP, SIGTERM}, {SIGHUP, SIGHUP, SIGTERM, SIGINT}}) {
    kill(pid, SIGSTOP);
    for (const int signal : signals) kill(pid, signal);
    kill(pid, SIGCONT);
    EXPECT_EQ(exitCode(pid), 0);
    pid = run("GW_CONFIG=" + path);
    ASSERT_EQ(up(), 200u);
  }
}

// Asked again while it stops, and given new settings then: it finishes as it would have.
TEST_F(RunningProgram, SignalsWhileItStopsChangeNothing) {
  kill(pid, SIGTERM);
  unsigned status = 0;
  while ((status = up()) == 200u) {
  }
  EXPECT_EQ(status, 503u) << "it stops, and still answers";
  for (const int signal : {SIGTERM, SIGHUP, SIGINT, SIGTERM}) kill(pid, signal);
  EXPECT_EQ(up(), 503u);
  EXPECT_EQ(exitCode(pid), 0);
  pid = run("GW_CONFIG=" + path);
  ASSERT_EQ(up(), 200u);
}

// It knows no host, and discovery takes its calls and says nothing.
TEST_F(RunningProgram, AStopBeforeItIsReadyEndsIt) {
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  tcp::acceptor silent(io, loopback());
  config["discovery"] = textOf(silent.local_endpoint());
  config.erase("known");
  write(config.dump());
  pid = run("GW_CONFIG=" + path);
  EXPECT_EQ(up(), 503u);
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  write(config.dump());
  pid = run("GW_CONFIG=" + path);
  ASSERT_EQ(up(), 200u);
}

TEST_F(RunningProgram, SighupTakesAnotherDiscoveryAndABadFileChangesNothing) {
  tcp::acceptor discovery(io, loopback());
  config["discovery"] = textOf(discovery.local_endpoint());
  write(config.dump());
  kill(pid, SIGHUP);
  bool called = false;
  discovery.async_accept([&](error_code ec, tcp::socket) { called = !ec; });
  io.run_for(kPatience);  // ends at the first call
  EXPECT_TRUE(called) << "the one that the new file names";
  write("{");
  kill(pid, SIGHUP);
  kill(pid, SIGHUP);
  EXPECT_EQ(up(), 200u);
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 3) return 1;
  cairnjunction::testing::program = argv[1];
  cairnjunction::testing::deploy = argv[2];
  return RUN_ALL_TESTS();
}
