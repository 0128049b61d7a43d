// Compiled routes: names, locations, rewrites and what they are bounded by. Against a reference:
// import/reference_test.
#include "route/router.hpp"

#include <gtest/gtest.h>

#include "route/level.hpp"
#include "route/regex.hpp"

namespace cairnjunction::route {
namespace {

Location prefix(std::string pattern, std::string pool = "p") {
  Location location;
  location.pattern = std::move(pattern);
  location.proxy.emplace().pool = std::move(pool);
  return location;
}

Routes withLocations(std::vector<Location> locations) {
  Routes routes;
  for (const char* name : {"p", "q"}) routes.pools.emplace_back().name = name;
  routes.servers.emplace_back().locations = std::move(locations);
  return routes;
}

Decision go(const Router& router, std::string_view target, std::string_view host = "") {
  Request request;
  request.target = target;
  request.host = host;
  return router.route(request);
}

std::string failure(Routes routes) {
  try {
    Router router(std::move(routes));
  } catch (const BadRoutes& bad) {
    return bad.what();
  }
  return "";
}

TEST(RouterTest, TheClassIsThatOfThePathThatTheWorkerIsSent) {
  const Router router(withLocations({prefix("/")}));
  EXPECT_EQ(go(router, "/read/7").className, "read");
  const Decision turned = go(router, "/read/../write");
  EXPECT_EQ(turned.className, "write");
  EXPECT_EQ(turned.uri, "/write");
  // Rewritten to what has an effect: that is what it is, whatever the client asked for.
  Location rewritten = prefix("/read/");
  Step step;
  step.kind = Step::Kind::rewrite;
  step.pattern = "^/read/(.*)$";
  step.text = "/write/$1";
  step.flag = Step::Flag::stop;
  rewritten.steps = {step};
  const Router rewriting(withLocations({rewritten}));
  EXPECT_EQ(go(rewriting, "/read/x").className, "write");
  EXPECT_EQ(go(rewriting, "/read/x").uri, "/write/x");
}

TEST(RouterTest, APathThatTwoReadersCouldReadDifferentlyIsNotRouted) {
  const Router router(withLocations({prefix("/"), prefix("/admin/", "q")}));
  for (const char* target : {"/x%2f..%2fadmin/", "/..", "/a\\b", "/%2561dmin/", "/x#y"}) {
    const Decision d = go(router, target);
    EXPECT_EQ(d.status, 400) << target;
    EXPECT_NE(d.fault, PathFault::none) << target;
    EXPECT_TRUE(d.pool.empty()) << target;
  }
  EXPECT_EQ(go(router, "/x/%2e%2e/admin/").pool, "q");
}

TEST(RouterTest, AHostThatIsNoNameIsRefused) {
  const Router router(withLocations({prefix("/")}));
  for (const char* host : {"a b", "a/b", "user@a", "a:b", "[::1", "a:123456", ":80", "a\"b"})
    EXPECT_EQ(go(router, "/", host).status, 400) << host;
  for (const char* host : {"", "a.b", "A.b:80", "[::1]:80", "10.0.0.1", "a."})
    EXPECT_EQ(go(router, "/", host).kind, Decision::Kind::proxy) << host;
}

TEST(RouterTest, RewritesThatGoRoundAreA500) {
  Location round = prefix("/a");
  Step step;
  step.kind = Step::Kind::rewrite;
  step.pattern = "^/a(.*)$";
  step.text = "/a$1x";
  step.flag = Step::Flag::last;
  round.steps = {step};
  const Decision d = go(Router(withLocations({round})), "/a");
  EXPECT_EQ(d.status, 500);
  EXPECT_STREQ(d.why, "rewrites go round");
}

TEST(RouterTest, AnExpressionThatRunsAwayIsA500) {
  Location bad = prefix("^/(a+)+$");
  bad.modifier = Location::Modifier::regex;
  const Router router(withLocations({bad, prefix("/", "q")}));
  const std::string target = "/" + std::string(4000, 'a') + "b";
  const Decision d = go(router, target);
  EXPECT_EQ(d.status, 500) << "never 'no match': the request would go to another location";
  EXPECT_EQ(go(router, "/aaa").pool, "p");
  EXPECT_EQ(go(router, "/b").pool, "q");
}

TEST(RouterTest, ARewrittenPathIsCanonicalToo) {
  Location location = prefix("/in/");
  Step step;
  step.kind = Step::Kind::rewrite;
  step.pattern = "^/in/(.*)-(.*)$";
  step.text = "/$1/.$2/x";
  step.flag = Step::Flag::stop;
  location.steps = {step};
  const Router router(withLocations({location}));
  EXPECT_EQ(go(router, "/in/a-b").uri, "/a/.b/x");
  EXPECT_EQ(go(router, "/in/a-.").uri, "/x");   // "/a/../x"
  EXPECT_EQ(go(router, "/in/-.").status, 500);  // above the root
}

TEST(RouterTest, HeadersHoldNoLineBreaks) {
  Location location = prefix("/");
  location.proxy->headers = {{"X-From", "$uri"}};
  const Decision d = go(Router(withLocations({location})), "/a%C2%85b");
  ASSERT_EQ(d.headers.size(), 1u);
  EXPECT_EQ(d.headers[0].second,
            "/a\xc2\x85"
            "b");
  Location argument = prefix("/");
  argument.proxy->headers = {{"X-From", "$arg_x"}};
  EXPECT_EQ(go(Router(withLocations({argument})), "/?x=a\tb").kind, Decision::Kind::answer);
}

TEST(RouterTest, InternalLocationsAreForRewritesOnly) {
  Location inner = prefix("/inner/");
  inner.internal = true;
  Location to = prefix("/to/");
  to.proxy.reset();
  to.fallback = "/inner/x?y=1";
  const Router router(withLocations({inner, to}));
  EXPECT_EQ(go(router, "/inner/x").status, 404);
  EXPECT_EQ(go(router, "/to/").uri, "/inner/x?y=1");
}

TEST(RouterTest, FallbacksThatGoRoundAreA500) {
  Location location = prefix("/");
  location.proxy.reset();
  location.fallback = "/x$uri";
  EXPECT_EQ(go(Router(withLocations({location})), "/").status, 500);
}

TEST(RouterTest, AMapThatNamesItselfIsBounded) {
  Routes routes = withLocations({prefix("/", "$a")});
  Map map;
  map.variable = "a";
  map.source = "$a";
  map.otherwise = "$a$a";
  routes.maps = {map};
  EXPECT_EQ(go(Router(std::move(routes)), "/").status, 502);
}

TEST(RouterTest, WhatMakesNoSenseIsTurnedDownWithItsPlace) {
  EXPECT_EQ(failure(withLocations({prefix("/", "none")})), "servers/0/locations/0: there is no pool 'none'");
  EXPECT_EQ(failure(withLocations({prefix("/"), prefix("/")})),
            "servers/0/locations/1: the location '/' stands there twice");
  Location regex = prefix("(");
  regex.modifier = Location::Modifier::regex;
  EXPECT_NE(failure(withLocations({regex})).find("servers/0/locations/0: missing closing parenthesis"),
            std::string::npos);
  Location text = prefix("/");
  text.proxy->uri = "/$nothing";
  EXPECT_EQ(failure(withLocations({text})), "servers/0/locations/0: unknown variable $nothing");
  Location outside = prefix("/a/");
  outside.nested = {prefix("/b/")};
  EXPECT_EQ(failure(withLocations({outside})), "servers/0/locations/0/locations/0: '/b/' lies outside '/a/'");
  Location deep = prefix("/");
  for (int i = 0; i < 20; ++i) {
    Location around = prefix("/");
    around.nested = {deep};
    deep = around;
  }
  EXPECT_NE(failure(withLocations({deep})).find("nested deeper than 16"), std::string::npos);
  Routes two = withLocations({});
  two.servers.emplace_back();
  for (Server& server : two.servers) server.listens = {{"*", 80, true}};
  EXPECT_EQ(failure(two), "servers/1: a second default server for port 80");
}

TEST(RouterTest, NamesThatClashAreTheFirstOnesAndSaidSo) {
  Routes routes = withLocations({prefix("/")});
  routes.servers[0].names = {"a.b"};
  Server second;
  second.names = {"a.b", "c.d"};
  second.locations = {prefix("/", "q")};
  routes.servers.push_back(second);
  const Router router(std::move(routes));
  EXPECT_EQ(go(router, "/", "a.b").pool, "p");
  EXPECT_EQ(go(router, "/", "c.d").pool, "q");
  ASSERT_EQ(router.warnings().size(), 1u);
  EXPECT_NE(router.warnings()[0].find("'a.b' on port 80"), std::string::npos);
}

TEST(RegexTest, NamedGroupsAndCaptures) {
  const Regex regex("^/(?<yard>[a-z]+)(/x)?/(\\d+)$", false);
  Captures captures;
  ASSERT_EQ(regex.match("/pine/7", &captures), Regex::Result::matched);
  ASSERT_EQ(captures.size(), 4u);
  EXPECT_EQ(captures[1], "pine");
  EXPECT_EQ(captures[2], "");
  EXPECT_EQ(captures[3], "7");
  EXPECT_EQ(regex.match("/Pine/7", &captures), Regex::Result::none);
  EXPECT_EQ(Regex("pine", true).match("/PINE", nullptr), Regex::Result::matched);
  EXPECT_THROW(Regex(std::string(Regex::kPatternMost + 1, 'a'), false), BadRegex);
}

TEST(LevelTest, TheLongestPrefixIsFoundAmongThoseThatBeginEachOther) {
  Level level;
  const char* names[] = {"/", "/a", "/a/", "/a/b", "/a/bc/", "/b", "/abcdefghij", "/abcdefghijkl"};
  for (std::uint32_t i = 0; i < std::size(names); ++i) ASSERT_TRUE(level.addPrefix(names[i], i));
  ASSERT_TRUE(level.addExact("/a/b", 100));
  EXPECT_FALSE(level.addPrefix("/a", 9));
  level.seal();
  const auto longest = [&](std::string_view path) {
    std::uint32_t found = Level::kNone;
    for (std::uint32_t i = 0; i < std::size(names); ++i)
      if (path.starts_with(names[i]) && (found == Level::kNone || std::string_view(names[i]).size() >
                                                                      std::string_view(names[found]).size()))
        found = i;
    return found;
  };
  for (const char* path : {"/", "/a", "/a/", "/a/b", "/a/bc", "/a/bc/", "/a/bcd", "/ab", "/abcdefghi",
                           "/abcdefghijk", "/abcdefghijklm", "/b/", "/z", "/a/c", "/a/bb"})
    EXPECT_EQ(level.find(path).prefix, longest(path)) << path;
  EXPECT_EQ(level.find("/a/b").exact, 100u);
  EXPECT_EQ(level.find("x").prefix, Level::kNone);
  EXPECT_EQ(level.find("").prefix, Level::kNone);
}

}  // namespace
}  // namespace cairnjunction::route
