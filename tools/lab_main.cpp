// The lab: experiments on fleets of real processes, and the judge of their ledgers.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "lab/checks.hpp"
#include "lab/report.hpp"
#include "lab/run.hpp"

namespace {

using namespace cairnjunction::lab;

constexpr int kBroken = 1, kCouldNotRun = 2;

int judged(const std::string& folder, bool report) {
  const Ledgers ledgers = readLedgers(folder);
  const std::vector<Check> checks = judge(ledgers);
  const nlohmann::json result = resultOf(ledgers, checks);
  if (report) {
    std::ofstream(folder + "/result.json") << result.dump(1) << '\n';
    writeReport(folder, ledgers, checks);
  }
  std::cout << result.dump(1) << '\n';
  for (const Check& check : checks)
    if (!check.held) return kBroken;
  return 0;
}

struct Words {
  std::string experiment, folder;
  RunOptions options;
  int gateways = 0, workers = 0, keepers = 0, seconds = 0;
  double rate = -1;
  bool noFleet = false;
};

int run(const Words& words) {
  Experiment experiment = readExperiment(words.experiment);
  if (words.gateways) experiment.gateways = words.gateways;
  if (words.workers) experiment.workers = words.workers;
  if (words.keepers) experiment.keepers = words.keepers;
  if (words.seconds) experiment.seconds = words.seconds;
  if (words.rate >= 0) experiment.rate = words.rate;
  if (words.noFleet) experiment.fleet = false;
  RunOptions options = words.options;
  options.folder = words.folder;
  boost::asio::io_context io(1);
  {
    Run run(io, planned(experiment, options.seed), options);
    run.play();
  }
  return judged(options.folder, true);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "cairnjunction-lab: experiments on a fleet of real processes on loopback (docs/operators/lab.md)"};
  app.footer(
      "Exit codes: 0 all promises held; 1 one was broken; 2 could not run, or the ledgers can't be read.");
  app.require_subcommand(1);
  Words words;
  words.options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  CLI::App* running = app.add_subcommand("run", "play an experiment and judge it");
  running->add_option("EXPERIMENT", words.experiment, "its file, as those in experiments/")->required();
  running
      ->add_option("--seed", words.options.seed,
                   "of load and random faults; the same seed gives the same plan")
      ->capture_default_str();
  running->add_option("--report", words.folder, "an empty folder for ledgers, result.json and the report")
      ->required();
  running->add_option("--gateways", words.gateways, "in place of the file's");
  running->add_option("--workers", words.workers, "in place of the file's");
  running->add_option("--keepers", words.keepers, "in place of the file's")->check(CLI::IsMember({1, 3, 5}));
  running->add_option("--seconds", words.seconds, "in place of the file's");
  running->add_option("--rate", words.rate, "calls a second, in place of the file's");
  running->add_flag("--no-fleet", words.noFleet, "each gateway by itself, to compare with");
  running->add_option("--programs", words.options.programs, "folder of the other programs")
      ->capture_default_str();
  running
      ->add_option("--late-ms", words.options.lateMs,
                   "beyond a client's time, before an answer counts as none")
      ->check(CLI::Range(100, 60'000))
      ->capture_default_str();
  running->add_option("--port-base", words.options.portBase, "first port to try")->capture_default_str();
  CLI::App* checking = app.add_subcommand("check-ledgers", "judge the ledgers of a run again");
  checking->add_option("DIR", words.folder, "the run's folder")->required();
  try {
    app.parse(argc, argv);
    return *running ? run(words) : judged(words.folder, false);
  } catch (const CLI::ParseError& end) {
    return app.exit(end) == 0 ? 0 : kCouldNotRun;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction-lab: " << bad.what() << '\n';
    return kCouldNotRun;
  }
}
