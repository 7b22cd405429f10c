#include "cassiastile/soak/soak.hpp"

#include <algorithm>
#include <fstream>

#include "callers.hpp"
#include "fleet.hpp"

namespace cassiastile::soak {

namespace {

using std::chrono::milliseconds;

// The first host takes the office and reads the workers.
constexpr milliseconds kWarmUp{1500};
constexpr milliseconds kCheck{100};
// The grace of the settings, and a moment to be reaped.
constexpr milliseconds kEndWithin{7000};

FaultPlan PlanOf(const SoakOptions& options) {
  return options.faults.empty() ? MakePlan(options.seed, options.plan)
                                : options.faults;
}

// One run, from the first process to the last.
class Run {
 public:
  explicit Run(const SoakOptions& options)
      : m_options(options),
        m_plan(PlanOf(options)),
        m_loop(m_context, m_clock) {}

  base::Result<SoakResult> Play() {
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
    m_callers->Count(result);
    result.starts = m_fleet->Starts();
    result.violations = m_fleet->Checker().Violations();
    return result;
  }

 private:
  void Begin() {
    m_callers->Begin();
    for (const Fault& fault : m_plan) {
      m_loop.After(fault.at, [this, fault] { m_fleet->Apply(fault); });
    }
    m_loop.After(m_options.plan.length, [this] {
      m_callers->BeginStop();
      m_fleet->Heal();
      m_settle_by = m_clock.Now() + m_options.settle;
      Settle();
    });
  }

  void Settle() {
    if (!m_callers->IsSettled() && m_clock.Now() < m_settle_by) {
      m_loop.After(kCheck, [this] { Settle(); });
      return;
    }
    m_callers->Judge();
    m_fleet->Stop();
    m_end_by = m_clock.Now() + kEndWithin;
    AwaitEnd();
  }

  void AwaitEnd() {
    const bool late = m_clock.Now() > m_end_by;
    if (!m_fleet->HasEnded() && !late) {
      m_loop.After(kCheck, [this] { AwaitEnd(); });
      return;
    }
    if (late) {
      m_fleet->Checker().Violate("a host did not end in its grace period");
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
  base::TimePoint m_settle_by{};
  base::TimePoint m_end_by{};
};

}  // namespace

base::Result<SoakResult> RunSoak(const SoakOptions& options) {
  return Run(options).Play();
}

base::Result<FaultPlan> ShrinkPlan(SoakOptions options, int tries) {
  FaultPlan plan = PlanOf(options);
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
                      "the plan did not fail when it was played again");
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
