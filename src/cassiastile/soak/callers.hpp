#pragma once

#include <map>
#include <memory>
#include <string>

#include "cassiastile/base/random.hpp"
#include "cassiastile/wire/loop_client.hpp"
#include "fleet.hpp"

namespace cassiastile::soak {

// Simulated callers that submit jobs, retry until the outcome is known, poll
// states and cancel jobs, as the platform's callers do. Connections are kept
// open. Must be used on the thread that runs `context`.
class Callers {
 public:
  // The references must outlive the callers.
  Callers(asio::io_context& context,
          host::Loop& loop,
          Fleet& fleet,
          const SoakOptions& options);

  // Submits jobs at random intervals until StopSubmitting.
  void Begin();
  void StopSubmitting() { m_submitting = false; }
  // Whether every job's outcome is known and every accepted one is done, is
  // cancelled with no task running, or is long-running with all tasks running.
  bool IsSettled() const;
  // Reports a violation for each job that is not settled.
  void CheckOutcomes();
  // Cancels a quarter of the accepted jobs that aren't known to be done.
  void CancelSome();
  // Reports a violation, once, for each cancelled job of which a task starts or
  // runs on too long after the cancel was acknowledged, or had waited long
  // enough for that, with no disruption since. To be called every 100 ms or so.
  void CheckCancelled();
  // Adds the numbers of jobs to the result.
  void AddCounts(SoakResult& result) const;

 private:
  // What the callers know of a job.
  enum class KnownState : std::uint8_t {
    kUnknown,  // No conclusive answer yet; submitted again.
    kAccepted,
    kRefused,
    kDone,
    kCancelling,
    kCancelled,
  };
  struct Job {
    std::string id;
    std::size_t queue = 0;
    std::string encoded_spec;
    KnownState known_state = KnownState::kUnknown;
    bool may_have_arrived = false;  // Some attempt may have been accepted.
    bool is_long_running = false;
    bool will_cancel = false;
    int attempts = 0;
    int no_such_job_answers = 0;  // Consecutive.
    base::TimePoint accepted_at{};
    base::TimePoint cancel_sent_at{};
    base::TimePoint cancelled_at{};  // When that was acknowledged.
    bool is_reported = false;        // By CheckCancelled.
  };

  void SubmitJob();
  void Send(const std::string& id);
  void HandleSubmitAnswer(const std::string& id,
                          std::size_t host,
                          const wire::HttpOutcome& outcome);
  void ScheduleFollowUps(const std::string& id);
  void PollState(const std::string& id);
  void BeginCancel(Job& job);
  void Cancel(const std::string& id);
  void CheckCutRequest(std::size_t host,
                       base::TimePoint sent_at,
                       const wire::HttpOutcome& outcome);
  // So many tasks that the fleet holds the long-running jobs of a run.
  std::int64_t WidestLongRunningStep() const;
  jobs::JobSpec MakeSpec(bool is_long_running);
  wire::HttpCall MakeCall(const std::string& method,
                          const Job& job,
                          std::size_t host) const;
  std::size_t PickHost();
  void After(std::chrono::milliseconds delay, std::function<void()> run);

  host::Loop& m_loop;
  Fleet& m_fleet;
  const SoakOptions& m_options;
  base::Random m_random;
  std::unique_ptr<wire::LoopClient> m_client;
  std::map<std::string, Job> m_jobs;
  bool m_submitting = true;
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::soak
