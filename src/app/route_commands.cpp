// `cairnjunction import nginx` and `cairnjunction route`.
#include "app/route_commands.hpp"

#include <glob.h>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "config/routes_file.hpp"
#include "import/nginx/import.hpp"
#include "route/json.hpp"
#include "route/names.hpp"
#include "route/router.hpp"

namespace cairnjunction {
namespace {

namespace nginx = import_nginx;
using nlohmann::ordered_json;
constexpr int kGood = 0, kDiffers = 1, kBad = 2;

// Relative names are of the folder of the main file, as nginx has them of its configuration's.
class DiskFiles final : public nginx::Files {
 public:
  explicit DiskFiles(const std::string& main) : folder_(std::filesystem::path(main).parent_path()) {}

  std::optional<std::string> read(const std::string& path) override {
    std::error_code ec;
    if (!std::filesystem::is_regular_file(path, ec)) return std::nullopt;  // a pipe would wait for ever
    if (std::filesystem::file_size(path, ec) > nginx::kFileMost || ec) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    if (!file) return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
  }

  std::vector<std::string> glob(const std::string& pattern) override {
    const std::string whole =
        std::filesystem::path(pattern).is_absolute() ? pattern : (folder_ / pattern).string();
    glob_t found{};
    std::vector<std::string> paths;
    if (::glob(whole.c_str(), 0, nullptr, &found) == 0)
      for (std::size_t i = 0; i < found.gl_pathc; ++i) paths.emplace_back(found.gl_pathv[i]);
    globfree(&found);
    return paths;
  }

 private:
  std::filesystem::path folder_;
};

// Written whole or not at all: a file that a gateway may be reading is never seen half.
bool writeFile(const std::string& path, const std::string& text, std::ostream& errors) {
  const std::string beside = path + ".new";
  {
    std::ofstream file(beside, std::ios::binary | std::ios::trunc);
    file << text;
    file.flush();
    if (!file) {
      errors << "cannot write " << beside << '\n';
      return false;
    }
  }
  std::error_code ec;
  std::filesystem::rename(beside, path, ec);
  if (ec) errors << "cannot write " << path << ": " << ec.message() << '\n';
  return !ec;
}

void summary(const nginx::Imported& imported, const nginx::Source& source, std::ostream& errors) {
  for (const auto& entry : imported.report.entries())
    if (entry.fate != nginx::Fate::carried)
      errors << source.place(entry.at) << ": " << nameOf(entry.fate) << ": " << entry.text << ": "
             << entry.reason << '\n';
  for (const std::string& warning : imported.warnings) errors << "warning: " << warning << '\n';
  errors << imported.report.count(nginx::Fate::carried) << " carried over, "
         << imported.report.count(nginx::Fate::difference) << " with a difference, "
         << imported.report.count(nginx::Fate::leftOut) << " left out\n";
}

}  // namespace

int importNginx(const ImportOptions& options, std::ostream& out, std::ostream& errors) {
  nginx::Source source;
  DiskFiles files(options.file);
  try {
    // Kept as long as the report, which goes by its directives.
    const std::vector<nginx::Directive> directives = nginx::parse(options.file, files, source);
    const nginx::Imported imported = nginx::lower(directives, source);
    if (options.report.empty()) summary(imported, source, errors);
    else if (options.report == "-") out << imported.report.json(source).dump(2) << '\n';
    else if (!writeFile(options.report, imported.report.json(source).dump(2) + "\n", errors)) return kBad;
    const int code = imported.report.exitCode();
    if (options.strict && code != kGood) {
      errors << "not all is carried over, and --strict wants it: no routes are written\n";
      return kBad;
    }
    const std::string routes = route::toJson(imported.routes).dump(1) + "\n";
    if (!options.out.empty()) return writeFile(options.out, routes, errors) ? code : kBad;
    if (options.report != "-") out << routes;
    return code;
  } catch (const nginx::BadSyntax& bad) {
    errors << source.place(bad.at) << ": " << bad.what() << '\n' << source.excerpt(bad.at) << '\n';
    return kBad;
  }
}

int showRoutes(const RouteOptions& options, std::ostream& out, std::ostream& errors) {
  try {
    const route::Router router(readRoutes(options.file));
    route::Request request;
    request.method = options.method;
    request.host = options.host;
    // "--host name:8080": the port of the listener, where servers listen on several.
    const std::string host = route::hostOf(options.host);
    const std::size_t colon = options.host.rfind(':');
    if (colon != std::string::npos && options.host.find(']', colon) == std::string::npos)
      std::from_chars(options.host.data() + colon + 1, options.host.data() + options.host.size(),
                      request.port);
    for (const std::string& path : options.paths) {
      request.target = path;
      const route::Decision d = router.route(request);
      ordered_json line;
      line["server"] = std::string(d.server);
      line["location"] = d.locationText.empty() ? ordered_json() : ordered_json(std::string(d.locationText));
      if (d.kind == route::Decision::Kind::proxy) {
        line["pool"] = d.pool;
        line["uri"] = d.uri;
      } else {
        line["status"] = d.status;
        if (!d.text.empty()) line["text"] = d.text;
        if (*d.why) line["why"] = d.why;
        if (d.fault != route::PathFault::none) line["fault"] = std::string(nameOf(d.fault));
      }
      out << line.dump(-1, ' ', false, ordered_json::error_handler_t::replace) << '\n';
    }
    return kGood;
  } catch (const route::BadRoutes& bad) {
    errors << bad.what() << '\n';
    return kBad;
  }
}

}  // namespace cairnjunction
