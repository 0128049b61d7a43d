// Tests of the admin socket. Queries run on another thread, as they would in another process.
#include "fleet/admin_socket.hpp"

#include <sys/stat.h>

#include <future>

#include "net_peers.hpp"
#include "temporary_folder.hpp"

namespace cairnjunction::testing {
namespace {

class AdminSocketTest : public LoopTest {
 protected:
  TemporaryFolder folder{"admin_socket"};
  const std::string path = folder.file("control.sock");
  fleet::AdminSocket socket{io, path, [](const json& request) -> json {
                              if (request.contains("fail")) return {{"error", request["fail"]}};
                              return {{"got", request}};
                            }};

  // Returns the response, or the text of the exception.
  json query(const json& request) {
    auto answer = std::async(std::launch::async, [&]() -> json {
      try {
        return fleet::queryAdminSocket(path, request);
      } catch (const std::runtime_error& bad) {
        return bad.what();
      }
    });
    EXPECT_TRUE(until([&] { return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
    return answer.get();
  }
};

TEST_F(AdminSocketTest, ReturnsTheResponseAndThrowsItsError) {
  EXPECT_EQ(query({{"ask", "status"}}), (json{{"got", {{"ask", "status"}}}}));
  EXPECT_EQ(query({{"fail", "not here"}}), "not here");
  EXPECT_EQ(query(json::array({1})), "expected a JSON object");
}

TEST_F(AdminSocketTest, SocketFileIsAccessibleOnlyToItsUser) {
  struct stat status {};
  ASSERT_EQ(::stat(path.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777, 0600u);
}

// A client that sends more than the maximum request size without a newline is disconnected without a
// response.
TEST_F(AdminSocketTest, DisconnectsAClientWhoseRequestIsTooLong) {
  const json answer = query({{"ask", std::string(2 * fleet::AdminSocket::kMaxRequestBytes, 'x')}});
  ASSERT_TRUE(answer.is_string());
  EXPECT_NE(answer.get<std::string>().find("no answer"), std::string::npos) << answer;
}

TEST(AdminSocket, ErrorNamesAMissingSocket) {
  try {
    fleet::queryAdminSocket("/nowhere/control.sock", json::object());
    ADD_FAILURE() << "it was answered";
  } catch (const std::runtime_error& bad) {
    EXPECT_NE(std::string(bad.what()).find("/nowhere/control.sock"), std::string::npos) << bad.what();
  }
}

}  // namespace
}  // namespace cairnjunction::testing
