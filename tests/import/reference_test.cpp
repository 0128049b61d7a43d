// The compiled routes make the choices of a reference model: on recorded paths over realistic files, and on
// random files and paths under fixed seeds. With `--record` in place of a test run the recorded paths are
// made anew.
#include "import/reference.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "import/sites.hpp"
#include "route/router.hpp"

namespace cairnjunction::testing {
namespace {

std::string folder;  // of sites and recorded paths, from the command line

std::string taken(const route::Router& router, const std::string& method, const std::string& host, int port,
                  const std::string& target) {
  route::Request request;
  request.method = method;
  request.host = host;
  request.port = static_cast<std::uint16_t>(port);
  request.target = target;
  const route::Decision d = router.route(request);
  Expected out;
  out.location = d.locationText;
  if (d.kind == route::Decision::Kind::proxy) {
    out.pool = d.pool;
    out.uri = d.uri;
  } else {
    out.status = d.status;
    out.text = d.text;
  }
  return out.line();
}

struct Recorded {
  std::string site, method, host, target, expected;
  int port = 0;
};

std::vector<Recorded> recorded() {
  std::ifstream file(folder + "/recorded.txt");
  std::vector<Recorded> out;
  std::string line;
  while (std::getline(file, line)) {
    Recorded r;
    std::istringstream words(line);
    std::string arrow;
    words >> r.site >> r.method >> r.host >> r.port >> r.target >> arrow;
    std::getline(words, r.expected);
    r.expected.erase(0, 1);
    if (r.host == "-") r.host.clear();
    out.push_back(r);
  }
  return out;
}

std::vector<std::string> sites() {
  std::vector<std::string> out;
  for (const auto& [path, text] : filesBelow(folder + "/sites").files)
    if (path.ends_with(".conf")) out.push_back(path);
  return out;
}

// Paths near those that a file speaks of: its words, mixed, cut and dirtied.
class Paths {
 public:
  Paths(const std::string& text, std::uint32_t seed) : random_(seed) {
    std::string word;
    for (const char c : text + " ") {
      if (std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '-' || c == '_') word += c;
      else if (!word.empty()) {
        if (word.size() < 12 && word != "root")
          words_.push_back(word);  // it would read like a machine's path
        word.clear();
      }
      if (c == '/' && !word.empty()) word.clear();
    }
    // Names of locations, whole.
    for (std::size_t at = text.find('/'); at != std::string::npos; at = text.find('/', at + 1)) {
      const std::size_t end = text.find_first_of(" ;{}\"'()$^[\\\n", at);
      if (end != std::string::npos && end - at < 24 && at > 0 && (text[at - 1] == ' ' || text[at - 1] == '^'))
        whole_.push_back(text.substr(at, end - at));
    }
    whole_.push_back("/");
  }

  std::string next() {
    static const char* kDirt[] = {"//",    "/./",  "/../", "/%2e%2e/", "%2F",    "%41",  "/%2e/", "%20", "%",
                                  "%2541", "%zz",  "/..",  "/.",       "%C3%A4", "?a=1", "%3F",   "..",  ";x",
                                  ".php",  ".png", ".z",   ".JSON",    "/7",     "#x",   "%00",   "/"};
    std::string path = pick(3) ? whole_[pick(whole_.size())] : "";
    for (std::size_t n = pick(3); n > 0; --n) {
      if (path.empty() || path.back() != '/') path += '/';
      path += words_[pick(words_.size())];
    }
    if (pick(3) == 0) path += kDirt[pick(std::size(kDirt))];
    if (pick(4) == 0) path.insert(pick(path.size() + 1), kDirt[pick(std::size(kDirt))]);
    if (pick(5) == 0 && path.size() > 1) path.pop_back();
    if (pick(5) == 0) path += "/";
    if (path.empty() || path[0] != '/') path.insert(0, "/");
    if (pick(6) == 0) path += "?lang=ro&to=north&a=b";
    if (pick(12) == 0) path += "?device=phone";
    if (pick(12) == 0) path += "?new=1";
    std::erase_if(path, [](char c) { return c == ' '; });
    return path;
  }
  std::size_t pick(std::size_t of) { return std::uniform_int_distribution<std::size_t>(0, of - 1)(random_); }

