// The program itself: exit codes and SIGTERM. Its path is the first argument.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <thread>

#include "discovery/host_list.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

std::string program;  // set once, by main

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

TEST(Program, BadConfigurationEndsIt) { EXPECT_EQ(exitCode(run("GW_CONFIG=/nonexistent")), 2); }

class RunningProgram : public ::testing::Test {
 protected:
  asio::io_context io;
  json config = configJson();
  const std::string path = ::testing::TempDir() + "program_config.json";
  pid_t pid = 0;

  void SetUp() override {
    {
      tcp::acceptor probe(io, loopback());
      config["listen"] = textOf(probe.local_endpoint());
    }
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
  if (argc < 2) return 1;
  cairnjunction::testing::program = argv[1];
  return RUN_ALL_TESTS();
}
