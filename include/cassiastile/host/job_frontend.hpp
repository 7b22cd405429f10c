#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::host {

// The texts of the callers' interface that the platform lays down.
struct JobFrontendFormat {
  std::string key_header;
  std::string timeout_header;
  std::function<std::string(jobs::JobPhase)> encode_state;
  std::function<std::string(std::size_t)> encode_count;
};

// Takes callers' requests on jobs: finds the queue, checks the key and asks the
// host in office.
class JobFrontend {
 public:
  // Asks the host in office; answers kNotLeader when none can be asked.
  using Ask = std::function<void(JobRequest,
                                 std::chrono::milliseconds timeout,
                                 std::function<void(JobAnswer)>)>;

  // Who is in office as this host believes, and how old that is.
  struct LeaderView {
    std::string holder;
    std::uint64_t fence = 0;
    std::chrono::milliseconds heard_ago{0};
  };

  JobFrontend(JobFrontendFormat format,
              Loop& loop,
              EventLog& log,
              Ask ask,
              std::function<LeaderView()> belief);

  void ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config);
  void Handle(const wire::HttpRequest& request,
              const wire::HttpResponder& respond);
  std::size_t InFlight() const { return m_in_flight; }

 private:
  void Forward(JobRequest request,
               std::chrono::milliseconds timeout,
               const wire::HttpResponder& respond);
  // Notes a request that the office gave no word on.
  void LogWithoutOffice(std::string_view event,
                        JobVerb verb,
                        const std::string& job,
                        std::chrono::milliseconds waited);

  JobFrontendFormat m_format;
  Loop& m_loop;
  EventLog& m_log;
  Ask m_ask;
  std::function<LeaderView()> m_belief;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  std::size_t m_in_flight = 0;
};

}  // namespace cassiastile::host
