// Atomic replacement of a file.
#include "consensus/durable_file.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace cairnjunction::consensus {
namespace {

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string emptyFolder(const std::string& name) {
  std::string folder = ::testing::TempDir() + name;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}

// A file is created and then replaced by a shorter one: it has only the new content, and no other file is
// left in its folder.
TEST(DurableFile, ReplacingLeavesOnlyTheNewContent) {
  const std::string folder = emptyFolder("durable-file");
  const std::string path = folder + "/mark";
  EXPECT_FALSE(replaceFile(folder, path, "a longer text\n"));
  EXPECT_FALSE(replaceFile(folder, path, "short"));
  EXPECT_EQ(contentOf(path), "short");
  const std::filesystem::directory_iterator entries(folder);
  EXPECT_EQ(std::distance(begin(entries), end(entries)), 1);
}

// The folder does not exist, or a non-empty folder is in the place of the file: the error has the path, the
// step and the reason, and the old content stays.
TEST(DurableFile, AnErrorHasThePathTheStepAndTheReason) {
  const std::string folder = emptyFolder("durable-file-failing");
  const std::string missing = folder + "/missing";
  const auto notOpened = replaceFile(missing, missing + "/mark", "text");
  ASSERT_TRUE(notOpened);
  EXPECT_EQ(notOpened->error, ENOENT);
  EXPECT_EQ(textOf(*notOpened), missing + "/mark.next: not opened: No such file or directory");
  std::filesystem::create_directories(folder + "/mark/inside");
  const auto notReplaced = replaceFile(folder, folder + "/mark", "text");
  ASSERT_TRUE(notReplaced);
  EXPECT_EQ(notReplaced->path, folder + "/mark");
  EXPECT_STREQ(notReplaced->step, "not replaced");
  EXPECT_TRUE(std::filesystem::is_directory(folder + "/mark/inside"));
}

}  // namespace
}  // namespace cairnjunction::consensus
