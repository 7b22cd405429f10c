#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/objects.hpp"

namespace cassiastile::platform {

struct DecisionLogOptions {
  std::string process;  // Names this process and run, such as "e1-3".
  std::chrono::milliseconds flush_interval{1000};
  std::size_t batch_decisions = 500;
  // Decisions kept until they are stored. Beyond it the oldest are dropped and
  // counted.
  std::size_t max_unstored = 20000;
  // Stored decisions kept in memory to answer from without the store.
  std::size_t max_recent = 2000;
};

struct DecisionLogCounts {
  std::uint64_t recorded = 0;
  std::uint64_t stored = 0;
  std::uint64_t dropped = 0;
};

// Keeps decisions: takes them at once, stores them in batches in the object
// store as decisions/<process>/<first number, 12 digits>, and numbers them, so
// that a gap in the numbers shows what was lost with its host. While the store
// is down they wait in bounded memory. Safe for use by several threads.
class DecisionLog final : public base::DecisionSink {
 public:
  // The store outlives the log.
  static std::unique_ptr<DecisionLog> Create(ObjectStore& objects,
                                             DecisionLogOptions options);
  // Stores what waits, as far as the store takes it.
  ~DecisionLog() override;
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Record(base::Decision decision) override;

  // Stores one batch now. False when nothing waited or the store failed.
  bool Flush();

  // The decision with this id among those in memory.
  std::optional<base::Decision> FindRecent(const std::string& id) const;
  DecisionLogCounts Counts() const;

 private:
  struct Numbered {
    std::uint64_t number = 0;
    base::Decision decision;
  };

  DecisionLog(ObjectStore& objects, DecisionLogOptions options);
  void Run();
  std::vector<Numbered> NextBatch() const;
  void Stored(std::uint64_t last_number);

  ObjectStore& m_objects;
  DecisionLogOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::uint64_t m_next_number = 1;
  std::deque<Numbered> m_waiting;
  std::deque<base::Decision> m_recent;
  DecisionLogCounts m_counts;
  std::mutex m_flushing;
  std::thread m_thread;
};

// Numbers that no stored batch of a process holds, up to the last stored one.
struct DecisionGap {
  std::string process;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

// Looks a decision up among the stored batches of all processes, newest batches
// of each first. kNotFound when none holds it.
base::Result<base::Decision> FindStoredDecision(ObjectStore& objects,
                                                const std::string& id);

// What the stored batches show to be missing.
base::Result<std::vector<DecisionGap>> FindDecisionGaps(ObjectStore& objects);

}  // namespace cassiastile::platform
