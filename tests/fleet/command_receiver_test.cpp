// Commands on their way through the fencing gate and the disk.
#include "fleet/command_receiver.hpp"

#include "net_peers.hpp"
#include "temporary_folder.hpp"

namespace cairnjunction::testing {
namespace {

class CommandReceiverTest : public LoopTest {
 protected:
  const lease::LeaseKey list{"list", 0};
  TemporaryFolder folder{"command_receiver"};
  fleet::EventLog log{folder.file("log"), fleet::EventLog::Role::member, "n1"};
  std::vector<std::string> applied;
  int diskFailures = 0;

  std::unique_ptr<fleet::CommandReceiver> receiver(const std::string& disk) {
    return std::make_unique<fleet::CommandReceiver>(
        io, disk, log,
        fleet::CommandReceiver::Callbacks{
            [this](const fleet::Command& command) { applied.push_back(command.body); },
            [this] { ++diskFailures; }});
  }
  fleet::Command command(lease::Epoch epoch, lease::Sequence sequence) const {
    return {
        {list, epoch, sequence, {"n0", 7}}, false, std::to_string(epoch) + "." + std::to_string(sequence)};
  }
  std::size_t logged(fleet::Event event) const {
    const std::string text = folder.textOf("log");
    const std::string name = "\"event\":\"" + std::string(nameOf(event)) + "\"";
    std::size_t count = 0;
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) ++count;
    return count;
  }
};

// A former lease holder wakes up and sends commands again and again. They have no effect, and are logged
// once.
TEST_F(CommandReceiverTest, OlderCommandsHaveNoEffect) {
  const auto receiver = this->receiver("");
  receiver->receive(command(5, 1));
  EXPECT_TRUE(applied.empty()) << "the leader has not said yet how far the fleet has come";
  receiver->learn({{list, {4, 0, {}}}});
  receiver->receive(command(5, 2));
  for (int i = 0; i < 10; ++i) receiver->receive(command(4, 9));
  receiver->receive(command(5, 2));
  EXPECT_EQ(applied, std::vector<std::string>{"5.2"});
  EXPECT_EQ(logged(fleet::Event::commandRejected), 2u) << "one of each epoch";
  EXPECT_EQ(receiver->gate().rejectedCount(), 12u);
}

// The process restarts after its mark was written. The last command is accepted once more, since its effect
// ended with the process, and none before it.
TEST_F(CommandReceiverTest, AfterARestartOnlyTheLastCommandIsAcceptedAgain) {
  auto receiver = this->receiver(folder.path());
  EXPECT_EQ(receiver->storedMarks(), 0u);
  receiver->learn({});
  receiver->receive(command(5, 1));
  receiver->receive(command(5, 2));
  EXPECT_TRUE(applied.empty()) << "the disk comes first";
  ASSERT_TRUE(until([&] { return applied.size() == 2; }));
  receiver = this->receiver(folder.path());
  EXPECT_EQ(receiver->storedMarks(), 1u);
  receiver->receive(command(5, 1));
  receiver->receive(command(5, 2));
  ASSERT_TRUE(until([&] { return applied.size() == 3; }));
  EXPECT_EQ(applied.back(), "5.2");
}

// The disk fails. The command has no effect and is accepted when it is sent again, once the disk is back.
TEST_F(CommandReceiverTest, WithoutTheDiskThereIsNoEffect) {
  const std::string disk = folder.file("disk");
  const auto receiver = this->receiver(disk);
  receiver->learn({});
  receiver->receive(command(5, 1));
  receiver->receive(command(5, 2));
  ASSERT_TRUE(until([&] { return diskFailures == 2; }));
  EXPECT_TRUE(applied.empty());
  EXPECT_EQ(logged(fleet::Event::commandNotApplied), 1u);
  std::filesystem::create_directories(disk);
  receiver->receive(command(5, 1));
  ASSERT_TRUE(until([&] { return applied.size() == 1; }));
  EXPECT_EQ(applied[0], "5.1");
}

}  // namespace
}  // namespace cairnjunction::testing
