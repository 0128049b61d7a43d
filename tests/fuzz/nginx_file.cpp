// Fuzz target: lexer, parser and lowering of nginx files, and the routes made of what passes.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "import/nginx/import.hpp"
#include "route/json.hpp"
#include "route/router.hpp"

namespace {

class OneFile final : public cairnjunction::import_nginx::Files {
 public:
  explicit OneFile(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> read(const std::string&) override { return text_; }
  std::vector<std::string> glob(const std::string& pattern) override { return {pattern}; }

 private:
  std::string text_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cairnjunction;
  OneFile files(std::string(reinterpret_cast<const char*>(data), size));
  import_nginx::Source source;
  try {
    const auto directives = import_nginx::parse("f", files, source);
    const import_nginx::Imported imported = import_nginx::lower(directives, source);
    for (const auto& entry : imported.report.entries())
      if (entry.reason.find("not looked at") != std::string::npos) {
        std::fprintf(stderr, "nobody judged: %s\n", entry.text.c_str());
        std::abort();
      }
    // What was imported is read back as it was.
    const auto json = route::toJson(imported.routes);
    const std::string text = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    route::fromJson(nlohmann::json::parse(text));
    const route::Router router(imported.routes);
    for (const char* target : {"/", "/a/../b?c=d", "/x.php", "/a"}) {
      route::Request request;
      request.target = target;
      request.host = "a.b";
      const route::Decision d = router.route(request);
      if (d.kind == route::Decision::Kind::proxy && (d.pool.empty() || d.uri.empty() || d.uri[0] != '/'))
        std::abort();
    }
  } catch (const import_nginx::BadSyntax& bad) {
    source.place(bad.at);
    source.excerpt(bad.at);
  }
  return 0;
}