 private:
  std::mt19937 random_;
  std::vector<std::string> words_{"x"}, whole_;
};

const std::vector<std::string>& hosts() {
  static const std::vector<std::string> all{"",
                                            "mill.example",
                                            "example.org",
                                            "www.example.org",
                                            "deep.a.example.org",
                                            "mail.anything",
                                            "bo.users.net",
                                            "sub.example.org",
                                            "x.sub.example.org",
                                            "north.example",
                                            "far.south.example",
                                            "west.example",
                                            "shop.short",
                                            "keep.example",
                                            "merge.example",
                                            "in.example",
                                            "both.example",
                                            "EXAMPLE.org"};
  return all;
}

int record() {
  std::ofstream out(folder + "/recorded.txt");
  MemoryFiles files = filesBelow(folder + "/sites");
  std::uint32_t seed = 1;
  for (const std::string& site : sites()) {
    ImportedText imported(site, files);
    const Reference reference(imported.directives);
    std::string text = files.files[site];
    if (site == "included.conf") text += files.files["parts/one.loc"] + files.files["parts/two.loc"];
    Paths paths(text, seed++);
    for (int i = 0; i < 250; ++i) {
      const std::string host = hosts()[paths.pick(hosts().size())];
      const int port = paths.pick(12) ? 80 : paths.pick(2) ? 8081 : 8080;
      const std::string method = paths.pick(10) ? "GET" : "TRACE", target = paths.next();
      out << site << ' ' << method << ' ' << (host.empty() ? "-" : host) << ' ' << port << ' ' << target
          << " => " << reference.route(method, host, port, target).line() << '\n';
    }
  }
  return out ? 0 : 1;
}

TEST(ReferenceTest, RecordedPathsOverRealisticFilesAreRoutedAsTheDocumentsSay) {
  MemoryFiles files = filesBelow(folder + "/sites");
  const auto all = recorded();
  EXPECT_GE(all.size(), 5000u);
  EXPECT_GE(sites().size(), 20u);
  std::string loaded;
  std::unique_ptr<ImportedText> imported;
  std::unique_ptr<route::Router> router;
  std::size_t passedOn = 0;
  for (const Recorded& r : all) {
    if (r.site != loaded) {
      imported = std::make_unique<ImportedText>(r.site, files);
      router = std::make_unique<route::Router>(imported->result.routes);
      loaded = r.site;
    }
    const std::string expected =
        Reference(imported->directives).route(r.method, r.host, r.port, r.target).line();
    EXPECT_EQ(expected, r.expected) << r.site << ' ' << r.method << ' ' << r.host << ':' << r.port << ' '
                                    << r.target;
    EXPECT_EQ(taken(*router, r.method, r.host, r.port, r.target), r.expected)
        << r.site << ' ' << r.method << ' ' << r.host << ':' << r.port << ' ' << r.target;
    passedOn += r.expected[0] < '0' || r.expected[0] > '9';
    if (::testing::Test::HasFailure()) return;
  }
  EXPECT_GT(passedOn, all.size() / 4);  // the paths do reach the pools
}

// Files whose locations overlap by construction: few letters, deep nesting.
class RandomFile {
 public:
  explicit RandomFile(std::uint32_t seed) : random_(seed) {}

