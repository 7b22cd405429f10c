#include <cstdio>

#include "cassiastile/fleet/wave_plan.hpp"

// Prints which hosts a maintenance wave drains next, and why it skips the
// others.
int main() {
  namespace config = cassiastile::config;
  namespace fleet = cassiastile::fleet;
  config::Wave wave;
  wave.name = "kernel";
  wave.parallel = 2;
  fleet::WaveRecord record;
  record.wave = wave.name;
  record.state = fleet::WaveState::kRunning;
  record.run = 1;

  fleet::WaveInput input;
  input.wave = &wave;
  input.record = &record;
  input.budget.max_out = 2;
  input.hosts = {
      {{.name = "h1", .zone = "a", .rack = "r1"}, {}, {.running = 3}, true},
      {{.name = "h2", .zone = "a", .rack = "r1"}, {}, {}, true},
      {{.name = "h3", .zone = "b", .rack = "r2"}, {}, {}, true},
      {{.name = "h4", .zone = "a", .rack = "r1"}, {}, {}, true},
  };
  const fleet::WaveStep step = fleet::PlanWaveStep(input);
  for (const std::string& host : step.drain) {
    std::printf("take %s: %s\n", host.c_str(), step.why.c_str());
  }
  for (const fleet::SkippedHost& skipped : step.skipped) {
    std::printf("not %s: %s\n", skipped.host.c_str(), skipped.why.c_str());
  }
  return 0;
}
