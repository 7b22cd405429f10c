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

// The work of some tasks of a step that take so long each.
Work WorkOf(const StepSpec& step, std::chrono::milliseconds each, double tasks);

// How long tasks of each queue really take. Callers' estimates are far off on
// some queues and good on others; the model learns by how much to trust them.
class DurationModel {
 public:
  void Observe(const std::string& queue,
               std::chrono::milliseconds estimate,
               std::chrono::milliseconds taken);

  // The expected duration of one task.
  std::chrono::milliseconds Expect(const std::string& queue,
                                   std::chrono::milliseconds estimate) const;
  // For each step, the expected time from its begin to the end of the job; the
  // largest is that of the longest chain.
  std::vector<std::chrono::milliseconds> ExpectCriticalPaths(
      const std::string& queue,
      const JobSpec& spec) const;
  // Expected work of one occurrence, long-running steps left out.
  Work ExpectWork(const std::string& queue, const JobSpec& spec) const;

  // What was learnt as bytes, for the next office, and back.
  std::string Encode() const;
  // Fails with kInvalid when the bytes are not what Encode wrote.
  static base::Result<DurationModel> Decode(const std::string& bytes);
  bool HasSamples(const std::string& queue) const {
    return m_entries.contains(queue);
  }
  // Grows with each observation.
  std::uint64_t Revision() const { return m_revision; }

 private:
  struct Entry {
    double mean_ms = 0;
    double ratio = 1;       // Taken over estimated, as a mean of logarithms.
    double mean_error = 1;  // Mean squared error of each way, relative.
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
