#include "cassiastile/jobs/wave_plan.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::jobs {

WavePlan PlanWave(const std::vector<WaveMachine>& machines,
                  const WaveLimits& limits,
                  base::TimePoint now) {
  WavePlan plan;
  std::size_t down_count = 0;
  std::vector<const WaveMachine*> in_doubt;
  std::vector<const WaveMachine*> being_drained;
  std::vector<const WaveMachine*> others;
  for (const WaveMachine& machine : machines) {
    if (machine.down) {
      ++down_count;
      if (machine.may_repeat && machine.can_drain) {
        in_doubt.push_back(&machine);
      }
    } else if (!machine.begun && !machine.cannot_be_ordered) {
      (machine.cordoned ? being_drained : others).push_back(&machine);
    }
  }
  // The first orders for these may come to nothing or be on their way, but the
  // machines have their part of the limit.
  for (const WaveMachine* machine : in_doubt) {
    if (down_count <= limits.max_down) {
      plan.maintain.push_back(machine->name);
    }
  }
  std::size_t draining = being_drained.size();
  for (const WaveMachine* machine : being_drained) {
    const bool drained = machine->finite_cpu == 0 ||
                         now - machine->cordoned_at > limits.max_drain_time;
    if (drained && machine->can_drain && down_count < limits.max_down) {
      plan.maintain.push_back(machine->name);
      ++down_count;
      --draining;
    }
  }
  // Twice the time that the rest takes at full parallelism: some machines will
  // have to wait for tasks that may not be unavailable together.
  const auto rounds =
      (being_drained.size() + others.size()) / limits.max_down + 1;
  const bool short_of_time =
      limits.time_left < 2 * limits.time_per_machine * rounds;
  std::size_t planned = down_count + draining;
  // Idle ones first: draining long-running tasks off a machine takes a while.
  std::ranges::stable_sort(others, [](const auto* left, const auto* right) {
    return std::pair(!left->idle, left->finite_cpu) <
           std::pair(!right->idle, right->finite_cpu);
  });
  for (const WaveMachine* machine : others) {
    if (planned >= limits.max_down) {
      break;
    }
    if (short_of_time || machine->idle || !machine->needed) {
      plan.cordon.push_back(machine->name);
      ++planned;
    }
  }
  return plan;
}

}  // namespace cassiastile::jobs
