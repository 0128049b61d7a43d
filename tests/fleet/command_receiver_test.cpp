// Tests of receiving commands: fencing, durable marks, and failures of the disk.
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

// A former lease holder resumes and repeats its commands. They are not applied, and the rejection is logged
// once per epoch.
TEST_F(CommandReceiverTest, RejectsCommandsOfAnOlderEpoch) {
  const auto receiver = this->receiver("");
  receiver->receive(command(5, 1));
  EXPECT_TRUE(applied.empty()) << "no marks of the leader or the disk yet";
  receiver->raiseMarks({{list, {4, 0, {}}}});
  receiver->receive(command(5, 2));
  for (int i = 0; i < 10; ++i) receiver->receive(command(4, 9));
  receiver->receive(command(5, 2));
  EXPECT_EQ(applied, std::vector<std::string>{"5.2"});
  EXPECT_EQ(logged(fleet::Event::commandRejected), 2u) << "once per epoch";
  EXPECT_EQ(receiver->gate().rejectedCount(), 12u);
}

// The process restarts after its mark was written. The last command is accepted once more, because its effect
// was lost with the process; earlier ones are rejected.
TEST_F(CommandReceiverTest, AcceptsOnlyTheLastCommandAgainAfterARestart) {
  auto receiver = this->receiver(folder.path());
  EXPECT_EQ(receiver->storedMarkCount(), 0u);
  receiver->raiseMarks({});
  receiver->receive(command(5, 1));
  receiver->receive(command(5, 2));
  EXPECT_TRUE(applied.empty()) << "not applied before the mark is durable";
  ASSERT_TRUE(until([&] { return applied.size() == 2; }));
  receiver = this->receiver(folder.path());
  EXPECT_EQ(receiver->storedMarkCount(), 1u);
  receiver->receive(command(5, 1));
  receiver->receive(command(5, 2));
  ASSERT_TRUE(until([&] { return applied.size() == 3; }));
  EXPECT_EQ(applied.back(), "5.2");
}

// Writing the mark fails. The command is not applied, and it is accepted when it is sent again after the disk
// has recovered.
TEST_F(CommandReceiverTest, DoesNotApplyACommandWhoseMarkIsNotDurable) {
  const std::string disk = folder.file("disk");
  const auto receiver = this->receiver(disk);
  receiver->raiseMarks({});
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
