// Which voters are taken for who they were.
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

// Another voter comes with the disk that it had, with an older copy of it, and with a new one.
// Only the first may vote, and the rejection says what was found and what was expected.
TEST(VoterIdentity, APeerMustComeWithTheDiskThatItHad) {
  const std::string folder = emptyFolder("voter-peers");
  VoterIdentity identity(folder, "yard", 1);
  EXPECT_TRUE(identity.checkPeer(2, {22, 3}).accepted()) << "seen for the first time";
  EXPECT_TRUE(identity.checkPeer(2, {22, 3}).accepted()) << "as it was seen";
  EXPECT_TRUE(identity.checkPeer(2, {22, 5}).accepted()) << "started anew since";
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
  EXPECT_EQ(rejectionText(identity.checkPeer(2, {22, 5})), "") << "a rejected mark is not remembered";
}

// Guards against a voter that takes another one's mark for kept where its disk was full: it would not know an
// older disk of that one later.
TEST(VoterIdentity, AMarkThatCannotBeWrittenIsNotKept) {
  const std::string folder = emptyFolder("voter-unwritten");
  VoterIdentity identity(folder, "yard", 1);
  const std::string next = folder + "/identity.toml.next";
  std::filesystem::create_directory(next);  // in the way of the file that is written first
  EXPECT_THROW(identity.checkPeer(2, {22, 3}), LogError);
  EXPECT_THROW(identity.checkPeer(2, {22, 3}), LogError) << "it is not known meanwhile";
  std::filesystem::remove(next);
  EXPECT_EQ(identity.checkPeer(2, {22, 3}).result, VoterCheckResult::accepted);
  EXPECT_EQ(identity.checkPeer(2, {22, 2}).result, VoterCheckResult::olderDisk);
}

// A voter starts again on its folder.
// It is the same one, a start later, and remembers what it has seen of the others.
TEST(VoterIdentity, IsKeptOverAStart) {
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

// A voter is started on a folder of another fleet or number, on one that is gone, on one whose identity is
// damaged, and on one whose identity was removed. It does not start, and says what it found and what it
// expected.
TEST(VoterIdentity, AFolderThatIsNotItsOwnIsRejected) {
  const std::string folder = emptyFolder("voter-folder");
  const std::string path = folder + "/identity.toml";
  EXPECT_EQ(errorOf(folder, "yard", 1), "");
  EXPECT_EQ(errorOf(folder, "other", 1), path + ": of the fleet 'yard', not of 'other'");
  EXPECT_EQ(errorOf(folder, "yard", 2), path + ": of keeper 1, not of keeper 2");
  EXPECT_EQ(errorOf(folder + "/gone", "yard", 1), folder + "/gone: no folder");
  std::ofstream(path) << "fleet = \"yard\"\nnumber = 1\nincarnation = -4\nstarts = 1\n";
  EXPECT_EQ(errorOf(folder, "yard", 1), path + ": 'incarnation' is no number");
  std::filesystem::rename(path, folder + "/removed.toml");
  EXPECT_EQ(errorOf(folder, "yard", 1),
            path + ": missing, though the folder is not empty: its log may not be voted with");
}

}  // namespace
}  // namespace cairnjunction::consensus
