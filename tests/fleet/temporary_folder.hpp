// A temporary folder for a test, unique per process and name, and removed by the destructor.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace cairnjunction::testing {

class TemporaryFolder {
 public:
  explicit TemporaryFolder(const std::string& name)
      : path_(::testing::TempDir() + name + "_" + std::to_string(::getpid())) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  std::string file(const std::string& name) const { return path_ + "/" + name; }
  std::string textOf(const std::string& name) const {
    std::ifstream file(path_ + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string path_;
};

}  // namespace cairnjunction::testing
