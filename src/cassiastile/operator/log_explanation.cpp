#include "cassiastile/operator/log_explanation.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace cassiastile::operators {

namespace {

using Json = nlohmann::json;

// Lines about other subjects count as context of a job from this long before
// its first line until this long after its last.
constexpr std::int64_t kContextWindowMs = 2500;

std::string Text(const Json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

double Number(const Json& line, const char* name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_number() ? found->get<double>() : 0;
}

bool IsEvent(const Json& line, std::string_view event) {
  return Text(line, "event") == event;
}

// Whether any text field of the line equals the id.
bool MentionsId(const Json& line, const std::string& id) {
  return std::ranges::any_of(line, [&id](const Json& value) {
    return value.is_string() && value.get_ref<const std::string&>() == id;
  });
}

// Milliseconds since midnight of the line's day; 0 if "at" can't be parsed. The
// date is ignored: a job whose lines cross midnight is not expected.
std::int64_t TimeOf(const Json& line) {
  const std::string at = Text(line, "at");
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int millis = 0;
  const std::size_t day = at.find('T');
  if (day == std::string::npos ||
      std::sscanf(at.c_str() + day, "T%d:%d:%d.%dZ", &hours, &minutes, &seconds,
                  &millis) != 4) {
    return 0;
  }
  return ((hours * 60 + minutes) * 60 + seconds) * 1000LL + millis;
}

constexpr std::array<std::string_view, 10> kLeadershipEvents{
    "office.take", "office.elected", "office.serving", "office.resigned",
    "office.lost", "store.lost",     "store.regained", "host.start",
    "host.stop",   "host.end"};

bool IsLeadershipEvent(const Json& line) {
  return std::ranges::find(kLeadershipEvents, Text(line, "event")) !=
         kLeadershipEvents.end();
}

// Explains one job from the log lines.
class JobExplainer {
 public:
  JobExplainer(const std::vector<Json>& events, const std::string& job)
      : m_events(events), m_job(job) {
    for (const Json& line : events) {
      if (Text(line, "job") == job) {
        m_job_lines.push_back(&line);
      }
    }
  }

  Explanation Explain() {
    if (!m_job_lines.empty()) {
      m_explanation.cause = FindCause();
    }
    AddLines();
    return std::move(m_explanation);
  }

 private:
  const Json* Last(std::string_view event) const {
    const Json* last = nullptr;
    for (const Json* line : m_job_lines) {
      last = IsEvent(*line, event) ? line : last;
    }
    return last;
  }

  const Json* First(std::string_view event) const {
    const auto found = std::ranges::find_if(
        m_job_lines,
        [event](const Json* line) { return IsEvent(*line, event); });
    return found == m_job_lines.end() ? nullptr : *found;
  }

  void AddReason(std::string sentence) {
    m_explanation.reasons.push_back(std::move(sentence));
  }

  OutcomeCause FindCause() {
    if (const Json* end = Last("job.finished")) {
      return CauseOfEnd(*end);
    }
    if (const Json* accepted = First("job.accepted")) {
      return CauseOfUnfinished(*accepted);
    }
    if (const Json* invalid = Last("job.invalid")) {
      AddReason(Text(*invalid, "error"));
      return OutcomeCause::kInvalid;
    }
    // The last answer that the caller got decides.
    for (auto line = m_job_lines.rbegin(); line != m_job_lines.rend(); ++line) {
      if (IsEvent(**line, "job.refused")) {
        return CauseOfRefusal(**line);
      }
      if (IsEvent(**line, "job.withdrawn")) {
        return CauseOfOutage(**line);
      }
      if (IsEvent(**line, "request.no_office")) {
        return ExplainWithoutLeader(**line, OutcomeCause::kNoLeader);
      }
      if (IsEvent(**line, "request.undecided")) {
        return ExplainWithoutLeader(**line, OutcomeCause::kUnanswered);
      }
    }
    return OutcomeCause::kUnfinished;
  }

  OutcomeCause CauseOfUnfinished(const Json& accepted) {
    const Json* start = Last("run.start");
    AddReason(fmt::format("accepted at {} by {}", Text(accepted, "at"),
                          Text(accepted, "host")));
    AddReason(start == nullptr
                  ? "no task was started"
                  : fmt::format("last start at {} on worker {}",
                                Text(*start, "at"), Text(*start, "worker")));
    // A killed host loses its last log lines, so the job may have ended.
    return OutcomeCause::kUnfinished;
  }

  OutcomeCause CauseOfOutage(const Json& line) {
    AddReason(fmt::format("commits had failed for {:.0f} ms",
                          Number(line, "commits_fail_for_ms")));
    return OutcomeCause::kRefusedStore;
  }

  OutcomeCause CauseOfRefusal(const Json& line) {
    const std::string reason = Text(line, "reason");
    if (reason == "store away") {
      return CauseOfOutage(line);
    }
    if (reason == "too large") {
      return OutcomeCause::kRefusedTooLarge;
    }
    if (reason == "leader busy") {
      AddReason(fmt::format(
          "the leader's commits were full, and jobs waited {:.0f} ms for one",
          Number(line, "commit_wait_ms")));
      return OutcomeCause::kRefusedOverload;
    }
    AddReason(
        fmt::format("the work ahead would have taken {:.0f} ms, and it "
                    "could bear {:.0f} ms, {:.0f} ms after it was first "
                    "handed in; told to come back after {:.0f} ms",
                    Number(line, "wait_ms"), Number(line, "slack_ms"),
                    Number(line, "age_ms"), Number(line, "retry_after_ms")));
    if (const Json* load = LoadBefore(line)) {
      AddReason(fmt::format(
          "pool {} had {:.0f} workers, {:.0f} core-seconds of work waiting "
          "and {:.0f} cores of new work arriving ({} ms before)",
          Text(line, "service"), Number(*load, "workers"),
          Number(*load, "backlog_core_ms") / 1000,
          Number(*load, "arriving_cores"), TimeOf(line) - TimeOf(*load)));
    }
    const auto share = line.find("beyond_share");
    const bool beyond = share != line.end() && *share == Json(true);
    if (beyond) {
      AddReason("customer " + Text(line, "customer") +
                " handed in more jobs a second than its weight");
    }
    return beyond ? OutcomeCause::kRefusedOverShare
                  : OutcomeCause::kRefusedOverload;
  }

  OutcomeCause ExplainWithoutLeader(const Json& line, OutcomeCause cause) {
    AddReason(fmt::format(
        "{} waited {:.0f} ms; it believed {} in office (fence {:.0f}), last "
        "heard of {:.0f} ms before",
        Text(line, "host"), Number(line, "waited_ms"),
        Text(line, "holder").empty() ? "nobody" : Text(line, "holder"),
        Number(line, "fence"), Number(line, "heard_ms_ago")));
    return cause;
  }

  const Json* LoadBefore(const Json& line) const {
    const Json* load = nullptr;
    for (const Json& each : m_events) {
      if (IsEvent(each, "pool.load") && TimeOf(each) <= TimeOf(line) &&
          Text(each, "service") == Text(line, "service") &&
          Text(each, "host") == Text(line, "host")) {
        load = &each;
      }
    }
    return load;
  }

  OutcomeCause CauseOfEnd(const Json& end) {
    const std::string phase = Text(end, "phase");
    if (phase == "cancelled") {
      return OutcomeCause::kCancelled;
    }
    if (phase == "failed") {
      ReportFailedRuns();
      return OutcomeCause::kAttemptsExhausted;
    }
    if (end.value("late", false)) {
      AddReason(fmt::format("done after {:.0f} ms, {:.0f} ms were allowed",
                            Number(end, "age_ms"), Number(end, "allowed_ms")));
      return CauseOfLateness(end);
    }
    return OutcomeCause::kInTime;
  }

  // Returns the cause that took the largest part of the job's time, and adds a
  // reason with the time of each cause.
  OutcomeCause CauseOfLateness(const Json& end) {
    std::map<OutcomeCause, double> spent;
    const Json* accepted = First("job.accepted");
    const double age = Number(end, "age_ms");
    const std::int64_t began = TimeOf(end) - static_cast<std::int64_t>(age);
    spent[OutcomeCause::kLateLeaderChange] =
        TimeWithoutLeader(began, TimeOf(end));
    if (accepted != nullptr) {
      spent[OutcomeCause::kLateNoCapacity] =
          TimeWaitingForCapacity(TimeOf(*accepted));
    }
    const auto [repeated, lost] = TimeOfRepeatedRuns();
    spent[OutcomeCause::kLateFailedRuns] = repeated;
    spent[OutcomeCause::kLateLostWorker] = lost;
    double known = 0;
    for (const auto& [cause, time] : spent) {
      known += time;
    }
    spent[OutcomeCause::kLateLongRuns] = std::max(0.0, age - known);
    OutcomeCause largest = OutcomeCause::kLateLongRuns;
    for (const auto& [cause, time] : spent) {
      if (time > 0) {
        AddReason(fmt::format("{:.0f} ms: {}", time,
                              base::FindName(kOutcomeCauseNames, cause)));
      }
      largest = time > spent[largest] ? cause : largest;
    }
    ReportFailedRuns();
    return largest;
  }

  // Sums, over the job's steps, the milliseconds from the time when the step
  // was ready (the end of the steps before it, or acceptance) to the first
  // start of its last task.
  double TimeWaitingForCapacity(std::int64_t accepted) const {
    struct Step {
      std::int64_t last_start = 0;
      std::int64_t last_end = 0;
    };
    std::map<std::pair<int, int>, Step>
        steps;  // By occurrence and step number.
    for (const Json* line : m_job_lines) {
      const Json task = line->value("task", Json::array());
      if (task.size() != 3) {
        continue;
      }
      Step& step = steps[{task[0].get<int>(), task[1].get<int>()}];
      if (IsEvent(*line, "run.start") && Number(*line, "run") == 1) {
        step.last_start = TimeOf(*line);
      } else if (IsEvent(*line, "run.ended") && Text(*line, "how") == "done") {
        step.last_end = TimeOf(*line);
      }
    }
    double waited = 0;
    std::int64_t ready = accepted;
    for (const auto& [number, step] : steps) {
      waited += static_cast<double>(
          std::max<std::int64_t>(0, step.last_start - ready));
      ready = std::max(ready, step.last_end);
    }
    return waited;
  }

  // The milliseconds from `from` to `to` without a serving leader. A change of
  // the leader counts from one leader timeout before the first attempt to take
  // over, as the former leader may have been silent since then, until the new
  // one serves.
  double TimeWithoutLeader(std::int64_t from, std::int64_t to) const {
    double gap = 0;
    std::optional<std::int64_t> taken;
    for (const Json& line : m_events) {
      const std::int64_t at = TimeOf(line);
      if (IsEvent(line, "office.take") && !taken) {
        taken = at;
      } else if (IsEvent(line, "office.serving")) {
        const std::int64_t since = std::max(from, taken.value_or(at));
        if (at > from && since < to) {
          // kLeaderTimeout of host_node.cpp: a leader that is silent for so
          // long may be replaced.
          constexpr std::int64_t kLeaderTimeoutMs = 1800;
          gap += static_cast<double>(std::min(at, to) -
                                     std::max(from, since - kLeaderTimeoutMs));
        }
        taken.reset();
      }
    }
    return gap;
  }

  // The longest time in milliseconds from the first to the last start of a task
  // that was started more than once: first among the tasks with a run that the
  // logs show to have ended or been stopped, second among the others, whose
  // runs count as lost.
  std::pair<double, double> TimeOfRepeatedRuns() const {
    std::map<std::string, std::vector<const Json*>> starts;
    std::set<std::string> ended;
    for (const Json* line : m_job_lines) {
      const std::string task = line->value("task", Json()).dump();
      if (IsEvent(*line, "run.start")) {
        starts[task].push_back(line);
      } else if (IsEvent(*line, "run.ended") || IsEvent(*line, "run.stop")) {
        ended.insert(task);
      }
    }
    double repeated = 0;
    double lost = 0;
    for (const auto& [task, lines] : starts) {
      const auto time =
          static_cast<double>(TimeOf(*lines.back()) - TimeOf(*lines.front()));
      double& longest = ended.contains(task) ? repeated : lost;
      longest = std::max(longest, time);
    }
    return {repeated, lost};
  }

  void ReportFailedRuns() {
    std::map<std::string, int> failures;
    for (const Json* line : m_job_lines) {
      const bool failed =
          (IsEvent(*line, "run.ended") && Text(*line, "how") != "done") ||
          IsEvent(*line, "run.stop") ||
          (IsEvent(*line, "run.start") && Text(*line, "result") != "running");
      if (failed) {
        const std::string how =
            Text(*line, "how") + Text(*line, "reason") + Text(*line, "result");
        ++failures[fmt::format("{} on worker {}", how, Text(*line, "worker"))];
      }
    }
    for (const auto& [what, times] : failures) {
      AddReason(fmt::format(
          "{} {}", times == 1 ? "once" : fmt::format("{} times", times), what));
    }
  }

  // Adds the job's lines and, around them, those about its workers and, if a
  // request was refused or got no answer, about the leadership.
  void AddLines() {
    std::set<std::string> workers;
    std::set<std::int64_t> unserved_times;
    for (const Json* line : m_job_lines) {
      workers.insert(Text(*line, "worker"));
      if (IsEvent(*line, "request.no_office") ||
          IsEvent(*line, "request.undecided") ||
          IsEvent(*line, "job.withdrawn") || IsEvent(*line, "job.refused")) {
        unserved_times.insert(TimeOf(*line));
      }
    }
    workers.erase("");
    const std::int64_t first =
        m_job_lines.empty() ? 0 : TimeOf(*m_job_lines.front());
    const std::int64_t last =
        m_job_lines.empty() ? 0 : TimeOf(*m_job_lines.back());
    for (const Json& line : m_events) {
      const std::int64_t at = TimeOf(line);
      const bool during =
          at >= first - kContextWindowMs && at <= last + kContextWindowMs;
      const bool own = Text(line, "job") == m_job;
      const bool of_worker = Text(line, "event").starts_with("worker.") &&
                             workers.contains(Text(line, "worker"));
      const bool near_unserved =
          std::ranges::any_of(unserved_times, [at](std::int64_t time) {
            return at >= time - kContextWindowMs &&
                   at <= time + kContextWindowMs;
          });
      if (own || (during && of_worker) ||
          (IsLeadershipEvent(line) &&
           (near_unserved || (during && !unserved_times.empty())))) {
        m_explanation.lines.push_back(line);
      }
    }
  }

  const std::vector<Json>& m_events;
  const std::string& m_job;
  std::vector<const Json*> m_job_lines;
  Explanation m_explanation;
};

}  // namespace

void LogLines::Read(std::istream& in, const std::string& name) {
  m_files.push_back(name);
  for (std::string line; std::getline(in, line);) {
    ++m_read;
    const std::size_t begin = line.find('{');
    Json json = begin == std::string::npos
                    ? Json()
                    : Json::parse(line.substr(begin), nullptr, false);
    if (!json.is_object() || Text(json, "event").empty() ||
        Text(json, "at").empty()) {
      ++m_skipped;
      continue;
    }
    m_events.push_back(std::move(json));
  }
}

void LogLines::Sort() {
  std::ranges::stable_sort(m_events, [](const Json& left, const Json& right) {
    return left["at"].get_ref<const std::string&>() <
           right["at"].get_ref<const std::string&>();
  });
}

Explanation ExplainId(const LogLines& lines, const std::string& id) {
  Explanation explanation = JobExplainer(lines.Events(), id).Explain();
  if (explanation.cause == OutcomeCause::kUnknownId) {
    for (const Json& line : lines.Events()) {
      if (MentionsId(line, id)) {
        explanation.lines.push_back(line);
      }
    }
  }
  return explanation;
}

std::string FormatExplanation(const Explanation& explanation,
                              const std::string& id) {
  std::string text;
  if (explanation.cause == OutcomeCause::kUnknownId) {
    text = fmt::format("{}: no job; lines that name it follow\n", id);
  } else {
    text = fmt::format("{}: {}\n", id,
                       base::FindName(kOutcomeCauseNames, explanation.cause));
  }
  for (const std::string& reason : explanation.reasons) {
    text += fmt::format("  {}\n", reason);
  }
  for (Json line : explanation.lines) {
    std::string fields;
    const std::string head =
        fmt::format("{} {:<20} {:<18}", Text(line, "at"), Text(line, "host"),
                    Text(line, "event"));
    for (const auto& [name, value] : line.items()) {
      const bool in_head = name == "at" || name == "host" || name == "event";
      if (!in_head && value != Json(id)) {
        fields += fmt::format(
            " {}={}", name,
            value.is_string() ? value.get<std::string>() : value.dump());
      }
    }
    text += head + fields + "\n";
  }
  return text;
}

}  // namespace cassiastile::operators
