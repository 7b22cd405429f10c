#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "worker_cluster_test.hpp"

namespace cassiastile::standin {
namespace {

using std::chrono::seconds;
using work::TaskState;

constexpr std::uint32_t kLimitA = 5;
constexpr std::uint32_t kLimitB = 3;

// An action of a generated history.
enum class Action : std::uint8_t {
  kSubmit,
  kSubmitNonIdempotent,
  kCancel,
  kRun,
  kRunPastTheLease,
  kPause,
  kResume,
  kRestart,
  kFailWorker,
  kHealWorker,
  kLoseAnswers,  // Of the table.
  kDelayWrites,
  kStoreDown,
  kStoreUp,
  kLoseMessages,  // Polls and their answers.
  kTakeOver,
  kPollBoth,
  kPollCurrent,
  kDrain,
  kEndDrains,
  kChangeLimit,
  kCount,
};

// An action with a number from 0 to 11 that selects its worker, task or length.
struct Event {
  Action action = Action::kRun;
  int choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << static_cast<int>(event.action) << ":" << event.choice;
}

rc::Gen<std::vector<Event>> GenEvents() {
  const auto event = rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Action::kCount)),
                    rc::gen::inRange(0, 12)),
      [](const std::pair<int, int>& drawn) {
        return Event{static_cast<Action>(drawn.first), drawn.second};
      });
  return rc::gen::resize(120, rc::gen::container<std::vector<Event>>(event));
}

work::TaskSpec DrawSpec(int number, int choice, bool idempotent) {
  work::TaskSpec spec = MakeSpec(std::to_string(number), 1 + choice * 2);
  spec.team = choice % 2 == 0 ? "a" : "b";
  spec.kind = "k" + std::to_string(choice % 3);
  spec.idempotent = idempotent;
  spec.checkpointable = choice % 4 == 0;
  spec.declared.cores = 1 + choice % 5;
  return spec;
}

// Performs the events of a history on a cluster.
class FaultInjector {
 public:
  explicit FaultInjector(TaskCluster& cluster) : m_cluster(cluster) {}

  void Perform(const Event& event) {
    const auto index = static_cast<std::size_t>(event.choice) % 4;
    Worker& worker = m_cluster.workers->At(index);
    switch (event.action) {
      case Action::kSubmit:
      case Action::kSubmitNonIdempotent:
        return Submit(event);
      case Action::kCancel:
        return Cancel(event.choice);
      case Action::kRun:
        return m_cluster.Run(std::chrono::milliseconds(300 * event.choice));
      case Action::kRunPastTheLease:
        // The lease is 6 s and its margin 2 s; see TaskShardOptions.
        return m_cluster.Run(seconds(9));
      case Action::kPause:
        return worker.SetPaused(true);
      case Action::kResume:
        return worker.SetPaused(false);
      case Action::kRestart:
        return worker.Restart(m_cluster.clock.Now());
      case Action::kFailWorker:
        return worker.SetFailing(true);
      case Action::kHealWorker:
        return worker.SetFailing(false);
      case Action::kLoseAnswers:
        return m_cluster.table.SetFaults({.lose_answer = 0.3});
      case Action::kDelayWrites:
        return m_cluster.table.SetFaults(
            {.fail_before = 0.1, .delay_apply = 0.3});
      case Action::kStoreDown:
        return m_cluster.table.SetFaults({.down = true});
      case Action::kStoreUp:
        return m_cluster.table.SetFaults({});
      case Action::kLoseMessages:
        return m_cluster.workers->SetFaults(
            {.lose_poll = 0.2, .lose_answer = 0.2});
      case Action::kTakeOver:
        return m_cluster.TakeOver(index % 2);
      case Action::kPollBoth:
        m_cluster.split_polls = true;
        return;
      case Action::kPollCurrent:
        m_cluster.split_polls = false;
        return;
      case Action::kDrain:
        m_cluster.draining.insert(worker.Name());
        return m_cluster.ApplyFleet();
      case Action::kEndDrains:
        m_cluster.draining.clear();
        return m_cluster.ApplyFleet();
      case Action::kChangeLimit:
        // Never above kLimitA, so that the check of the peak holds throughout.
        return m_cluster.SetLimit("a", kLimitA - index);
      case Action::kCount:
        return;
    }
  }

