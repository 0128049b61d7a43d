// The importer: nothing is dropped and nothing guessed; what nginx turns down is turned down; inheritance;
// hard cases.
#include "import/nginx/import.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "import/nginx/directives.hpp"
#include "import/sites.hpp"
#include "route/router.hpp"

namespace cairnjunction::testing {
namespace {

using namespace import_nginx;

constexpr char kPool[] = "upstream p { server 10.0.0.1:80; }\n";

std::string failure(const std::string& text) {
  MemoryFiles files;
  files.files["f"] = text;
  Source source;
  try {
    const auto directives = parse("f", files, source);
    lower(directives, source);
  } catch (const BadSyntax& bad) {
    return source.place(bad.at) + ": " + bad.what();
  }
  return "";
}

route::Decision go(const ImportedText& imported, std::string_view target, std::string_view host = "",
                   std::string_view method = "GET") {
  const route::Router router(imported.result.routes);
  route::Request request;
  request.target = target;
  request.host = host;
  request.method = method;
  route::Decision d = router.route(request);
  d.location = nullptr;  // of the router, which ends here
  d.locationText = d.server = {};
  return d;
}

std::size_t countAll(const std::vector<Directive>& directives) {
  std::size_t n = 0;
  for (const Directive& d : directives) {
    ++n;
    if (d.name != "map" && d.name != "types" && d.name != "geo" && d.name != "split_clients")
      n += countAll(d.inner);
  }
  return n;
}

TEST(ReportTest, EachDirectiveOfEachSiteIsJudgedWithAReason) {
  MemoryFiles files = filesBelow(SITES);
  for (const auto& [path, text] : files.files) {
    if (!path.ends_with(".conf")) continue;
    const ImportedText imported(path, files);
    const auto& entries = imported.result.report.entries();
    EXPECT_EQ(entries.size(), countAll(imported.directives)) << path;
    for (const auto& entry : entries) {
      EXPECT_EQ(entry.reason.find("not looked at"), std::string::npos) << path << ": " << entry.text;
      EXPECT_EQ(entry.fate == Fate::carried, entry.reason.empty()) << path << ": " << entry.text;
      EXPECT_GT(entry.at.line, 0u);
    }
  }
}

// Every name of the table at every level where it may stand, and some that are not known.
TEST(ReportTest, NoDirectiveOfTheTableIsPassedOver) {
  for (const DirectiveRow& row : directiveTable()) {
    if (row.treatment == Treatment::lowered) continue;
    for (const std::string& around :
         {std::string("server { listen 80; location / { proxy_pass http://p; %; } }"),
          std::string("server { listen 80; %; location / { proxy_pass http://p; } }"),
          std::string("http { %; server { location / { proxy_pass http://p; } } }")}) {
      std::string text = around;
      text.replace(text.find('%'), 1, std::string(row.name) + " x");
      const ImportedText imported((around[0] == 'h' ? "" : kPool) +
                                  text.insert(around[0] == 'h' ? 7 : 0, around[0] == 'h' ? kPool : ""));
      const auto& entry = imported.entry(std::string(row.name) + " x");
      EXPECT_EQ(entry.fate, Fate::leftOut) << text;
      EXPECT_FALSE(entry.reason.empty()) << text;
      const bool refuses = row.treatment == Treatment::guard;
      const bool handler = row.treatment == Treatment::handler &&
                           around.find("location / { proxy_pass http://p; %") != std::string::npos;
      EXPECT_EQ(go(imported, "/").kind == route::Decision::Kind::answer, refuses || handler) << text;
      if (refuses || handler) {
        EXPECT_EQ(go(imported, "/").status, 501) << text;
      }
    }
  }
}

TEST(ReportTest, WhatIsNotKnownRefusesWhereItCouldGuard) {
  const ImportedText inside(
      std::string(kPool) +
      "server { location / { proxy_pass http://p; } location /a { lua_guard x; proxy_pass http://p; } }");
  EXPECT_EQ(inside.entry("lua_guard").fate, Fate::leftOut);
  EXPECT_EQ(go(inside, "/a").status, 501);
  EXPECT_EQ(go(inside, "/").pool, "p");
  const ImportedText outside(std::string("more_things on; ") + kPool +
                             "server { location / { proxy_pass http://p; } }");
  EXPECT_EQ(go(outside, "/").pool, "p");
  EXPECT_EQ(outside.result.report.exitCode(), 1);
}

TEST(ReportTest, ItsJsonHasPlaceFateAndReason) {
  const ImportedText imported(std::string(kPool) +
                              "server {\n gzip on;\n location / { proxy_pass http://p; } }");
  const auto json = imported.result.report.json(imported.source);
  EXPECT_EQ(json["counts"]["left-out"], 1);
  const auto& gzip = json["directives"][3];
  EXPECT_EQ(gzip["directive"], "gzip on");
  EXPECT_EQ(gzip["file"], "nginx.conf");
  EXPECT_EQ(gzip["line"], 3);
  EXPECT_EQ(gzip["column"], 2);
  EXPECT_EQ(gzip["fate"], "left-out");
  EXPECT_FALSE(gzip["reason"].get<std::string>().empty());
}

// The operators' page has the same table.
TEST(ReportTest, TheOperatorsPageHasEveryDirective) {
  std::ifstream file(PAGE);
  std::set<std::string> named;
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("| `", 0) != 0) continue;
    const std::string first = line.substr(0, line.find(" |", 2));
    for (std::size_t at = first.find('`'); at != std::string::npos;) {
      const std::size_t end = first.find('`', at + 1);
      named.insert(first.substr(at + 1, end - at - 1));
      at = first.find('`', end + 1);
    }
  }
  for (const DirectiveRow& row : directiveTable())
    EXPECT_TRUE(named.contains(std::string(row.name))) << row.name;
  for (const std::string& name : named) EXPECT_TRUE(findRow(name)) << name;
}

