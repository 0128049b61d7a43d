// The program itself: exit codes and SIGTERM. Its path is the first argument.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <thread>

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

TEST(Program, SigtermEndsItWithZero) {
  asio::io_context io;
  tcp::endpoint free;
  {
    tcp::acceptor probe(io, loopback());
    free = probe.local_endpoint();
  }
  json config = configJson();
  config["listen"] = textOf(free);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const std::string path = ::testing::TempDir() + "program_config.json";
  std::ofstream(path) << config;
  const pid_t pid = run("GW_CONFIG=" + path);
  tcp::socket socket(io);
  error_code ec = asio::error::not_connected;
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (ec && std::chrono::steady_clock::now() < end) {
    socket.close();
    socket.connect(free, ec);
    std::this_thread::yield();
  }
  ASSERT_FALSE(ec);
  asio::write(socket, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
  boost::beast::flat_buffer buffer;
  Response up;
  http::read(socket, buffer, up, ec);
  EXPECT_FALSE(ec);
  EXPECT_EQ(up.result_int(), 200u);
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 1;
  cairnjunction::testing::program = argv[1];
  return RUN_ALL_TESTS();
}
