// Runs a fuzz target over its corpus and over mutations of it, drawn by a fixed seed: the same inputs each
// time. For a search without end, build with clang and -DCAIRNJUNCTION_FUZZ=ON, which puts libFuzzer in its
// place.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

constexpr int kMutations = 400;  // of each file of the corpus

void run(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

std::string mutated(std::string text, const std::vector<std::string>& corpus, std::mt19937_64& random) {
  for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
    const std::size_t at = text.empty() ? 0 : random() % text.size();
    switch (random() % 6) {
      case 0: text.insert(at, 1, static_cast<char>(random())); break;
      case 1: text.erase(at, 1 + random() % 8); break;
      case 2:
        if (!text.empty()) text[at] = static_cast<char>(random());
        break;
      case 3: text.insert(at, text.substr(at, random() % 40)); break;
      case 4: text.insert(at, std::string(random() % 200, "[{\"9\\ "[random() % 6])); break;
      case 5: {
        const std::string& other = corpus[random() % corpus.size()];
        text = text.substr(0, at) + other.substr(other.empty() ? 0 : random() % other.size());
      }
    }
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  std::vector<std::filesystem::path> paths;
  for (const auto& file : std::filesystem::directory_iterator(argv[1])) paths.push_back(file.path());
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  if (corpus.empty()) return 2;
  std::mt19937_64 random(20261201);
  std::size_t inputs = 0;
  for (const std::string& text : corpus) {
    run(text);
    for (int i = 0; i < kMutations; ++i) run(mutated(text, corpus, random));
    inputs += 1 + kMutations;
  }
  std::printf("%zu inputs\n", inputs);
  return 0;
}
