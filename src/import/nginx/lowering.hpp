// Converts directives to Routes. Each function records in the report what it did with every directive it
// gets.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "import/nginx/directives.hpp"
#include "import/nginx/import.hpp"
#include "route/names.hpp"
#include "route/router.hpp"
#include "route/variables.hpp"

namespace cairnjunction::import_nginx {

// What a level hands down to the levels in it (nginx's documents: a level that says nothing has what the one
// around it has; of lists, one that says anything has only its own).
struct Inherited {
  std::optional<std::vector<std::pair<std::string, std::string>>> headers;
  std::optional<std::chrono::milliseconds> connectTimeout, readTimeout, triesTimeout;
  std::optional<std::uint32_t> tries;
  bool retriesOff = false;
  std::optional<std::uint64_t> bodyMost;
  std::optional<std::vector<route::RateLimit>> rates;
  std::optional<std::vector<route::ConnectionLimit>> connections;
  int rateStatus = 503, connectionStatus = 503;
  bool rateDry = false, connectionDry = false;
  bool mergeSlashes = true;
  bool denied = false;              // to all
  std::vector<std::string> guards;  // names of directives for which locations answer 501
};

class Lowering {
 public:
  explicit Lowering(const Source& source) : source_(source) {}
  Imported run(const std::vector<Directive>& directives);

 private:
  enum class Level { main, http, server, location };

  // --- lowering.cpp: main, http, server, and what all levels share
  void expectAll(const std::vector<Directive>& directives);
  void http(const std::vector<Directive>& directives, Level level);
  void serverOf(const Directive& block, const Inherited& outer);
  void listen(const Directive& d, route::Server& server);
  void serverName(const Directive& d, route::Server& server);
  // Processes a directive that is allowed at every level. False: it is not one.
  bool shared(const Directive& d, Inherited& scope);
  void inherit(const std::vector<Directive>& directives, Inherited& scope, Level level);
  void access(const std::vector<Directive>& directives, Inherited& scope);
  static bool asByDefault(const Directive& d);
  void rest(const Directive& d, Level level);                    // by the table
  void leaveOut(const Directive& d, const std::string& reason);  // with all in it
  bool flag(const Directive& d);                                 // "on" or "off"

  // --- location.cpp
  struct LocationWords {
    std::string sign, pattern;
    Position at;  // of the pattern
  };
  static LocationWords locationWords(const Directive& block);  // which has one or two words
  void locationOf(const Directive& block, const Inherited& outer, std::vector<route::Location>& into,
                  const route::Location* parent);
  void finish(const Directive& block, const Inherited& scope, const std::string& handler,
              route::Location& location);
  void proxyPass(const Directive& d, route::Location& location, std::string& handler);
  void tryFiles(const Directive& d, route::Location& location);
  std::string implicitPool(const Directive& d, const std::string& authority);

  // --- rewriting.cpp
  static bool rewriting(const Directive& d);
  // `poison` is set to the reason if a step can't be converted: then no step after it can be relied on
  // either.
  void step(const Directive& d, std::vector<route::Step>& into, std::string& poison);
  void condition(const Directive& d, std::vector<route::Step>& into, std::string& poison);
  bool parseCondition(const Directive& d, route::Condition& condition, std::string& why);

  // --- upstream.cpp
  void upstream(const Directive& block);
  void upstreamServer(const Directive& d, route::Pool& pool);
  void map(const Directive& block);
  template <class Zone>
  static void nameZone(const Argument& a, const std::string& value, Zone& zone);
  template <class Zone>
  void keepZone(const Directive& d, Zone zone, std::set<std::string>& known, std::vector<Zone>& into);
  void rateZone(const Directive& d);
  void connectionZone(const Directive& d);
  void rate(const Directive& d, Inherited& scope);
  void connection(const Directive& d, Inherited& scope);

  // --- variables
  void collectVariables(const std::vector<Directive>& directives);
  void settleMaps();
  // Empty if all of its variables are known, or else why not. Throws BadSyntax for a '$' with no name.
  std::string unknownIn(const std::string& text, Position at) const;
  route::Regex regex(const std::string& pattern, bool caseless, Position at) const;  // throws BadSyntax

  void carried(const Directive& d) { report_.judge(d, Fate::carried); }
  void difference(const Directive& d, const std::string& why) { report_.judge(d, Fate::difference, why); }
  void leftOut(const Directive& d, const std::string& why) { report_.judge(d, Fate::leftOut, why); }
  const Argument& argument(const Directive& d, std::size_t i) const;  // throws BadSyntax
  void wants(const Directive& d, std::size_t least, std::size_t most) const;
  route::Origin origin(const Directive& d) const;
  [[noreturn]] static void notHere(const Directive& d) {
    throw BadSyntax(d.at, "'" + d.name + "' is not allowed here");
  }

  const Source& source_;
  route::Routes routes_;
  Report report_;
  std::set<std::string> pools_;
  route::Texts texts_;
  std::set<std::string> mapNames_;
  std::vector<std::pair<const Directive*, route::Map>> maps_;
  std::set<std::string> rateZones_, connectionZones_;
  bool realIp_ = false;
};

}  // namespace cairnjunction::import_nginx
