#include "cassiastile/control/decision_service.hpp"

#include <gtest/gtest.h>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/platform/memory_platform.hpp"

namespace cassiastile::control {
namespace {

// A fixed document that is fresh until a test clears `fresh`.
class FixedFleetSource final : public config::FleetSource {
 public:
  FixedFleetSource() {
    auto accepted = std::make_shared<config::AcceptedFleet>();
    accepted->version = 1;
    accepted->fleet.operators.push_back({"ann", base::Sha256Hex("ann-1")});
    accepted->fleet.keys.push_back({"k1", "brno", base::Sha256Hex("brno-1")});
    accepted->fleet.keys.push_back({"k2", "zlin", base::Sha256Hex("zlin-1")});
    m_accepted = accepted;
  }

  std::shared_ptr<const config::AcceptedFleet> Current() const override {
    return m_accepted;
  }
  bool IsFresh(base::TimePoint) const override { return fresh; }

  bool fresh = true;

 private:
  std::shared_ptr<const config::AcceptedFleet> m_accepted;
};

class DecisionServiceTest : public testing::Test {
 protected:
  DecisionServiceTest() {
    platform::DecisionLogOptions options;
    options.process = "c1-1";
    // This log stores nothing during a test, so d1 is found in memory only.
    options.flush_interval = std::chrono::hours(1);
    m_log = platform::DecisionLog::Create(m_objects, options);
    m_service =
        std::make_unique<DecisionService>(m_clock, m_source, *m_log, m_objects);
    m_service->Register(m_router);
    base::Decision decision;
    decision.id = "d1";
    decision.team = "brno";
    m_log->Record(decision);
  }

  // Requests a decision, without a key if `secret` is empty, and returns the
  // HTTP status.
  int GetDecisionStatus(const std::string& id, const std::string& secret) {
    wire::HttpRequest request;
    request.method = "GET";
    request.path = "/v1/decisions/" + id;
    if (!secret.empty()) {
      request.headers.emplace_back("Authorization", "Bearer " + secret);
    }
    int status = 0;
    m_router.RouteRequest(request,
                          [&status](const wire::HttpResponse& response) {
                            status = response.status;
                          });
    return status;
  }

  base::ManualClock m_clock;
  FixedFleetSource m_source;
  platform::MemoryObjectStore m_objects;
  std::unique_ptr<platform::DecisionLog> m_log;
  std::unique_ptr<DecisionService> m_service;
  wire::Router m_router;
};

TEST_F(DecisionServiceTest, ShowsADecisionToOperatorsAndItsTeamOnly) {
  EXPECT_EQ(GetDecisionStatus("d1", "ann-1"), 200);
  EXPECT_EQ(GetDecisionStatus("d1", "brno-1"), 200);
  EXPECT_EQ(GetDecisionStatus("d1", "zlin-1"), 403);
  EXPECT_EQ(GetDecisionStatus("d1", "nobody"), 403);
  // A missing key is denied like an unknown one.
  EXPECT_EQ(GetDecisionStatus("d1", ""), 403);
  EXPECT_EQ(GetDecisionStatus("d2", "ann-1"), 404);
}

TEST_F(DecisionServiceTest, RejectsAllKeysWhileConfigurationIsStale) {
  m_source.fresh = false;
  EXPECT_EQ(GetDecisionStatus("d1", "brno-1"), 503);
  EXPECT_EQ(GetDecisionStatus("d1", "ann-1"), 503);
}

TEST_F(DecisionServiceTest, FindsDecisionsStoredByAnotherProcess) {
  platform::DecisionLogOptions options;
  options.process = "e1-1";
  auto other = platform::DecisionLog::Create(m_objects, options);
  base::Decision decision;
  decision.id = "d9";
  other->Record(decision);
  other.reset();  // The destructor stores the waiting decision.
  EXPECT_EQ(GetDecisionStatus("d9", "ann-1"), 200);
}

}  // namespace
}  // namespace cassiastile::control
