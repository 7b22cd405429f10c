#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "worker_world_test.hpp"

namespace cassiastile::standin {
namespace {

using std::chrono::seconds;
using work::TaskState;

constexpr std::uint32_t kLimitA = 5;
constexpr std::uint32_t kLimitB = 3;

// One thing that happens to the world.
enum class Act : std::uint8_t {
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
  kLoseAnswers,
  kDelayWrites,
  kStoreDown,
  kStoreUp,
  kLoseMessages,
  kTakeOver,
  kAskBoth,
  kAskOne,
  kDrain,
  kReturn,
  kEdit,
  kCount,
};

struct Event {
  Act act = Act::kRun;
  int choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << static_cast<int>(event.act) << ":" << event.choice;
}

rc::Gen<std::vector<Event>> GenEvents() {
  const auto event = rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Act::kCount)),
                    rc::gen::inRange(0, 12)),
      [](const std::pair<int, int>& drawn) {
        return Event{static_cast<Act>(drawn.first), drawn.second};
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

class Chaos {
 public:
  explicit Chaos(TaskWorld& world) : m_world(world) {}

  void Do(const Event& event) {
    const auto index = static_cast<std::size_t>(event.choice) % 4;
    Worker& worker = m_world.workers->At(index);
    switch (event.act) {
      case Act::kSubmit:
      case Act::kSubmitNonIdempotent:
        return Submit(event);
      case Act::kCancel:
        return Cancel(event.choice);
      case Act::kRun:
        return m_world.Run(std::chrono::milliseconds(300 * event.choice));
      case Act::kRunPastTheLease:
        return m_world.Run(seconds(9));
      case Act::kPause:
        return worker.SetPaused(true);
      case Act::kResume:
        return worker.SetPaused(false);
      case Act::kRestart:
        return worker.Restart(m_world.clock.Now());
      case Act::kFailWorker:
        return worker.SetFailing(true);
      case Act::kHealWorker:
        return worker.SetFailing(false);
      case Act::kLoseAnswers:
        return m_world.table.SetFaults({.lose_answer = 0.3});
      case Act::kDelayWrites:
        return m_world.table.SetFaults(
            {.fail_before = 0.1, .delay_apply = 0.3});
      case Act::kStoreDown:
        return m_world.table.SetFaults({.down = true});
      case Act::kStoreUp:
        return m_world.table.SetFaults({});
      case Act::kLoseMessages:
        return m_world.workers->SetFaults(
            {.lose_poll = 0.2, .lose_answer = 0.2});
      case Act::kTakeOver:
        return m_world.TakeOver(index % 2);
      case Act::kAskBoth:
        m_world.both_answer = true;
        return;
      case Act::kAskOne:
        m_world.both_answer = false;
        return;
      case Act::kDrain:
        m_world.draining.insert(worker.Name());
        return m_world.Apply();
      case Act::kReturn:
        m_world.draining.clear();
        return m_world.Apply();
      case Act::kEdit:
        return m_world.SetLimit("a", kLimitA - index);
      case Act::kCount:
        return;
    }
  }

  // Ends all faults and lets what can end come to its end.
  void Heal() {
    m_world.table.SetFaults({});
    m_world.workers->SetFaults({});
    m_world.TakeOver(m_world.current);
    m_world.both_answer = false;
    m_world.draining.clear();
    m_world.SetLimit("a", kLimitA);
    for (std::size_t index = 0; index < m_world.workers->Count(); ++index) {
      m_world.workers->At(index).SetPaused(false);
      m_world.workers->At(index).SetFailing(false);
    }
    m_world.Run(seconds(900));
  }

  bool WasCancelled(const std::string& key) const {
    return m_cancelled.contains(key);
  }

 private:
  void Submit(const Event& event) {
    const bool idempotent = event.act == Act::kSubmit;
    m_world.Submit(DrawSpec(m_submitted++, event.choice, idempotent));
  }

  void Cancel(int choice) {
    const std::string key = "q/" + std::to_string(choice);
    m_world.Send(work::CancelEvent{key});
    m_cancelled.insert(key);
  }

  TaskWorld& m_world;
  int m_submitted = 0;
  std::set<std::string> m_cancelled;
};

// How often the workers began a task without a checkpoint to go on from.
std::size_t Beginnings(const TaskWorld& world, const std::string& key) {
  return world.CountLog(key, WorkerEvent::kStarted) -
         std::min(world.CountLog(key, WorkerEvent::kStarted),
                  world.CountLog(key, WorkerEvent::kCheckpointed));
}

void CheckEnds(TaskWorld& world, const Chaos& chaos) {
  for (const std::string& key : world.acknowledged) {
    const auto task = world.Stored(key);
    RC_ASSERT(task.has_value());
    RC_ASSERT(!task->reason.empty());
    const bool over = task->state == TaskState::kEnded;
    const bool in_doubt =
        task->state == TaskState::kInDoubt && !task->spec.idempotent;
    RC_LOG() << key << " is " << work::NameOf(task->state) << " since "
             << task->reason << "\n";
    RC_ASSERT(over || in_doubt);
    if (!task->spec.idempotent) {
      RC_ASSERT(Beginnings(world, key) <= 1U);
    }
    if (task->outcome == work::TaskOutcome::kCancelled) {
      RC_ASSERT(chaos.WasCancelled(key));
    }
  }
}

void CheckHistory(const std::vector<Event>& events) {
  TaskWorld world(4, 7);
  world.SetLimit("a", kLimitA);
  world.SetLimit("b", kLimitB);
  Chaos chaos(world);
  for (const Event& event : events) {
    chaos.Do(event);
    RC_ASSERT(world.peak_running["a"] <= kLimitA);
    RC_ASSERT(world.peak_running["b"] <= kLimitB);
  }
  chaos.Heal();
  RC_ASSERT(world.peak_running["a"] <= kLimitA);
  RC_ASSERT(world.peak_running["b"] <= kLimitB);
  CheckEnds(world, chaos);
}

TEST(TaskPropertyTest, NothingVanishesNothingRunsTwiceNoLimitIsExceeded) {
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
