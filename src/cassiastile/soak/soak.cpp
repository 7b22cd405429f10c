#include "cassiastile/soak/soak.hpp"

#include <algorithm>
#include <fstream>

#include "callers.hpp"
#include "fleet.hpp"

namespace cassiastile::soak {

namespace {

using std::chrono::milliseconds;

// The first host becomes the leader and reads the workers in this time.
constexpr milliseconds kWarmUp{1500};
constexpr milliseconds kCheckInterval{100};
// The hosts' stop_grace_s, 6 s, plus a second for the exit to be noticed.
constexpr milliseconds kExitTimeout{7000};

FaultPlan ChoosePlan(const SoakOptions& options) {
  return options.faults.empty() ? MakePlan(options.seed, options.plan)
                                : options.faults;
}

// One soak run, from the start of the processes to their exit.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : m_options(options),
        m_plan(ChoosePlan(options)),
        m_loop(m_context, m_clock) {}

  base::Result<SoakResult> Execute() {
    std::ofstream(m_options.folder + "/plan.jsonl") << EncodePlan(m_plan);
    auto fleet = Fleet::Start(m_context, m_loop, m_options);
    if (!fleet) {
      return tl::unexpected(fleet.error());
    }
    m_fleet = std::move(*fleet);
    m_callers =
        std::make_unique<Callers>(m_context, m_loop, *m_fleet, m_options);
    m_loop.After(kWarmUp, [this] { Begin(); });
    m_context.run();
    SoakResult result;
    result.seed = m_options.seed;
    result.faults = m_plan.size();
    m_callers->AddCounts(result);
    result.process_starts = m_fleet->ProcessStarts();
    result.violations = m_fleet->Checker().Violations();
    return result;
  }

 private:
  void Begin() {
    m_callers->Begin();
    CheckCancelled();
    for (const Fault& fault : m_plan) {
      m_loop.After(fault.at, [this, fault] { Apply(fault); });
    }
    m_loop.After(m_options.plan.duration / 2,
                 [this] { m_callers->CancelSome(); });
    m_loop.After(m_options.plan.duration, [this] {
      m_callers->StopSubmitting();
      m_fleet->ClearFaults();
      m_settle_deadline = m_clock.Now() + m_options.settle_timeout;
      AwaitSettled();
    });
  }

  void Apply(const Fault& fault) {
    if (fault.place == Place::kCallers) {
      m_callers->SubmitBurst(fault.active_for);
    } else {
      m_fleet->Apply(fault);
    }
  }

  void CheckCancelled() {
    m_callers->CheckCancelled();
    m_callers->CheckStartsAfterDone();
    m_loop.After(kCheckInterval, [this] { CheckCancelled(); });
  }

  void AwaitSettled() {
    if (!m_callers->IsSettled() && m_clock.Now() < m_settle_deadline) {
      m_loop.After(kCheckInterval, [this] { AwaitSettled(); });
      return;
    }
    m_callers->CheckOutcomes();
    m_fleet->Stop();
    m_exit_deadline = m_clock.Now() + kExitTimeout;
    AwaitExit();
  }

  void AwaitExit() {
    const bool late = m_clock.Now() > m_exit_deadline;
    if (!m_fleet->HasEnded() && !late) {
      m_loop.After(kCheckInterval, [this] { AwaitExit(); });
      return;
    }
    if (late) {
      m_fleet->Checker().AddViolation("a host did not end in its grace period");
    }
    m_context.stop();
  }

  const SoakOptions& m_options;
  FaultPlan m_plan;
  base::SystemClock m_clock;
  asio::io_context m_context{1};
  host::AsioLoop m_loop;
  std::unique_ptr<Fleet> m_fleet;
  std::unique_ptr<Callers> m_callers;
  base::TimePoint m_settle_deadline{};
  base::TimePoint m_exit_deadline{};
};

}  // namespace

base::Result<SoakResult> RunSoak(const SoakOptions& options) {
  return SoakRun(options).Execute();
}

base::Result<FaultPlan> ShrinkPlan(SoakOptions options, int tries) {
  FaultPlan plan = ChoosePlan(options);
  const auto fails = [&options, tries](const FaultPlan& candidate) {
    options.faults = candidate;
    for (int i = 0; i < tries; ++i) {
      const auto result = RunSoak(options);
      if (!result || !result->violations.empty()) {
        return true;
      }
    }
    return false;
  };
  if (!fails(plan)) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "the plan did not fail when it was run again");
  }
  for (std::size_t size = plan.size() / 2; size > 0; size /= 2) {
    for (std::size_t from = 0; from + size <= plan.size() && plan.size() > 1;) {
      FaultPlan candidate = plan;
      const auto begin = candidate.begin() + static_cast<std::ptrdiff_t>(from);
      candidate.erase(begin, begin + static_cast<std::ptrdiff_t>(size));
      if (!candidate.empty() && fails(candidate)) {
        plan = std::move(candidate);
      } else {
        from += size;
      }
    }
  }
  return plan;
}

}  // namespace cassiastile::soak
