#include "cassiastile/jobs/wave_plan.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::jobs {

WavePlan PlanWave(const std::vector<WaveMachine>& machines,
                  const WaveLimits& limits,
                  base::TimePoint now) {
  WavePlan plan;
  std::size_t taken = 0;
  std::vector<const WaveMachine*> emptying;
  std::vector<const WaveMachine*> others;
  for (const WaveMachine& machine : machines) {
    if (machine.down) {
      ++taken;
    } else if (!machine.begun && !machine.busy) {
      (machine.cordoned ? emptying : others).push_back(&machine);
    }
  }
  for (const WaveMachine* machine : emptying) {
    const bool emptied = machine->finite_cpu == 0 ||
                         now - machine->cordoned_at > limits.max_drain_time;
    if (emptied && machine->can_drain && taken < limits.max_down) {
      plan.maintain.push_back(machine->name);
      ++taken;
    }
  }
  // Twice the time that the rest takes at full width: some will have to wait
  // for tasks that may not be taken away together.
  const auto rounds = (emptying.size() + others.size()) / limits.max_down + 1;
  const bool hurry = limits.left < 2 * limits.each * rounds;
  std::size_t planned = taken + emptying.size() - plan.maintain.size();
  // Idle ones first: emptying a machine of long-running tasks takes a while.
  std::ranges::stable_sort(others, [](const auto* left, const auto* right) {
    return std::pair(!left->idle, left->finite_cpu) <
           std::pair(!right->idle, right->finite_cpu);
  });
  for (const WaveMachine* machine : others) {
    if (planned >= limits.max_down) {
      break;
    }
    if (hurry || machine->idle || !machine->needed) {
      plan.cordon.push_back(machine->name);
      ++planned;
    }
  }
  return plan;
}

}  // namespace cassiastile::jobs
