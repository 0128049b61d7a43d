// The program: command line, configuration, signals, exit codes.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>

#include "app/demo.hpp"
#include "app/fleet_commands.hpp"
#include "app/gateway.hpp"
#include "app/route_commands.hpp"
#include "config/config.hpp"
#include "config/routes_file.hpp"
#include "fleet/settings.hpp"
#include "jsonrpc/settings.hpp"
#include "route/router.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

using cairnjunction::BadConfig;
using cairnjunction::Config;
using cairnjunction::Reading;
namespace jsonrpc = cairnjunction::jsonrpc;

struct Files {
  std::string config, jsonRpc, routes, fleet;  // empty: GW_CONFIG; no JSON-RPC; no routes; no fleet
};

void log(const std::string& line) { std::cerr << line << '\n'; }

Config readFile(const Files& files, Reading reading) {
  return cairnjunction::readConfig(
      [&](const char* name) -> const char* {
        if (std::string_view(name) == "GW_CONFIG" && !files.config.empty()) return files.config.c_str();
        return std::getenv(name);
      },
      reading);
}

jsonrpc::Settings readJsonRpc(const Files& files) {
  return files.jsonRpc.empty() ? jsonrpc::Settings{} : jsonrpc::readSettings(files.jsonRpc);
}

jsonrpc::Settings resolved(jsonrpc::Settings settings, Config& config) {
  jsonrpc::resolve(settings, config.module);
  return settings;
}

// The configuration in force, to which a reload is compared.
struct InForce {
  cairnjunction::ConfigShape shape;
  const jsonrpc::Settings jsonRpc;  // as read; a reload can change only the classes
};

// SIGHUP: reads the file again. For a bad one a line is logged, and the settings in force stay.
void reloadAtEachHangup(boost::asio::signal_set& hangups, cairnjunction::Gateway& gateway, const Files& files,
                        InForce& inForce) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    try {
      Config config = readFile(files, Reading::again);
      cairnjunction::requireShape(inForce.shape, config.shape);
      const jsonrpc::Settings jsonRpc = resolved(inForce.jsonRpc, config);
      gateway.reload(config, jsonRpc);
      inForce.shape = config.shape;
      log("configuration read again");
    } catch (const std::exception& bad) {
      gateway.reloadFailed();
      log(std::string("configuration not taken: ") + bad.what());
    }
    reloadAtEachHangup(hangups, gateway, files, inForce);
  });
}

// Runs the event loop. The last line of the log says why it ended.
void runUntilStopped(boost::asio::io_context& io) {
  try {
    io.run();
  } catch (const std::exception& failed) {
    log(std::string("process-ended reason=exception what=") + failed.what());
    throw;
  }
  log("process-ended reason=drained");
}

int serve(const Files& files) {
  boost::asio::io_context io(1);
  // Until the signal sets exist, SIGTERM, SIGINT and SIGHUP end the process at once. So they come before
  // reading the files, which may take long; a signal that arrives meanwhile is kept until it is waited for.
  boost::asio::signal_set stops(io, SIGTERM, SIGINT), hangups(io, SIGHUP);
  Config config = readFile(files, Reading::atStart);
  InForce inForce{config.shape, readJsonRpc(files)};
  const jsonrpc::Settings settings = resolved(inForce.jsonRpc, config);
  std::shared_ptr<const cairnjunction::route::Router> router;
  if (!files.routes.empty())
    router = std::make_shared<cairnjunction::route::Router>(cairnjunction::readRoutes(files.routes));
  std::optional<cairnjunction::fleet::Settings> fleet;
  if (!files.fleet.empty()) fleet = cairnjunction::fleet::readSettings(files.fleet);
  cairnjunction::Gateway gateway(io, config, {}, log, settings, router, fleet ? &*fleet : nullptr);
  stops.async_wait([&](boost::system::error_code ec, int signal) {
    if (ec) return;
    log("process-draining signal=" + std::to_string(signal));
    gateway.drain([&] { io.stop(); });
  });
  reloadAtEachHangup(hangups, gateway, files, inForce);
  runUntilStopped(io);
  return 0;
}

// Checks the files without opening a socket. Environment variables are ignored.
int check(const Files& files) {
  Config config = cairnjunction::readConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "GW_CONFIG" ? files.config.c_str() : nullptr;
  });
  const std::size_t classes = config.module.classes.size();
  const jsonrpc::Settings settings = resolved(readJsonRpc(files), config);
  std::cout << files.config << ": good: " << classes << " classes, listens on " << config.listen << '\n';
  if (!files.jsonRpc.empty()) {
    std::cout << files.jsonRpc << ": good: " << settings.methods.size() << " methods, ";
    if (settings.listen) std::cout << "listens on " << *settings.listen;
    else std::cout << "no listener";
    std::cout << ", workers speak " << (settings.workers.jsonRpc ? "JSON-RPC" : "HTTP") << '\n';
  }
  if (!files.routes.empty()) {
    const cairnjunction::route::Router router(cairnjunction::readRoutes(files.routes));
    std::cout << files.routes << ": good: " << router.routes().servers.size() << " servers, "
              << router.routes().pools.size() << " pools\n";
    for (const std::string& warning : router.warnings()) std::cout << "warning: " << warning << '\n';
  }
  if (!files.fleet.empty()) {
    const cairnjunction::fleet::Settings fleet = cairnjunction::fleet::readSettings(files.fleet);
    std::cout << files.fleet << ": good: fleet '" << fleet.fleet << "', " << fleet.coordinators.size()
              << " keepers, " << fleet.tasks.size() << " duties\n";
  }
  return 0;
}

