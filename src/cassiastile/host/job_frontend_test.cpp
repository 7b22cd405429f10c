#include "cassiastile/host/job_frontend.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

constexpr int kOk = 200;
constexpr int kGatewayTimeout = 504;

// A frontend whose leader answers when the test says so.
class JobFrontendTest : public testing::Test {
 protected:
  JobFrontendTest() {
    auto config = std::make_shared<jobs::FleetConfig>();
    config->version = 1;
    config->queues.push_back({.name = "queue",
                              .host = "host",
                              .path_prefix = "/q/",
                              .service = "service",
                              .open = true,
                              .advice = {}});
    config->BuildIndex();
    m_frontend.ApplyConfig(config);
  }

  // The status of the answer once there is one.
  std::shared_ptr<std::optional<int>> Serve(const std::string& method) {
    wire::HttpRequest request;
    request.method = method;
    request.path = "/q/5c0e7a21d94b36f8";
    request.headers.emplace_back("Host", "host");
    auto status = std::make_shared<std::optional<int>>();
    m_frontend.Serve(request, [status](const wire::HttpResponse& response) {
      EXPECT_FALSE(status->has_value()) << "answered twice";
      *status = response.status;
    });
    return status;
  }

  VirtualLoop m_loop;
  HostMetrics m_metrics;
  EventLog m_log{m_loop.GetClock(), "host-0", m_metrics,
                 [](std::string_view text) { return text.size(); }};
  std::vector<std::function<void(JobAnswer)>> m_leader;
  JobFrontend m_frontend{{},
                         m_loop,
                         m_log,
                         [this](const JobRequest& /*request*/,
                                std::chrono::milliseconds /*timeout*/,
                                std::function<void(JobAnswer)> respond) {
                           m_leader.push_back(std::move(respond));
                         },
                         [] { return JobFrontend::LeaderView{}; },
                         [] { return base::Duration{}; }};
};

// Guards against requests that are cut off because the leader stands still at
// the end of a host's grace.
TEST_F(JobFrontendTest, RequestsThatWaitAreAnsweredBeforeTheExit) {
  const auto submission = Serve("POST");
  const auto cancel = Serve("DELETE");
  EXPECT_EQ(m_frontend.InFlight(), 2U);
  m_frontend.Close();
  EXPECT_EQ(*submission, kGatewayTimeout);
  EXPECT_EQ(*cancel, kGatewayTimeout);
  EXPECT_EQ(m_frontend.InFlight(), 0U);
  EXPECT_EQ(*Serve("POST"), kGatewayTimeout);
  // Nobody is told of the leader's answer any more.
  for (const auto& respond : m_leader) {
    respond({.kind = JobAnswerKind::kOk});
  }
}

TEST_F(JobFrontendTest, AnswerOfTheLeaderReachesItsCaller) {
  const auto first = Serve("POST");
  const auto second = Serve("POST");
  m_leader.at(1)({.kind = JobAnswerKind::kOk});
  EXPECT_FALSE(first->has_value());
  EXPECT_EQ(*second, kOk);
  m_leader.at(0)({.kind = JobAnswerKind::kOutcomeUnknown});
  EXPECT_EQ(*first, kGatewayTimeout);
  EXPECT_EQ(m_frontend.InFlight(), 0U);
}

}  // namespace
}  // namespace cassiastile::host
