// Probing of unreachable endpoints by one gateway for all. Each such endpoint belongs to a shard of the task
// `probe`. The holder of the shard's lease goes on trying the endpoint with real requests and reports what it
// finds; the others leave the endpoint to it, for a bounded time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "app/command_bodies.hpp"
#include "common/callback_guard.hpp"
#include "core/engine.hpp"
#include "fleet/member.hpp"

namespace cairnjunction {

inline constexpr const char* kProbeTask = "probe";

class FleetProbing {
 public:
  static constexpr lease::Duration kUpdateInterval{200};  // between two looks at what is unreachable
  // Between a lease holder's reports of a shard; a recovery is reported at once.
  static constexpr lease::Duration kReportInterval{1000};
  // An endpoint that has just become unreachable is left to the lease holder for so long without a report,
  static constexpr lease::Duration kFirstReportTimeout{1500};
  // and after a report for so long.
  static constexpr lease::Duration kReportValidity{2500};
  static constexpr int kRecoveryReports = 3;  // a recovery is reported so often: a link may lose a command
  static constexpr std::size_t kMaxEndpoints = kMaxReportedEndpoints;  // over all shards

  // Sends a command as holder of the key's lease; false: it does not hold it, or is not connected.
  using SendCommand = std::function<bool(const lease::LeaseKey&, std::string body)>;

  // `shards`: as in the fleet file; 0: each gateway probes for itself. `engine` and `member` outlive this.
  FleetProbing(boost::asio::io_context& io, Engine& engine, const fleet::Member& member, std::uint32_t shards,
               SendCommand sendCommand);

  // A report of another member, which holds the lease of the shard.
  void onReport(const ProbeReport& report);
  // How often an endpoint was left to another gateway, counted at each update.
  std::uint64_t leftToOthers() const { return leftToOthers_; }
  // By this gateway.
  std::uint64_t probes() const { return engine_.endpointHealth().probesStarted(); }

 private:
  // What is said of one shard.
  struct Report {
    ProbeReport content;
    bool urgent = false;  // a recovery is new
  };
  using Reports = std::map<std::uint32_t, Report>;  // by shard
  struct Recovery {
    lease::BootTime at{};
    int reportsLeft = 0;
  };

  void update();
  Reports collectReports(lease::BootTime now);
  void leaveToHolder(policy::EndpointId endpoint, const std::string& uid, lease::BootTime unreachableSince,
                     lease::BootTime now);
  void noteRecoveries(const std::map<std::string, lease::BootTime>& stillUnreachable, lease::BootTime now,
                      Reports& reports);
  void reportRecoveries(lease::BootTime now, Reports& reports);
  void send(const Reports& reports, lease::BootTime now);
  bool holdsShard(std::uint32_t shard) const { return member_.holds({kProbeTask, shard}); }
  std::uint32_t shardOf(const std::string& uid) const;
  void onReportedRecovery(const ProbeReport::Recovery& recovery);

  boost::asio::steady_timer timer_;
  Engine& engine_;
  const fleet::Member& member_;
  const std::uint32_t shards_;
  SendCommand sendCommand_;
  // By uid: when a lease holder last reported the endpoint as unreachable. At most kMaxEndpoints.
  std::map<std::string, lease::BootTime> reportedUnreachable_;
  // By uid: unreachable from here at the last update. Of shards that others hold: since when.
  std::map<std::string, lease::BootTime> unreachable_;
  std::map<std::string, Recovery> recoveries_;  // by uid, of shards held here; none is in unreachable_
  std::map<std::uint32_t, lease::BootTime> lastReports_;  // by shard
  std::uint64_t leftToOthers_ = 0;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction
