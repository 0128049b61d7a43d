// Runs the decision module behind the line protocol: batches on standard input, replies on standard output.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <vector>

#include "sim/adapter.hpp"

namespace {

bool writeAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t n = write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

int main() {
  cairnjunction::sim::Adapter adapter(std::cerr);
  std::vector<char> block(1 << 16);
  std::string pending, reply;
  for (;;) {
    const ssize_t n = read(STDIN_FILENO, block.data(), block.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    pending.append(block.data(), static_cast<std::size_t>(n));
    std::size_t from = 0;
    for (std::size_t end; (end = pending.find('\n', from)) != std::string::npos; from = end + 1) {
      if (!adapter.feed(std::string_view(pending).substr(from, end - from), reply)) continue;
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
