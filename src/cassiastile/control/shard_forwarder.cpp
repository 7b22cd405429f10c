#include "cassiastile/control/shard_forwarder.hpp"

#include <utility>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

constexpr std::chrono::milliseconds kForwardTimeout{5000};
constexpr std::chrono::milliseconds kOwnerRetryAfter{1000};

wire::HttpResponse MakeNoOwnerResponse(const std::string& shard) {
  wire::Problem problem;
  problem.status = 503;
  problem.type = "no-owner";
  problem.title = "No host owns the shard " + shard + " just now.";
  problem.retry_after = kOwnerRetryAfter;
  return wire::MakeProblemResponse(problem);
}

wire::HttpResponse MakeForwardFailureResponse(
    const wire::HttpFailure& failure) {
  const bool not_sent = failure.state == wire::SendState::kNotSent;
  wire::Problem problem;
  problem.status = not_sent ? 503 : 502;
  problem.type = not_sent ? "owner-unreachable" : "owner-answer-lost";
  problem.title = "The shard's owner did not answer: " + failure.message + ".";
  problem.execution =
      not_sent ? wire::Execution::kNotRun : wire::Execution::kUnknown;
  problem.retry_after = kOwnerRetryAfter;
  return wire::MakeProblemResponse(problem);
}

wire::HttpCall MakeForwardCall(const std::string& address,
                               wire::HttpRequest request) {
  wire::HttpCall call;
  call.method = request.method;
  call.url = "http://" + address + request.path;
  call.url += request.query.empty() ? "" : "?" + request.query;
  for (const std::string name : {"Authorization", "Content-Type"}) {
    if (const auto value = wire::FindHeader(request.headers, name)) {
      call.headers.emplace_back(name, *value);
    }
  }
  call.headers.emplace_back(kForwardedHeader, "1");
  call.body = std::move(request.body);
  call.timeout = kForwardTimeout;
  call.fresh_connection = request.method != "GET";
  return call;
}

}  // namespace

ShardForwarder::ShardForwarder(const base::Clock& clock,
                               const member::ShardOwner& shard_owner,
                               wire::HttpClient& client)
    : m_clock(clock), m_shard_owner(shard_owner), m_client(client) {}

void ShardForwarder::HandleOrForward(const std::string& shard,
                                     wire::HttpRequest request,
                                     wire::HttpResponder respond,
                                     const ShardHandler& handler) const {
  if (const auto shard_lease =
          m_shard_owner.CurrentLease(shard, m_clock.Now())) {
    handler(*shard_lease, std::move(request), std::move(respond));
    return;
  }
  const std::string address = m_shard_owner.OwnerAddress(shard);
  const bool forwarded =
      wire::FindHeader(request.headers, kForwardedHeader).has_value();
  if (address.empty() || forwarded) {
    respond(MakeNoOwnerResponse(shard));
    return;
  }
  m_client.Start(MakeForwardCall(address, std::move(request)),
                 [respond](wire::HttpOutcome outcome) {
                   respond(outcome
                               ? std::move(*outcome)
                               : MakeForwardFailureResponse(outcome.error()));
                 });
}

}  // namespace cassiastile::control
