// The adapter to the simulator, behind the line protocol: batches on standard input, replies on standard
// output.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "sim/adapter.hpp"

namespace {

constexpr std::size_t kReadSize = 65536;  // bytes

// Returns false if standard output is closed.
bool writeAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t written = write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    done += static_cast<std::size_t>(written);
  }
  return true;
}

}  // namespace

int main() {
  cairnjunction::sim::Adapter adapter(std::cerr);
  std::vector<char> block(kReadSize);
  std::string pending;
  std::string reply;
  for (;;) {
    const ssize_t count = read(STDIN_FILENO, block.data(), block.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    pending.append(block.data(), static_cast<std::size_t>(count));
    std::size_t from = 0;
    for (std::size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', from)) {
      const std::string_view line = std::string_view(pending).substr(from, end - from);
      from = end + 1;
      if (!adapter.feed(line, reply)) continue;
      if (!writeAll(reply)) return 1;
      reply.clear();
    }
    pending.erase(0, from);
  }
  if (!pending.empty() || adapter.insideBatch()) {
    std::cerr << "line " << adapter.lineNumber() + 1 << ": input ended within a batch\n";
    return 1;
  }
  return 0;
}
