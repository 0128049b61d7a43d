// The canonical path: what is one path, and what is refused since two readers could differ on it.
#include "route/path.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cairnjunction::route {
namespace {

std::string of(std::string_view target, bool merge = true) {
  const CanonicalPath path = canonical(target, merge);
  return path.good() ? path.path : "! " + std::string(nameOf(path.fault));
}

TEST(PathTest, OnePathHasOneForm) {
  EXPECT_EQ(of("/"), "/");
  EXPECT_EQ(of("/read/../write"), "/write");
  EXPECT_EQ(of("/read/%2e%2e/write"), "/write");
  EXPECT_EQ(of("/read/%2E./write"), "/write");
  EXPECT_EQ(of("/a/./b/."), "/a/b/");
  EXPECT_EQ(of("/a/b/.."), "/a/");
  EXPECT_EQ(of("/a/.."), "/");
  EXPECT_EQ(of("//a///b//"), "/a/b/");
  EXPECT_EQ(of("//a///b//", false), "//a///b//");
  EXPECT_EQ(of("//a/..//b", false), "///b");
  EXPECT_EQ(of("/%61%62c"), "/abc");
  EXPECT_EQ(of("/a%20b"), "/a b");
  EXPECT_EQ(of("/100%25"), "/100%");
  EXPECT_EQ(of("/.well-known/x..y/..."), "/.well-known/x..y/...");
  EXPECT_EQ(of("/a;b=1/c"), "/a;b=1/c");
  EXPECT_EQ(of("/%c3%a4"), "/\xc3\xa4");
}

TEST(PathTest, WhatTwoReadersCouldTakeForDifferentPathsIsRefused) {
  for (const char* bad : {"/a%2fb",
                          "/a%2Fb",
                          "/..%2f",
                          "/a%5cb",
                          "/a%5C..",
                          "/a\\b",
                          "/%00",
                          "/a%0ab",
                          "/a\x7f",
                          "/a%7f",
                          "/%",
                          "/%4",
                          "/%zz",
                          "/..",
                          "/a/../../b",
                          "/%2e%2e/",
                          "/a/%2e%2e/%2e%2e/b",
                          "/a#b",
                          "/a?x#y",
                          "/%252e%252e/",
                          "/%2541",
                          "/%25%34%31",
                          "a",
                          "",
                          "*",
                          "http://x/",
                          "/a b",
                          "/a?b c"})
    EXPECT_EQ(of(bad).rfind("! ", 0), 0u) << bad << " is " << of(bad);
  EXPECT_EQ(canonical("/" + std::string(kPathMost, 'a')).fault, PathFault::tooLong);
  EXPECT_TRUE(canonical("/" + std::string(kPathMost - 1, 'a')).good());
}

TEST(PathTest, TheQueryStaysAsItCame) {
  const CanonicalPath path = canonical("/a?b=%2f&c=..//?d");
  EXPECT_TRUE(path.good());
  EXPECT_EQ(path.query, "b=%2f&c=..//?d");
  EXPECT_TRUE(canonical("/a?").hasQuery);
  EXPECT_FALSE(canonical("/a").hasQuery);
}

TEST(PathTest, ItsFirstPartIsWhatItSays) {
  EXPECT_EQ(firstPart("/checkout/7"), "checkout");
  EXPECT_EQ(firstPart("/checkout"), "checkout");
  EXPECT_EQ(firstPart("/"), "");
  EXPECT_EQ(firstPart(""), "");
}

// Whatever comes: a canonical path is its own canonical form, and survives the wire. Seeded.
TEST(PathTest, CanonicalIsStable) {
  std::mt19937 random(7);
  static const char* kParts[] = {"/",    "a",   ".",   "..", "%2e", "%2F", "%25", "41", "%41", "//",
                                 "\xc3", "%c3", "%20", "?",  ";",   "%",   "+",   "~",  "b/c", "/."};
  std::size_t good = 0;
  for (int i = 0; i < 50000; ++i) {
    std::string target = "/";
    for (std::uint32_t n = random() % 8; n > 0; --n) target += kParts[random() % std::size(kParts)];
    const bool merge = random() % 2 == 0;
    const CanonicalPath once = canonical(target, merge);
    if (!once.good()) continue;
    ++good;
    ASSERT_EQ(once.path.front(), '/') << target;
    const CanonicalPath again = canonical(encoded(once.path), merge);
    ASSERT_TRUE(again.good()) << target << " is " << once.path << ": " << nameOf(again.fault);
    ASSERT_EQ(again.path, once.path) << target;
    for (const std::string_view segment : {"/../", "/./"})
      ASSERT_EQ((once.path + "/").find(segment), std::string::npos) << target << " is " << once.path;
    if (merge) {
      ASSERT_EQ(once.path.find("//"), std::string::npos) << target;
    }
  }
  EXPECT_GT(good, 10000u);
}

}  // namespace
}  // namespace cairnjunction::route
