// cassia-soak: injects seeded faults into real host processes and checks the
// invariants.
//
// Exit status: 0 if every seed kept the invariants, 1 if one violated them, 2
// for wrong usage or a run that can't be carried out. With --shrink: 0 if a
// failing plan was printed, 1 if the whole plan passed; a run that can't be
// carried out counts as failing.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "cassiastile/soak/soak.hpp"

namespace {

using namespace cassiastile;
namespace po = boost::program_options;

void Print(const soak::SoakResult& result) {
  std::cout << nlohmann::json{{"seed", result.seed},
                              {"faults", result.faults},
                              {"process_starts", result.process_starts},
                              {"jobs", result.jobs},
                              {"accepted", result.accepted},
                              {"refused", result.refused},
                              {"done", result.done},
                              {"violations", result.violations}}
                   .dump()
            << std::endl;
}

// Runs one seed after the other and returns how many violated an invariant,
// whose logs stay in `kept_folder`. Fails if a run can't be carried out.
base::Result<int> RunSeeds(soak::SoakOptions options,
                           std::uint64_t seeds,
                           const std::string& kept_folder) {
  int failed = 0;
  const std::uint64_t first = options.seed;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    options.seed = seed;
    options.folder = kept_folder + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(options.folder);
    const auto result = soak::RunSoak(options);
    if (!result) {
      return tl::unexpected(result.error());
    }
    Print(*result);
    if (result->violations.empty()) {
      std::filesystem::remove_all(options.folder);
    } else {
      ++failed;
    }
  }
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  soak::SoakOptions options;
  std::uint64_t seeds = 1;
  std::int64_t seconds = 10;
  std::int64_t settle_seconds = 20;
  std::string kept_folder;
  std::string plan_file;
  int shrink_tries = 0;
  po::options_description flags("cassia-soak");
  flags.add_options()("help", "shows this text")(
      "host-program",
      po::value(&options.host_program)->default_value("build/bin/cassia-host"),
      "the program to run as each host")(
      "seed", po::value(&options.seed)->default_value(1), "first seed")(
      "seeds", po::value(&seeds)->default_value(1), "how many seeds to play")(
      "seconds", po::value(&seconds)->default_value(seconds),
      "how long faults come")("hosts",
                              po::value(&options.plan.hosts)->default_value(5),
                              "processes of cassia-host")(
      "workers", po::value(&options.plan.workers)->default_value(10),
      "workers that run tasks")(
      "min-relayed-workers",
      po::value(&options.min_relayed_workers)->default_value(100),
      "from how many workers on other hosts relay the leader's calls")(
      "max-reserved-starts",
      po::value(&options.max_reserved_starts)->default_value(4),
      "starts reserved at once in each service")(
      "share-by-weight",
      po::value(&options.share_by_weight)->default_value(true),
      "whether pools are divided by the customers' weights")(
      "avoid-slow-workers",
      po::value(&options.avoid_slow_workers)->default_value(true),
      "whether slow workers get tasks after others")(
      "advised-services",
      po::value(&options.advised_services)->default_value(0),
      "services whose queues have placement advice")(
      "wide-jobs", po::value(&options.wide_jobs)->default_value(false),
      "whether jobs with some thousand tasks are submitted now and then")(
      "restarts", po::value(&options.plan.restarts)->default_value(false),
      "whether workers restart under their ids around changes of the leader")(
      "settle-seconds",
      po::value(&settle_seconds)->default_value(settle_seconds),
      "how long jobs may take to be done after the last fault; 60 suit "
      "--restarts, where tasks take 12 s")(
      "machines-move", po::value(&options.machines_move)->default_value(true),
      "whether machines can be moved to other pools")(
      "jobs-per-second", po::value(&options.jobs_per_second)->default_value(8),
      "hand-ins of the callers")(
      "plan", po::value(&plan_file),
      "plays the faults of a file, one JSON object a line, instead of the "
      "seed's")("shrink", po::value(&shrink_tries)->implicit_value(2),
                "looks for a shorter plan that still fails, and prints it; "
                "each is tried so many times")(
      "keep", po::value(&kept_folder)->default_value("soak-logs"),
      "folder for the logs and plans of seeds that failed");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, flags), values);
    if (values.contains("help")) {
      std::cout << flags;
      return 0;
    }
    po::notify(values);
    options.plan.duration = std::chrono::seconds(seconds);
    options.settle_timeout = std::chrono::seconds(settle_seconds);
    if (!plan_file.empty()) {
      std::ifstream file(plan_file);
      std::ostringstream text;
      text << file.rdbuf();
      auto plan = soak::DecodePlan(text.str());
      if (!file || !plan || plan->empty()) {
        std::cerr << "cassia-soak: " << plan_file << ": "
                  << (plan ? "no faults could be read" : plan.error().message)
                  << "\n";
        return 2;
      }
      options.faults = std::move(*plan);
    }
    if (shrink_tries > 0) {
      options.folder = kept_folder;
      std::filesystem::create_directories(kept_folder);
      const auto plan = soak::ShrinkPlan(options, shrink_tries);
      if (!plan) {
        std::cerr << "cassia-soak: " << plan.error().message << "\n";
        return 1;
      }
      std::cout << soak::EncodePlan(*plan);
      return 0;
    }
    const auto failed = RunSeeds(options, seeds, kept_folder);
    if (!failed) {
      std::cerr << "cassia-soak: " << failed.error().message << "\n";
      return 2;
    }
    return *failed == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "cassia-soak: " << error.what() << "\n" << flags;
    return 2;
  }
}
