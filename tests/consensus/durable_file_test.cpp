// Files that are replaced whole.
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

// A file is written and then replaced by a shorter one.
// It has the last text only, and nothing else is left in its folder.
TEST(DurableFile, IsReplacedWhole) {
  const std::string folder = emptyFolder("durable-file");
  const std::string path = folder + "/mark";
  EXPECT_FALSE(replaceFile(folder, path, "a longer text\n"));
  EXPECT_FALSE(replaceFile(folder, path, "short"));
  EXPECT_EQ(contentOf(path), "short");
  const std::filesystem::directory_iterator entries(folder);
  EXPECT_EQ(std::distance(begin(entries), end(entries)), 1);
}

// Its folder is gone, or what is to be replaced is a folder with something in it.
// The error says which file, which step and why, and the old content stays.
TEST(DurableFile, SaysWhichStepFailed) {
  const std::string folder = emptyFolder("durable-file-failing");
  const std::string gone = folder + "/gone";
  const auto notOpened = replaceFile(gone, gone + "/mark", "text");
  ASSERT_TRUE(notOpened);
  EXPECT_EQ(notOpened->error, ENOENT);
  EXPECT_EQ(textOf(*notOpened), gone + "/mark.next: not opened: No such file or directory");
  std::filesystem::create_directories(folder + "/mark/inside");
  const auto notReplaced = replaceFile(folder, folder + "/mark", "text");
  ASSERT_TRUE(notReplaced);
  EXPECT_EQ(notReplaced->path, folder + "/mark");
  EXPECT_STREQ(notReplaced->step, "not replaced");
  EXPECT_TRUE(std::filesystem::is_directory(folder + "/mark/inside"));
}

}  // namespace
}  // namespace cairnjunction::consensus
