#pragma once

#include <chrono>
#include <map>
#include <string>

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
  // The expected duration of the longest chain of steps.
  std::chrono::milliseconds ExpectChain(const std::string& queue,
                                        const JobSpec& spec) const;
  // Expected work of one occurrence, long-running steps left out.
  Work ExpectWork(const std::string& queue, const JobSpec& spec) const;

 private:
  struct Entry {
    double mean_ms = 0;
    double ratio = 1;       // Taken over estimated, as a mean of logarithms.
    double mean_error = 1;  // Mean squared error of each way, relative.
    double ratio_error = 1;
    int samples = 0;
  };

  std::map<std::string, Entry> m_entries;
};

}  // namespace cassiastile::jobs
