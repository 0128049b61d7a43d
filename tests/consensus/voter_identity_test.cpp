// Which voters are accepted by their disk, and on which folders a voter may start.
#include "consensus/voter_identity.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace cairnjunction::consensus {
namespace {

std::string emptyFolder(const std::string& name) {
  std::string folder = ::testing::TempDir() + name;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}

std::string errorOf(const std::string& folder, const std::string& fleet, int number) {
  try {
    const VoterIdentity identity(folder, fleet, number);
  } catch (const LogError& error) {
    return error.what();
  }
  return "";
}

// A peer presents the same disk, an older copy of it, and a different one. It is accepted with the first
// only, and the rejection has what was found and what was expected.
TEST(VoterIdentity, APeerIsAcceptedOnlyWithTheSameDisk) {
  const std::string folder = emptyFolder("voter-peers");
  VoterIdentity identity(folder, "yard", 1);
  EXPECT_TRUE(identity.checkPeer(2, {22, 3}).accepted()) << "seen for the first time";
  EXPECT_TRUE(identity.checkPeer(2, {22, 3}).accepted()) << "unchanged";
  EXPECT_TRUE(identity.checkPeer(2, {22, 5}).accepted()) << "restarted since";
  const VoterCheck older = identity.checkPeer(2, {22, 4});
  EXPECT_EQ(older.result, VoterCheckResult::olderDisk);
  EXPECT_EQ(older.expected, (VoterMark{22, 5}));
  EXPECT_EQ(rejectionText(older),
            "keeper 2 comes with an older copy of its disk: start 4, but start 5 was seen");
  const VoterCheck other = identity.checkPeer(2, {23, 9});
  EXPECT_EQ(other.result, VoterCheckResult::differentDisk);
  EXPECT_EQ(other.found, (VoterMark{23, 9}));
  EXPECT_EQ(rejectionText(other),
            "keeper 2 comes with another disk than it had: give the new one a number of its own");
  EXPECT_EQ(rejectionText(identity.checkPeer(2, {22, 5})), "") << "a rejected mark is not stored";
}

// Guards against a voter that accepts a peer's mark which it could not write because its disk was full. After
// a restart it would not recognize an older copy of the peer's disk.
TEST(VoterIdentity, AMarkThatCannotBeWrittenIsNotAccepted) {
  const std::string folder = emptyFolder("voter-unwritten");
  VoterIdentity identity(folder, "yard", 1);
  const std::string next = folder + "/identity.toml.next";
  std::filesystem::create_directory(next);  // blocks the file that is written first
  EXPECT_THROW(identity.checkPeer(2, {22, 3}), LogError);
  EXPECT_THROW(identity.checkPeer(2, {22, 3}), LogError) << "the failed call must not have cached the mark";
  std::filesystem::remove(next);
  EXPECT_EQ(identity.checkPeer(2, {22, 3}).result, VoterCheckResult::accepted);
  EXPECT_EQ(identity.checkPeer(2, {22, 2}).result, VoterCheckResult::olderDisk);
}

// After a restart on its folder, a voter has the same incarnation and a start count greater by 1, and still
// has the marks of its peers.
TEST(VoterIdentity, IsPreservedAcrossARestart) {
  const std::string folder = emptyFolder("voter-start");
  VoterMark first;
  {
    VoterIdentity identity(folder, "yard", 1);
    first = identity.own();
    identity.checkPeer(2, {22, 3});
  }
  VoterIdentity identity(folder, "yard", 1);
  EXPECT_NE(first.incarnation, 0U);
  EXPECT_EQ(first.startCount, 1U);
  EXPECT_EQ(identity.own(), (VoterMark{first.incarnation, 2}));
  EXPECT_EQ(identity.checkPeer(2, {22, 2}).result, VoterCheckResult::olderDisk);
}

// A voter is started on a folder of another fleet or of another voter, on a missing one, on one whose
// identity file is damaged, and on one whose identity file was removed. It does not start, and the error says
// why.
TEST(VoterIdentity, AFolderThatIsNotThisVotersIsRejected) {
  const std::string folder = emptyFolder("voter-folder");
  const std::string path = folder + "/identity.toml";
  EXPECT_EQ(errorOf(folder, "yard", 1), "");
  EXPECT_EQ(errorOf(folder, "other", 1), path + ": of the fleet 'yard', not of 'other'");
  EXPECT_EQ(errorOf(folder, "yard", 2), path + ": of keeper 1, not of keeper 2");
  EXPECT_EQ(errorOf(folder + "/missing", "yard", 1), folder + "/missing: not an existing folder");
  std::ofstream(path) << "fleet = \"yard\"\nnumber = 1\nincarnation = -4\nstarts = 1\n";
  EXPECT_EQ(errorOf(folder, "yard", 1), path + ": 'incarnation' is not a non-negative integer");
  std::filesystem::rename(path, folder + "/removed.toml");
  EXPECT_EQ(errorOf(folder, "yard", 1),
            path + ": missing, though the folder is not empty: this voter must not vote with its log");
}

}  // namespace
}  // namespace cairnjunction::consensus
