#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cassiastile/base/random.hpp"
#include "cassiastile/wire/loop_client.hpp"
#include "fleet.hpp"

namespace cassiastile::soak {

// Simulated callers that submit jobs, retry until the outcome is known, poll
// states and cancel jobs, as the platform's callers do. Some give up on a
// submission and cancel the job without knowing whether it was accepted; copies
// of submissions arrive seconds later. Connections are kept open. Must be used
// on the thread that runs `context`.
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
  // Submits five jobs at once, each with two tasks of one core that take
  // `task_time`.
  void SubmitBurst(std::chrono::milliseconds task_time);
  // Whether every job's outcome is known and every accepted one is done, is
  // cancelled with no task running, or is long-running with all tasks running.
  bool IsSettled() const;
  // Reports a violation for each job that is not settled.
  void CheckOutcomes();
  // Cancels a quarter of the jobs that aren't known to be done or refused.
  void CancelSome();
  // Reports a violation, once, for each cancelled job of which a task starts or
  // runs on too long after the cancel was acknowledged, or had waited long
  // enough for that; starts count when their sender was in touch, or with no
  // disruption since. To be called every 100 ms or so.
  void CheckCancelled();
  // Reports a violation, once, for each job of which a host in touch starts a
  // task over a second after a caller was told that the job is done.
  void CheckStartsAfterDone();
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
    bool is_refused = false;        // All attempts were.
    bool is_long_running = false;
    bool will_cancel = false;
    bool gives_up = false;  // Cancelled whether or not it was accepted.
    int attempts = 0;
    int open_attempts = 0;        // Sent, and neither answered nor failed yet.
    int no_such_job_answers = 0;  // Consecutive.
    std::chrono::milliseconds submit_timeout{0};
    base::TimePoint accepted_at{};  // Zero if that answer was never received.
    base::TimePoint done_at{};      // When a caller was told so.
    base::TimePoint cancel_sent_at{};
    base::TimePoint cancelled_at{};  // When that was acknowledged.
    bool was_cancel_stored = false;  // That answer was 2xx.
    bool was_done_before_cancel = false;
    bool is_reported = false;  // By CheckCancelled or CheckStartsAfterDone.
    bool is_state_reported = false;
  };
  // Where to send a request: to a host, by one of the two clients.
  struct Target {
    std::size_t host = 0;
    wire::LoopClient* client = nullptr;
  };
  // What is particular about a submission.
  struct SubmitOptions {
    std::optional<std::size_t> host;  // Else any.
    bool gives_up = false;
    bool is_long_running = false;
    bool is_small = false;
    bool is_wide = false;  // Some thousand tasks that need little each.
    std::chrono::milliseconds task_time{0};  // Zero if drawn.
  };

  // Submits a job drawn at random.
  void SubmitAnyJob();
  void SubmitJob(const SubmitOptions& submit_options);
  void Send(const std::string& id, std::optional<std::size_t> to = {});
  void HandleSubmitAnswer(const std::string& id,
                          std::size_t host,
                          const wire::HttpOutcome& outcome);
  void HandleRefusal(Job& job);
  void ScheduleFollowUps(const std::string& id);
  // Sends copies of the submission, and gives up on it, if it is to be so.
  void ScheduleCopies(const std::string& id);
  // Asks for the state every now and then, or once from a given host.
  void PollState(const std::string& id, std::optional<Target> from = {});
  void CheckState(Job& job,
                  std::size_t host,
                  base::TimePoint sent_at,
                  const wire::HttpOutcome& outcome);
  void CheckStateOfAccepted(Job& job,
                            std::size_t host,
                            const wire::HttpOutcome& outcome);
  void CheckStateOfCancelled(Job& job,
                             std::size_t host,
                             const wire::HttpOutcome& outcome);
  void BeginCancel(Job& job, std::optional<Target> at = {});
  void Cancel(const std::string& id, std::optional<Target> at = {});
  void AcknowledgeCancel(Job& job, bool is_stored);
  // Sends requests of all kinds to a host that is about to stand still, which
  // wait there until it goes on.
  void PressPausedHost(std::size_t host, std::chrono::milliseconds time);
  // Asks a host for the states of the newest jobs, and cancels some there.
  void SendNewestTo(const Target& target);
  // Keeps some connections to each host open that no request waits on, so that
  // a paused host finds requests on them at once when it goes on.
  void KeepConnections();
  // Asks hosts and queues in turn how many jobs wait, every now and then.
  void AskQueueLengths();
  void CheckQueueLength(std::size_t queue,
                        std::size_t host,
                        base::TimePoint sent_at,
                        const wire::HttpOutcome& outcome);
  void CheckCutRequest(std::size_t host,
                       base::TimePoint sent_at,
                       const wire::HttpOutcome& outcome);
  // So many tasks that the fleet holds the long-running jobs of a run.
  std::int64_t WidestLongRunningStep() const;
  jobs::JobSpec MakeSpec(const SubmitOptions& submit_options);
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
  // For requests to hosts that are about to go on.
  std::unique_ptr<wire::LoopClient> m_kept_client;
  std::map<std::size_t, base::TimePoint> m_paused_until;  // By host.
  std::map<std::string, Job> m_jobs;
  bool m_submitting = true;
  std::size_t m_queue_lengths = 0;  // Asked for so far.
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::soak