int run(int argc, char** argv) {
  CLI::App app{
      "cairnjunction: a gateway that scores requests by worth, sends them to an idle server and refuses "
      "the lowest scores first under overload. With no command it serves."};
  app.set_version_flag("--version", std::string("cairnjunction ") + CAIRNJUNCTION_VERSION);
  app.footer(
      "Exit codes: 0 stopped, or good; 1 failed; 2 bad configuration or command line. Of import: 0 all "
      "carried "
      "over, 1 with differences or left-outs, 2 not readable.\n"
      "Signals: SIGTERM finishes what was taken and ends; SIGHUP reads the configuration again.");
  Files files;
  app.add_option("--config", files.config, "the configuration (otherwise $GW_CONFIG names it)");
  app.add_option("--jsonrpc", files.jsonRpc, "settings of JSON-RPC (docs/operators/jsonrpc.md); off without");
  app.add_option("--routes", files.routes, "a file of routes (docs/operators/nginx-import.md); off without");
  CLI::App* checking = app.add_subcommand("check", "check a configuration and end");
  Files checked;
  checking->add_option("FILE", checked.config, "the configuration")->required();
  checking->add_option("--jsonrpc", checked.jsonRpc, "settings of JSON-RPC, checked against it");
  checking->add_option("--routes", checked.routes, "a file of routes, checked too");
  checking->add_option("--fleet", checked.fleet, "a fleet file, checked too");
  cairnjunction::DemoOptions demo;
  CLI::App* showing = app.add_subcommand(
      "demo", "serve with stand-in workers and discovery on loopback, and say what to try");
  showing->add_option("--workers", demo.workers, "")->check(CLI::Range(1, 100))->capture_default_str();
  showing->add_option("--http-port", demo.http, "0: any free one")->capture_default_str();
  showing->add_option("--jsonrpc-port", demo.jsonRpc, "0: any free one")->capture_default_str();
  showing->add_option("--routes", demo.routes, "serve HTTP by a file of routes");
  showing->add_flag("--jsonrpc-workers", demo.jsonRpcWorkers, "speak JSON-RPC to the workers");
  CLI::App* importing = app.add_subcommand("import", "make routes of another program's configuration");
  importing->require_subcommand(1);
  cairnjunction::ImportOptions import;
  CLI::App* nginx = importing->add_subcommand("nginx", "of an nginx file (docs/operators/nginx-import.md)");
  nginx->add_option("FILE", import.file, "the file; its includes are of its folder")->required();
  nginx->add_option("--out", import.out, "where the routes go; otherwise to the output");
  nginx->add_option("--report", import.report, "where the report on each directive goes; -: the output");
  nginx->add_flag("--strict", import.strict, "write nothing unless all is carried over");
  cairnjunction::RouteOptions route;
  CLI::App* routing = app.add_subcommand("route", "show where requests go by a file of routes");
  routing->add_option("ROUTES", route.file, "the file of routes")->required();
  routing->add_option("PATH", route.paths, "paths, perhaps with arguments")->required();
  routing->add_option("--host", route.host, "as the client names it");
  routing->add_option("--method", route.method, "")->capture_default_str();
  cairnjunction::FleetCommands fleet(app);
  app.add_option("--fleet", files.fleet, "a fleet file (docs/operators/fleet.md); off without");
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& end) {
    return app.exit(end) == 0 ? 0 : kBadConfig;
  }
  if (*checking) return check(checked);
  if (*nginx) return cairnjunction::importNginx(import, std::cout, std::cerr);
  if (*routing) return cairnjunction::showRoutes(route, std::cout, std::cerr);
  if (fleet.isChosen()) return fleet.run(std::cout);
  if (*showing) return cairnjunction::runDemo(demo, std::cout);
  if (files.config.empty() && !std::getenv("GW_CONFIG"))
    throw BadConfig("no configuration: give --config FILE or set GW_CONFIG; 'cairnjunction demo' needs none");
  return serve(files);
}

}  // namespace

int main(int argc, char** argv) {
  // Memory of large bodies is returned to the system when freed. By default glibc raises this threshold as
  // large blocks are freed, and keeps ever larger ones.
  mallopt(M_MMAP_THRESHOLD, 128 << 10);
  std::signal(SIGPIPE, SIG_IGN);  // a closed peer shows as a write error instead
  try {
    return run(argc, argv);
  } catch (const BadConfig& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const cairnjunction::route::BadRoutes& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const cairnjunction::fleet::BadSettings& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const jsonrpc::BadSettings& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kFailed;
  }
}
