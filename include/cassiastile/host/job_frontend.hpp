#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::host {

// Header names and response bodies of the callers' HTTP interface, which the
// platform defines.
struct JobFrontendFormat {
  std::string key_header;
  std::string timeout_header;
  std::function<std::string(jobs::JobPhase)> encode_state;
  std::function<std::string(std::size_t)> encode_queue_length;
};

// Serves callers' HTTP requests about jobs: finds the queue, checks the API key
// and forwards the request to the leader. Use it on the loop's thread only; it
// must outlive the requests that it has forwarded.
class JobFrontend {
 public:
  // Forwards a request to the leader; answers kNotLeader if no leader is known
  // or it refuses the connection, and kOutcomeUnknown after the timeout.
  using ForwardJob = std::function<void(JobRequest,
                                        std::chrono::milliseconds timeout,
                                        std::function<void(JobAnswer)>)>;

  // The leader as this host knows it, and the age of that information.
  struct LeaderView {
    std::string host;  // Empty if no leader is known.
    std::uint64_t fence = 0;
    std::chrono::milliseconds heard_ago{0};
  };

  // `loop` and `log` must outlive the frontend. `config_age` tells how long ago
  // no newer configuration than the one in force had been written.
  JobFrontend(JobFrontendFormat format,
              Loop& loop,
              EventLog& log,
              ForwardJob forward_job,
              std::function<LeaderView()> leader_view,
              std::function<base::Duration()> config_age);

  // Until the first call every request is answered with 503.
  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  // Serves one request; `respond` runs once, possibly later. A request waits at
  // most 1.5 s for the leader.
  void Serve(const wire::HttpRequest& request,
             const wire::HttpResponder& respond);
  // Number of forwarded requests that are not answered yet.
  std::size_t InFlight() const { return m_waiting.size(); }
  // Answers with 504 what waits for the leader, and from now on each request
  // that would: the process is about to exit.
  void Close();

 private:
  // Answers a request that the configuration in force doesn't allow, unless a
  // newer one may.
  void Deny(int status,
            std::string_view error,
            const wire::HttpResponder& respond);
  void Forward(JobRequest request,
               std::chrono::milliseconds timeout,
               const wire::HttpResponder& respond);
  // Sends the caller what the leader has answered.
  void Respond(JobVerb verb,
               const std::string& job,
               base::TimePoint arrived,
               const JobAnswer& answer,
               const wire::HttpResponder& respond);
  // Logs how a request ended, with the leader as this host knows it.
  void LogRequest(std::string_view event,
                  JobVerb verb,
                  const std::string& job,
                  std::chrono::milliseconds waited);

  JobFrontendFormat m_format;
  Loop& m_loop;
  EventLog& m_log;
  ForwardJob m_forward_job;
  std::function<LeaderView()> m_leader_view;
  std::function<base::Duration()> m_config_age;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  bool m_is_closed = false;
  std::uint64_t m_last_request = 0;
  // Forwarded requests, by number.
  std::map<std::uint64_t, std::function<void(JobAnswer)>> m_waiting;
};

}  // namespace cassiastile::host