  std::string text() {
    std::string out;
    for (int i = 0; i < 4; ++i) out += "upstream p" + std::to_string(i) + " { server 10.0.0.1:80; }\n";
    const std::size_t servers = 1 + pick(3);
    for (std::size_t i = 0; i < servers; ++i) {
      out += "server { listen 80" +
             std::string(pick(4) == 0 && !default_ ? (default_ = true, " default_server") : "") + ";\n";
      static const char* kNames[] = {"a.b", "*.a.b", "a.*", ".c", "~^x(?<n>.+)$", "b.a", "*.b", "~^...$"};
      out += "server_name";
      for (std::size_t n = 1 + pick(3); n > 0; --n) out += std::string(" ") + kNames[pick(std::size(kNames))];
      out += ";\n";
      if (pick(4) == 0) out += "merge_slashes off;\n";
      if (pick(4) == 0) out += "rewrite ^/a/(.*)$ /b/$1;\n";
      locations(out, "/", 0);
      out += "}\n";
    }
    return out;
  }
  std::string path() {
    std::string out;
    for (std::size_t n = pick(6); n > 0; --n) {
      static const char* kParts[] = {"/", "/a", "/b",   "/ab", "/a/b", "a",
                                     "b", ".z", "/%61", "/..", "//",   "/a/"};
      out += kParts[pick(std::size(kParts))];
    }
    if (out.empty() || out[0] != '/') out.insert(0, "/");
    if (pick(5) == 0) out += "?q=1";
    return out;
  }
  std::string host() {
    static const char* kHosts[] = {"a.b", "x.a.b", "a.q", "c", "x.c", "xyz", "b.a", "q.b", "", "abc"};
    return kHosts[pick(std::size(kHosts))];
  }

 private:
  std::size_t pick(std::size_t of) { return std::uniform_int_distribution<std::size_t>(0, of - 1)(random_); }

  void locations(std::string& out, const std::string& below, int depth) {
    std::vector<std::string> done;
    for (std::size_t n = 1 + pick(depth == 0 ? 8 : 4); n > 0; --n) {
      static const char* kSigns[] = {"", "", "", "= ", "^~ ", "~ ", "~* "};
      const std::string sign = kSigns[pick(std::size(kSigns))];
      std::string name;
      if (sign[0] == '~') {
        static const char* kExpressions[] = {"a", "^/a",      "b$",   "/$",    "\\.z$",
                                             "A", "^/(a|b)/", "a.*b", "^/ab?/"};
        name = kExpressions[pick(std::size(kExpressions))];
      } else {
        name = below;
        for (std::size_t k = pick(3); k > 0; --k) {
          static const char* kParts[] = {"a", "b", "/", "a/", "ab"};
          name += kParts[pick(std::size(kParts))];
        }
      }
      const std::string key = (sign == "^~ " ? "" : sign) + name;
      if (std::find(done.begin(), done.end(), key) != done.end()) continue;
      done.push_back(key);
      out += "location " + sign + name + " {\n";
      if (pick(5) == 0) out += "rewrite ^/(a|b)(.*)$ /b$2 " + std::string(pick(2) ? "last" : "break") + ";\n";
      if (pick(7) == 0) out += "if ($arg_q) { rewrite ^(.*)$ /q$1 last; }\n";
      if (pick(9) == 0) out += "return 20" + std::to_string(pick(5)) + ";\n";
      const std::string pool = "p" + std::to_string(pick(4));
      if (pick(4) == 0 && sign[0] != '~')
        out += "proxy_pass http://" + pool + "/u" + (pick(2) ? "/" : "") + ";\n";
      else if (pick(6) == 0) out += "proxy_pass http://" + pool + "/v$uri;\n";
      else if (pick(6)) out += "proxy_pass http://" + pool + ";\n";
      if (depth < 2 && sign != "= " && pick(3) == 0) locations(out, sign[0] == '~' ? "/" : name, depth + 1);
      out += "}\n";
    }
  }

  std::mt19937 random_;
  bool default_ = false;
};

TEST(ReferenceTest, RandomFilesAndPathsAreRoutedAsTheDocumentsSay) {
  std::size_t routed = 0;
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    RandomFile file(seed);
    const std::string text = file.text();
    SCOPED_TRACE("seed " + std::to_string(seed) + "\n" + text);
    const ImportedText imported(text);
    const Reference reference(imported.directives);
    const route::Router router(imported.result.routes);
    for (int i = 0; i < 60; ++i, ++routed) {
      const std::string host = file.host(), path = file.path();
      ASSERT_EQ(taken(router, "GET", host, 80, path), reference.route("GET", host, 80, path).line())
          << host << ' ' << path;
    }
  }
  EXPECT_EQ(routed, 24000u);
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 2;
  cairnjunction::testing::folder = argv[1];
  if (argc > 2 && std::string(argv[2]) == "--record") return cairnjunction::testing::record();
  return RUN_ALL_TESTS();
}