  // Ends all faults and runs long enough for every task to end that can.
  void StopFaults() {
    m_cluster.table.SetFaults({});
    m_cluster.workers->SetFaults({});
    m_cluster.TakeOver(m_cluster.current);
    m_cluster.split_polls = false;
    m_cluster.draining.clear();
    m_cluster.SetLimit("a", kLimitA);
    for (std::size_t index = 0; index < m_cluster.workers->Count(); ++index) {
      m_cluster.workers->At(index).SetPaused(false);
      m_cluster.workers->At(index).SetFailing(false);
    }
    m_cluster.Run(seconds(900));
  }

  bool WasCancelled(const std::string& key) const {
    return m_cancelled.contains(key);
  }

 private:
  void Submit(const Event& event) {
    const bool idempotent = event.action == Action::kSubmit;
    m_cluster.Submit(DrawSpec(m_submitted++, event.choice, idempotent));
  }

  void Cancel(int choice) {
    const std::string key = "q/" + std::to_string(choice);
    m_cluster.Send(work::CancelEvent{key});
    m_cancelled.insert(key);
  }

  TaskCluster& m_cluster;
  int m_submitted = 0;
  std::set<std::string> m_cancelled;
};

// Counts the starts of a task without a checkpoint to resume from.
std::size_t CountFreshStarts(const TaskCluster& cluster,
                             const std::string& key) {
  return cluster.CountLog(key, WorkerEvent::kStarted) -
         std::min(cluster.CountLog(key, WorkerEvent::kStarted),
                  cluster.CountLog(key, WorkerEvent::kCheckpointed));
}

// Checks that every acknowledged task is stored and has ended or, if it is not
// idempotent, is in doubt. A non-idempotent task starts at most once, apart
// from resumptions at a checkpoint, and only cancelled tasks end as cancelled.
void CheckEnds(TaskCluster& cluster, const FaultInjector& injector) {
  for (const std::string& key : cluster.acknowledged) {
    const auto task = cluster.Stored(key);
    RC_ASSERT(task.has_value());
    RC_ASSERT(!task->reason.empty());
    const bool ended = task->state == TaskState::kEnded;
    const bool in_doubt =
        task->state == TaskState::kInDoubt && !task->spec.idempotent;
    RC_LOG() << key << " is " << work::NameOf(task->state)
             << ", reason: " << task->reason << "\n";
    RC_ASSERT(ended || in_doubt);
    if (!task->spec.idempotent) {
      RC_ASSERT(CountFreshStarts(cluster, key) <= 1U);
    }
    if (task->outcome == work::TaskOutcome::kCancelled) {
      RC_ASSERT(injector.WasCancelled(key));
    }
  }
}

void CheckHistory(const std::vector<Event>& events) {
  TaskCluster cluster(4, 7);
  cluster.SetLimit("a", kLimitA);
  cluster.SetLimit("b", kLimitB);
  FaultInjector injector(cluster);
  for (const Event& event : events) {
    injector.Perform(event);
    RC_ASSERT(cluster.peak_running["a"] <= kLimitA);
    RC_ASSERT(cluster.peak_running["b"] <= kLimitB);
  }
  injector.StopFaults();
  RC_ASSERT(cluster.peak_running["a"] <= kLimitA);
  RC_ASSERT(cluster.peak_running["b"] <= kLimitB);
  CheckEnds(cluster, injector);
}

// Runs generated histories of submissions, cancellations and faults of workers,
// table, messages and owners, then ends all faults. The seed is fixed, so that
// every run checks the same histories.
TEST(TaskPropertyTest, NoTaskIsLostOrRunTwiceAndNoLimitIsExceeded) {
  rc::detail::TestParams params;
  params.seed = 20261203;
  params.maxSuccess = 300;
  const auto property = [] { CheckHistory(*GenEvents()); };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << message.str();
}

}  // namespace
}  // namespace cassiastile::standin