TEST(ImportTest, WhatNginxTurnsDownIsTurnedDown) {
  EXPECT_EQ(failure("upstream a { }"), "f:1:1: no server is in the upstream 'a'");
  EXPECT_EQ(failure("upstream a { server b:80; }\nupstream a { server c:80; }"),
            "f:2:10: the upstream 'a' stands there twice");
  EXPECT_EQ(failure("upstream a { server b:80 wieght=2; }"),
            "f:1:26: 'wieght=2' is no parameter of an upstream's server");
  EXPECT_EQ(failure("server { location / { } location / { } }").substr(0, 6), "f:1:1:");
  EXPECT_EQ(failure("server { location ~ ( { } }"),
            "f:1:21: no expression: missing closing parenthesis at character 2");
  EXPECT_EQ(failure("server { location /a/ { location /b/ { } } }"), "f:1:34: '/b/' lies outside '/a/'");
  EXPECT_EQ(failure("server { location = /a { location /a/b { } } }"),
            "f:1:26: no location can be inside '= /a'");
  EXPECT_EQ(failure("server { location /a { location @b { } } }"),
            "f:1:24: a named location can only be in a server");
  EXPECT_EQ(failure("server { location ~ a { proxy_pass http://x/y; } }"),
            "f:1:36: proxy_pass can have no path in a location by expression, in a named one or in 'if'");
  EXPECT_EQ(failure("server { location @a { proxy_pass http://x/; } }").substr(0, 7), "f:1:35:");
  EXPECT_EQ(failure("server { proxy_pass http://x; }"), "f:1:10: 'proxy_pass' is not allowed here");
  EXPECT_EQ(failure("server { rewrite ( /a; }"),
            "f:1:18: no expression: missing closing parenthesis at character 2");
  EXPECT_EQ(failure("server { rewrite a /b sideways; }"), "f:1:23: 'sideways' is no flag of rewrite");
  EXPECT_EQ(failure("server { return 99; }"), "f:1:17: a status from 100 to 599 is wanted");
  EXPECT_EQ(failure("server { listen 99999; }"), "f:1:17: '99999' is no port");
  EXPECT_EQ(failure("server { if $a { } }"), "f:1:13: 'if' wants a condition in brackets");
  EXPECT_EQ(failure("server { client_max_body_size 1x; }"), "f:1:31: '1x' is no size");
  EXPECT_EQ(failure("map $host $a { a 1; A 2; }"), "f:1:21: 'A' stands in the map twice");
  EXPECT_EQ(failure("user x;"), "f:1:1: there is neither a server nor an upstream in it");
  EXPECT_NE(failure("server { listen 80 default_server; } server { listen 80 default_server; }")
                .find("second default"),
            std::string::npos);
  EXPECT_EQ(failure("upstream a { server b:80; } server { location / { proxy_pass http://a:81; } }"),
            "f:1:62: the upstream 'a' may have no port");
}

