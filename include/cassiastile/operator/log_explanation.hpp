#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::operators {

// The log lines of several hosts. A line is a JSON object with at least "event"
// and "at" (UTC).
class LogLines {
 public:
  // Adds the lines of one file, which Files() then lists as `name`. Lines that
  // are truncated or aren't host events are counted as skipped; text before the
  // JSON object, such as a log collector's time stamp, is ignored.
  void Read(std::istream& in, const std::string& name);
  // Sorts the events by time; call it after the last Read(). Lines of equal
  // time keep the order in which they were read.
  void Sort();

  const std::vector<nlohmann::json>& Events() const { return m_events; }
  std::size_t LinesRead() const { return m_read; }
  std::size_t LinesSkipped() const { return m_skipped; }
  const std::vector<std::string>& Files() const { return m_files; }

 private:
  std::vector<nlohmann::json> m_events;
  std::vector<std::string> m_files;
  std::size_t m_read = 0;
  std::size_t m_skipped = 0;
};

// Why a job ended, was refused or is late.
enum class OutcomeCause : std::uint8_t {
  kUnknownId,
  kInTime,
  kInvalid,
  kRefusedOverload,
  kRefusedOverShare,
  kRefusedTooLarge,
  kRefusedStore,
  kNoLeader,
  kUnanswered,
  kCancelled,
  kAttemptsExhausted,
  kLateLeaderChange,
  kLateNoCapacity,
  kLateFailedRuns,
  kLateLostWorker,
  kLateLongRuns,
  kUnfinished,
};

inline constexpr std::array<base::EnumName<OutcomeCause>, 17>
    kOutcomeCauseNames{{
        {OutcomeCause::kUnknownId, "unknown id"},
        {OutcomeCause::kInTime, "done in time"},
        {OutcomeCause::kInvalid, "refused: the specification is invalid"},
        {OutcomeCause::kRefusedOverload, "refused: too much work ahead of it"},
        {OutcomeCause::kRefusedOverShare,
         "refused: its customer sent beyond its share"},
        {OutcomeCause::kRefusedTooLarge, "refused: no worker is large enough"},
        {OutcomeCause::kRefusedStore,
         "refused: the table could not be written"},
        {OutcomeCause::kNoLeader, "refused: no host was in office"},
        {OutcomeCause::kUnanswered,
         "no final answer: the host in office was silent"},
        {OutcomeCause::kCancelled, "cancelled"},
        {OutcomeCause::kAttemptsExhausted,
         "failed: a task used all its attempts"},
        {OutcomeCause::kLateLeaderChange, "late: the office changed hands"},
        {OutcomeCause::kLateNoCapacity, "late: it waited for room"},
        {OutcomeCause::kLateFailedRuns, "late: runs failed or stood still"},
        {OutcomeCause::kLateLostWorker, "late: a worker was lost"},
        {OutcomeCause::kLateLongRuns, "late: its tasks took long"},
        {OutcomeCause::kUnfinished, "accepted; its end is not in the logs"},
    }};

// What the logs say about one id.
struct Explanation {
  OutcomeCause cause = OutcomeCause::kUnknownId;
  // Sentences with the evidence for the cause, with times.
  std::vector<std::string> reasons;
  // The lines that name the id, and lines about other subjects that explain it.
  std::vector<nlohmann::json> lines;
};

// Explains the id of a job, a worker or a machine from sorted lines. Only jobs
// get a cause; for other ids it is kUnknownId and `lines` of the result are
// those that name the id, none if no line does.
Explanation ExplainId(const LogLines& lines, const std::string& id);

// Formats an explanation as plain text: the cause, the reasons and one line per
// event.
std::string FormatExplanation(const Explanation& explanation,
                              const std::string& id);

}  // namespace cassiastile::operators
