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

// Log lines of several hosts, in the order of their times.
class LogLines {
 public:
  // Adds the lines of one file. Lines that no host wrote whole are counted and
  // left out; text before the object, such as a time stamp, is skipped.
  void Read(std::istream& in, const std::string& name);
  // Call once all is read.
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

// Why a job fared as it did.
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

struct Explanation {
  OutcomeCause cause = OutcomeCause::kUnknownId;
  // Sentences that say what the cause rests on, with times.
  std::vector<std::string> reasons;
  // The lines of the id, and those of others that bear on it.
  std::vector<nlohmann::json> lines;
};

// What became of a job, a worker or a machine; only jobs have a cause.
Explanation ExplainId(const LogLines& lines, const std::string& id);

// The story as plain text, a line an event.
std::string FormatExplanation(const Explanation& story, const std::string& id);

}  // namespace cassiastile::operators
