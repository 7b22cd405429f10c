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

// Options of a DecisionLog.
struct DecisionLogOptions {
  std::string process;  // Unique per start of a process, such as "e1-3".
  std::chrono::milliseconds flush_interval{1000};
  std::size_t max_batch = 500;  // Decisions that are stored in one object.
  // Limit of decisions that wait to be stored. Beyond it the oldest are dropped
  // and counted.
  std::size_t max_unstored = 20000;
  // Latest decisions kept in memory, so that FindRecent needs no store.
  std::size_t max_recent = 2000;
};

// Numbers of decisions since the log was created.
struct DecisionLogCounts {
  std::uint64_t recorded = 0;
  std::uint64_t stored = 0;
  std::uint64_t dropped = 0;
};

// Records decisions without blocking on the store: a thread writes them in
// batches to the object store, as decisions/<process>/<first number, 12
// digits>. Decisions are numbered, so that a gap in the numbers shows which
// ones were lost with their host. While the store is down they wait in bounded
// memory. Thread-safe.
class DecisionLog final : public base::DecisionSink {
 public:
  // `objects` must outlive the log.
  static std::unique_ptr<DecisionLog> Create(ObjectStore& objects,
                                             DecisionLogOptions options);
  // Stores the waiting decisions, until the store fails.
  ~DecisionLog() override;
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Record(base::Decision decision) override;

  // Stores one batch now. Returns false if none was waiting or the store
  // failed.
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
  void MarkStored(std::uint64_t last_number);

  ObjectStore& m_objects;
  DecisionLogOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::uint64_t m_next_number = 1;
  std::deque<Numbered> m_unstored;
  std::deque<base::Decision> m_recent;
  DecisionLogCounts m_counts;
  std::mutex m_flush_mutex;  // Held while a batch is stored.
  std::thread m_thread;
};

// A range of decision numbers, both ends included, that no stored batch of a
// process holds. Numbers after the last stored one don't count.
struct DecisionGap {
  std::string process;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

// Searches the stored batches of all processes, the newest batch of each
// process first. Fails with kNotFound if none holds the decision, with
// kInternal for an object that is no batch, and with the store's errors.
base::Result<base::Decision> FindStoredDecision(ObjectStore& objects,
                                                const std::string& id);

// Finds the gaps in the numbers of the stored batches of all processes. Fails
// with kInternal for an object that is no batch, and with the store's errors.
base::Result<std::vector<DecisionGap>> FindDecisionGaps(ObjectStore& objects);

}  // namespace cassiastile::platform
