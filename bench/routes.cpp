// What a route costs by the number of locations, and what the import of a large file takes. Prints tables.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "import/nginx/import.hpp"
#include "route/path.hpp"
#include "route/router.hpp"

namespace {

using namespace cairnjunction;
using Clock = std::chrono::steady_clock;

constexpr int kRounds = 5;
constexpr int kRoutes = 400'000;  // in each round

std::string nameOf(std::size_t i) {  // three parts deep, as such paths are
  return "/yard-" + std::to_string(i % 97) + "/stock-" + std::to_string(i % 1009) + "/lot-" +
         std::to_string(i) + "/";
}

route::Routes made(std::size_t locations, std::size_t expressions) {
  route::Routes routes;
  routes.pools.emplace_back().name = "p";
  route::Server& server = routes.servers.emplace_back();
  for (std::size_t i = 0; i < locations; ++i) {
    route::Location& location = server.locations.emplace_back();
    location.pattern = nameOf(i);
    location.proxy.emplace().pool = "p";
  }
  for (std::size_t i = 0; i < expressions; ++i) {
    route::Location& location = server.locations.emplace_back();
    location.modifier = route::Location::Modifier::regex;
    location.pattern = "^/none-" + std::to_string(i) + "/.*\\.(png|jpg)$";
    location.proxy.emplace().pool = "p";
  }
  return routes;
}

double nanosecondsEach(const route::Router& router, const std::vector<std::string>& targets) {
  std::vector<double> rounds;
  for (int round = 0; round < kRounds; ++round) {
    std::size_t found = 0;
    const auto begin = Clock::now();
    for (int i = 0; i < kRoutes; ++i) {
      route::Request request;
      request.host = "mill.example";
      request.target = targets[static_cast<std::size_t>(i) % targets.size()];
      found += router.route(request).kind == route::Decision::Kind::proxy;
    }
    const double ns = std::chrono::duration<double, std::nano>(Clock::now() - begin).count();
    if (found != kRoutes) std::printf("only %zu of %d were found\n", found, kRoutes);
    rounds.push_back(ns / kRoutes);
  }
  std::sort(rounds.begin(), rounds.end());
  return rounds[kRounds / 2];
}

void routesTable() {
  std::printf("A route, in nanoseconds (median of %d rounds of %d), paths drawn over all locations:\n",
              kRounds, kRoutes);
  std::printf("| locations | prefixes only | with 10 expressions that don't match |\n| --- | --- | --- |\n");
  for (const std::size_t n : {10u, 1'000u, 10'000u, 100'000u}) {
    std::mt19937_64 random(7);
    std::vector<std::string> targets;
    for (int i = 0; i < 5'000; ++i)
      targets.push_back(nameOf(random() % n) + "piece/" + std::to_string(i) + "?q=1");
    const route::Router plain(made(n, 0)), mixed(made(n, 10));
    std::printf("| %zu | %.0f | %.0f |\n", n, nanosecondsEach(plain, targets),
                nanosecondsEach(mixed, targets));
  }
}

class OneFile final : public import_nginx::Files {
 public:
  std::string text;
  std::optional<std::string> read(const std::string&) override { return text; }
  std::vector<std::string> glob(const std::string&) override { return {}; }
};

std::size_t heldBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void importTable() {
  std::printf(
      "\nThe import of one file:\n| lines | locations | read | lowered | compiled | memory |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t lines : {1'000u, 10'000u, 100'000u}) {
    OneFile files;
    files.text = "upstream p { server 10.0.0.1:80; }\nserver {\n";
    std::size_t locations = 0;
    for (std::size_t line = 3; line + 4 < lines; line += 4, ++locations)
      files.text += "location " + std::string(locations % 10 == 9 ? "~ ^" : "") + nameOf(locations) +
                    " {\nproxy_pass http://p;\nproxy_set_header X-Lot $uri;\n}\n";
    files.text += "}\n";
    const std::size_t before = heldBytes();
    const auto begin = Clock::now();
    import_nginx::Source source;
    const auto directives = import_nginx::parse("nginx.conf", files, source);
    const auto parsed = Clock::now();
    const import_nginx::Imported imported = import_nginx::lower(directives, source);
    const auto lowered = Clock::now();
    const std::size_t memory = heldBytes() - before;
    const route::Router router(imported.routes);
    const auto compiled = Clock::now();
    const auto ms = [](auto d) { return std::chrono::duration<double, std::milli>(d).count(); };
    std::printf("| %zu | %zu | %.1f ms | %.1f ms | %.1f ms | %.1f MB |\n", lines, locations,
                ms(parsed - begin), ms(lowered - parsed), ms(compiled - lowered),
                static_cast<double>(memory) / (1 << 20));
  }
}

void pathTable() {
  std::printf("\nWhat the canonical path costs a request with routes off:\n| path | ns |\n| --- | --- |\n");
  for (const char* target : {"/read/lot-7?yard=3", "/read/%6cot-7?yard=3", "/read/x/../lot-7"}) {
    std::size_t good = 0;
    const auto begin = Clock::now();
    for (int i = 0; i < kRoutes; ++i) good += route::isCanonical(target) || route::canonical(target).good();
    const double ns = std::chrono::duration<double, std::nano>(Clock::now() - begin).count();
    if (good == kRoutes) std::printf("| `%s` | %.0f |\n", target, ns / kRoutes);
  }
}

}  // namespace

int main() {
  routesTable();
  importTable();
  pathTable();
}
