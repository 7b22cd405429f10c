#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/jobs/arrival_meter.hpp"
#include "cassiastile/jobs/job_spec.hpp"

namespace cassiastile::jobs {

// The work of `tasks` tasks of a step that take `each` on average.
Work WorkOf(const StepSpec& step, std::chrono::milliseconds each, double tasks);

// Predicts task durations for each queue from observed ones. Callers' estimates
// are accurate on some queues and far off on others; the model learns how much
// weight to give them.
class DurationModel {
 public:
  // Adds a finished task with its estimated and its actual duration.
  void Observe(const std::string& queue,
               std::chrono::milliseconds estimate,
               std::chrono::milliseconds taken);

  // The expected duration of one task; `estimate` is zero if the caller gave
  // none. Without observations on the queue, it is the estimate, or 1 s if
  // there is none.
  std::chrono::milliseconds Expect(const std::string& queue,
                                   std::chrono::milliseconds estimate) const;
  // A duration that nine of ten tasks do not exceed; twice the expected one
  // without observations on the queue.
  std::chrono::milliseconds ExpectAtMost(
      const std::string& queue,
      std::chrono::milliseconds estimate) const;
  // For each step, the expected time from its start to the end of the job. The
  // largest value is the length of the critical path.
  std::vector<std::chrono::milliseconds> ExpectCriticalPaths(
      const std::string& queue,
      const JobSpec& spec) const;
  // Expected work of one occurrence, without long-running and filler steps.
  Work ExpectWork(const std::string& queue, const JobSpec& spec) const;

  // Serializes the model for the next leader.
  std::string Encode() const;
  // Fails with kInvalid when the bytes are not what Encode wrote.
  static base::Result<DurationModel> Decode(const std::string& bytes);
  // Whether durations of this queue have been observed.
  bool HasSamples(const std::string& queue) const {
    return m_entries.contains(queue);
  }
  // Increases with each observation.
  std::uint64_t Revision() const { return m_revision; }

 private:
  struct Entry {
    double mean_ms = 0;
    // Actual over estimated duration, as a geometric mean.
    double ratio = 1;
    // Mean squared logarithm of actual over predicted duration, for predictions
    // by mean_ms and by ratio.
    double mean_error = 1;
    double ratio_error = 1;
    int samples = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(mean_ms, ratio, mean_error, ratio_error, samples);
    }
  };

  std::map<std::string, Entry> m_entries;
  std::uint64_t m_revision = 0;
};

}  // namespace cassiastile::jobs
