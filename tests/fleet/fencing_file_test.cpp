// Tests of the file with a receiver's fencing marks.
#include "fleet/fencing_file.hpp"

#include <gtest/gtest.h>

#include "temporary_folder.hpp"

namespace cairnjunction::testing {
namespace {

using fleet::FencingFile;

const fleet::FencingMarks marks{{{"list", 0}, {7, 41, {"n0", 9}}}, {{"probe", 3}, {2, 1, {"n1", 5}}}};

TEST(FencingFile, ReadsTheMarksThatWereWritten) {
  const TemporaryFolder folder("fencing_file");
  const FencingFile file(folder.path());
  EXPECT_TRUE(file.isEnabled());
  EXPECT_FALSE(file.read().has_value()) << "there is no file yet";
  ASSERT_EQ(file.write(marks), FencingFile::WriteResult::durable);
  EXPECT_EQ(FencingFile(folder.path()).read(), marks);
}

TEST(FencingFile, StoresNothingWithoutAFolder) {
  const FencingFile file("");
  EXPECT_FALSE(file.isEnabled());
  EXPECT_EQ(file.write(marks), FencingFile::WriteResult::durable);
  EXPECT_FALSE(file.read().has_value());
}

// The folder is missing, or the file is damaged. A failed write is reported. A damaged file is an error that
// names it, because without the marks, commands that were accepted before could be accepted again.
TEST(FencingFile, ReportsFailedWritesAndDamagedFiles) {
  TemporaryFolder folder("fencing_file");
  EXPECT_EQ(FencingFile(folder.file("missing")).write(marks), FencingFile::WriteResult::failed);
  std::ofstream(folder.file("fence.json")) << "[{\"duty\": \"list\"}]";
  try {
    FencingFile(folder.path()).read();
    ADD_FAILURE() << "it was read";
  } catch (const std::runtime_error& bad) {
    EXPECT_NE(std::string(bad.what()).find(folder.file("fence.json")), std::string::npos) << bad.what();
  }
}

}  // namespace
}  // namespace cairnjunction::testing
