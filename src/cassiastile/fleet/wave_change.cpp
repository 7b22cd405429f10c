#include "cassiastile/fleet/wave_change.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::fleet {

namespace {

constexpr std::array<base::EnumName<WaveAction>, 4> kWaveActionNames{{
    {WaveAction::kStart, "start"},
    {WaveAction::kPause, "pause"},
    {WaveAction::kResume, "resume"},
    {WaveAction::kAbort, "abort"},
}};

// The states in which an action is allowed, and the state that it leads to.
struct Transition {
  std::vector<WaveState> from;
  WaveState to;
};

Transition TransitionOf(WaveAction action) {
  using enum WaveState;
  switch (action) {
    case WaveAction::kStart:
      return {{kPlanned, kFinished, kAborted}, kRunning};
    case WaveAction::kPause:
      return {{kRunning}, kPaused};
    case WaveAction::kResume:
      return {{kPaused, kHalted}, kRunning};
    case WaveAction::kAbort:
      return {{kRunning, kPaused, kHalted}, kAborted};
  }
  return {{}, kPlanned};
}

Change SetState(const ChangeContext& context,
                Stored<WaveRecord> wave,
                WaveState state,
                std::string detail) {
  wave.record.state = state;
  wave.record.changed_by = context.actor;
  wave.record.since_ms = WallMilliseconds(context.wall);
  Change change;
  change.decision.kind = base::DecisionKind::kChange;
  change.decision.subject = "wave " + wave.record.wave;
  change.decision.outcome = NameOf(state);
  change.decision.at = context.wall;
  change.decision.reasons.push_back(
      {"wave state", "waves", context.document_version, detail});
  wave.record.detail = std::move(detail);
  change.waves.push_back(std::move(wave));
  return change;
}

void BeginRun(WaveRecord& record) {
  ++record.run;
  record.canary.clear();
  record.canaries_done = 0;
  record.failures.clear();
  record.accepted_failures = 0;
}

}  // namespace

std::string_view NameOf(WaveAction action) {
  return base::FindName(kWaveActionNames, action);
}

std::optional<WaveAction> FindWaveAction(std::string_view name) {
  return base::FindValue(kWaveActionNames, name);
}

base::Result<Change> TransitionWave(const ChangeContext& context,
                                    const Stored<WaveRecord>& wave,
                                    WaveAction action) {
  const Transition transition = TransitionOf(action);
  if (std::find(transition.from.begin(), transition.from.end(),
                wave.record.state) == transition.from.end()) {
    return base::Fail(base::ErrorCode::kConflict,
                      "The wave " + wave.record.wave + " is " +
                          std::string(NameOf(wave.record.state)) +
                          "; the action " + std::string(NameOf(action)) +
                          " is not allowed in this state.");
  }
  Stored<WaveRecord> next = wave;
  if (action == WaveAction::kStart) {
    BeginRun(next.record);
  }
  if (action == WaveAction::kResume) {
    next.record.accepted_failures =
        static_cast<std::uint32_t>(next.record.failures.size());
  }
  return SetState(context, std::move(next), transition.to,
                  std::string(NameOf(action)) + " by " + context.actor);
}

Change FinishWave(const ChangeContext& context,
                  const Stored<WaveRecord>& wave,
                  std::string detail) {
  Change change =
      SetState(context, wave, WaveState::kFinished, std::move(detail));
  if (context.fence) {
    change.preconditions.push_back(*context.fence);
  }
  return change;
}

}  // namespace cassiastile::fleet