TEST(ImportTest, InheritanceIsAsDocumented) {
  const ImportedText imported(
      std::string("proxy_read_timeout 5s; proxy_set_header A 1; proxy_set_header Host h;\n") + kPool +
      R"(
server {
  client_max_body_size 2m;
  location / { proxy_pass http://p; }
  location /own/ { proxy_pass http://p; proxy_set_header B 2; proxy_read_timeout 1s;
    location /own/in/ { proxy_pass http://p; } }
  location /bare/ { return 200; location /bare/in/ { } }
})");
  const auto& locations = imported.result.routes.servers.at(0).locations;
  const auto headers = [](const route::Location& l) { return l.proxy->headers; };
  using H = std::vector<std::pair<std::string, std::string>>;
  EXPECT_EQ(headers(locations[0]), (H{{"A", "1"}, {"Host", "h"}}));
  EXPECT_EQ(headers(locations[1]),
            (H{{"Host", "$proxy_host"}, {"B", "2"}}));  // its own only, and the default
  EXPECT_EQ(headers(locations[1].nested[0]), (H{{"Host", "$proxy_host"}, {"B", "2"}}));
  EXPECT_EQ(locations[0].proxy->timeout, std::chrono::seconds(5));
  EXPECT_EQ(locations[1].nested[0].proxy->timeout, std::chrono::seconds(1));
  EXPECT_EQ(locations[0].bodyMost, 2u << 20);
  EXPECT_TRUE(locations[2].nested[0].steps.empty());  // rewriting is not inherited,
  EXPECT_FALSE(locations[2].nested[0].proxy);         // nor is what serves a location
}

TEST(ImportTest, RetriesKeepOurRules) {
  const ImportedText imported(std::string(kPool) + R"(server {
  location /a { proxy_pass http://p; proxy_next_upstream error non_idempotent; }
  location /b { proxy_pass http://p; proxy_next_upstream off; }
  location /c { proxy_pass http://p; proxy_next_upstream_tries 2; proxy_next_upstream_timeout 300ms; } })");
  const auto& l = imported.result.routes.servers.at(0).locations;
  EXPECT_EQ(imported.entry("proxy_next_upstream error").fate, Fate::difference);
  EXPECT_NE(imported.entry("proxy_next_upstream error").reason.find("non_idempotent is forbidden"),
            std::string::npos);
  EXPECT_FALSE(l[0].proxy->attempts);
  EXPECT_EQ(l[1].proxy->attempts, 1u);
  EXPECT_EQ(imported.entry("proxy_next_upstream off").fate, Fate::carried);
  EXPECT_EQ(l[2].proxy->attempts, 2u);
  EXPECT_EQ(l[2].proxy->timeout, std::chrono::milliseconds(300));
}

TEST(ImportTest, UpstreamsCarryAllParametersAsFacts) {
  const ImportedText imported(R"(upstream u {
  server 10.0.0.1 weight=5 max_conns=7 max_fails=0 fail_timeout=30s;
  server [::1]:8080 backup; server name.example:81 down; server unix:/run/x;
  keepalive 9; hash $uri consistent; })");
  const route::Pool& pool = imported.result.routes.pools.at(0);
  ASSERT_EQ(pool.servers.size(), 3u);
  EXPECT_EQ(pool.servers[0].address, "10.0.0.1:80");
  EXPECT_EQ(pool.servers[0].weight, 5u);
  EXPECT_EQ(pool.servers[0].connectionsMost, 7u);
  EXPECT_EQ(pool.servers[0].failsMost, 0u);
  EXPECT_EQ(pool.servers[0].failTimeout, std::chrono::seconds(30));
  EXPECT_EQ(pool.servers[1].address, "[::1]:8080");
  EXPECT_TRUE(pool.servers[1].backup);
  EXPECT_TRUE(pool.servers[2].down);
  EXPECT_EQ(imported.entry("server unix").fate, Fate::leftOut);
  EXPECT_EQ(imported.entry("hash").fate, Fate::difference);
  EXPECT_EQ(pool.idleMost, 9u);
}

TEST(ImportTest, UnknownVariablesAreNeverEmptyValues) {
  const ImportedText imported(std::string(kPool) + R"(server {
  location / { proxy_pass http://p; proxy_set_header X $request_id; }
  location /a { if ($geoip_country) { return 403; } proxy_pass http://p; }
  location /b { set $x $nothing; proxy_pass http://p; }
  location /c { proxy_pass http://p/$nothing; }
  location /d { return 302 $nothing; } })");
  EXPECT_EQ(imported.entry("proxy_set_header").fate, Fate::leftOut);
  EXPECT_EQ(go(imported, "/").pool, "p");
  for (const char* path : {"/a", "/b", "/c"}) EXPECT_EQ(go(imported, path).status, 501) << path;
}

TEST(ImportTest, AMapOfWhatIsNotKnownIsLeftOutWithWhatNamesIt) {
  const ImportedText imported(std::string("map $geo $a { default p; }\nmap $a $b { default $a; }\n") + kPool +
                              "server { location / { proxy_pass http://$b; } }");
  EXPECT_EQ(imported.entry("map $geo").fate, Fate::leftOut);
  EXPECT_EQ(imported.entry("map $a").fate, Fate::leftOut);
  EXPECT_EQ(go(imported, "/").status, 501);
}

TEST(ImportTest, IfIsCarriedOverOnlyWhereItIsSafe) {
  const ImportedText imported(std::string(kPool) + R"(server {
  location / { if ($arg_a = 1) { proxy_pass http://q; } proxy_pass http://p; }
  location /add { if ($arg_a) { add_header X 1; } proxy_pass http://p; } })");
  EXPECT_EQ(go(imported, "/?a=1").status, 501);
  EXPECT_EQ(go(imported, "/?a=2").pool, "p");
  EXPECT_EQ(go(imported, "/add?a=1").pool, "p");
  EXPECT_EQ(imported.entry("if ($arg_a = 1)").fate, Fate::difference);
  EXPECT_EQ(imported.entry("proxy_pass http://q").fate, Fate::leftOut);
}

TEST(ImportTest, TheTrailingSlashIsRedirectedAsForAProxy) {
  const ImportedText imported(std::string(kPool) + R"(server {
  location /a/ { proxy_pass http://p; } location = /b { return 200; } location /b/ { proxy_pass http://p; }
  location /c/ { return 200; } location /d/ { auth_basic x; proxy_pass http://p; } })");
  EXPECT_EQ(go(imported, "/a").status, 301);
  EXPECT_EQ(go(imported, "/a?x=1").text, "/a/?x=1");
  EXPECT_EQ(go(imported, "/b").status, 200);
  EXPECT_EQ(go(imported, "/c").status, 404);
  EXPECT_EQ(go(imported, "/d").status, 301);  // not to another location, which might let it pass
}

TEST(ImportTest, ProxyPassWithAPathUnderPrefixAndVariables) {
  const ImportedText imported(std::string(kPool) + R"(server {
  location /a/ { proxy_pass http://p/x/; }
  location /b { proxy_pass http://p/y; }
  location /r/ { rewrite ^/r/(.*)$ /z/$1 break; proxy_pass http://p/ignored/; }
  location ~ ^/v/(.*)$ { proxy_pass http://p/w/$1$is_args$args; }
  location @n { proxy_pass http://p; } location /n/ { try_files $uri @n; } })");
  EXPECT_EQ(go(imported, "/a/1?q").uri, "/x/1?q");
  EXPECT_EQ(go(imported, "/b/2").uri, "/y/2");
  EXPECT_EQ(go(imported, "/bee").uri, "/yee");
  EXPECT_EQ(go(imported, "/r/3").uri, "/z/3");
  EXPECT_EQ(go(imported, "/v/4?a=b").uri, "/w/4?a=b");
  EXPECT_EQ(go(imported, "/n/5").uri, "/n/5");
}

}  // namespace
}  // namespace cairnjunction::testing
