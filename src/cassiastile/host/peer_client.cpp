#include "cassiastile/host/peer_client.hpp"

#include <utility>

namespace cassiastile::host {

namespace {

constexpr char kGossipPath[] = "/peer/v1/greeting";
constexpr char kJobPath[] = "/peer/v1/job";
constexpr char kRelayPath[] = "/peer/v1/relay";
constexpr char kRelayResultsPath[] = "/peer/v1/relay-results";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr std::chrono::milliseconds kGossipTimeout{600};
constexpr std::chrono::milliseconds kRelayTimeout{1000};
constexpr std::chrono::milliseconds kConnectTimeout{300};

wire::HttpCall MakeCall(const std::string& endpoint,
                        const char* path,
                        std::string body,
                        std::chrono::milliseconds timeout) {
  wire::HttpCall call;
  call.method = "POST";
  call.url = "http://" + endpoint + path;
  call.headers.emplace_back("Content-Type", "application/octet-stream");
  call.body = std::move(body);
  call.timeout = timeout;
  call.connect_timeout = kConnectTimeout;
  return call;
}

// Returns the completion of an HTTP call: it decodes the answer and calls
// `done`.
template <typename Value, typename Decoder>
auto Complete(PeerPort::Done<Value> done, Decoder decode) {
  return [done = std::move(done), decode](wire::HttpOutcome outcome) {
    if (!outcome) {
      const bool not_sent = outcome.error().state == wire::SendState::kNotSent;
      done(tl::unexpected(
          PeerPort::Failure{.refused = not_sent && !outcome.error().timed_out,
                            .not_sent = not_sent}));
      return;
    }
    auto value = decode(outcome->body);
    if (outcome->status != kOk || !value) {
      done(tl::unexpected(PeerPort::Failure{}));
      return;
    }
    done(std::move(*value));
  };
}

wire::HttpResponse Answer(int status, std::string body) {
  wire::HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/octet-stream");
  response.body = std::move(body);
  return response;
}

}  // namespace

void PeerClient::Gossip(const std::string& endpoint,
                        const GossipMessage& gossip,
                        Done<GossipMessage> done) {
  auto call = MakeCall(endpoint, kGossipPath, Encode(gossip), kGossipTimeout);
  call.repeatable = true;
  m_client.Start(std::move(call),
                 Complete(std::move(done), DecodeGossipMessage));
}

void PeerClient::ForwardJob(const std::string& endpoint,
                            const JobRequest& request,
                            std::chrono::milliseconds timeout,
                            Done<JobAnswer> done) {
  auto call = MakeCall(endpoint, kJobPath, Encode(request), timeout);
  // The refusal of a second copy says nothing about the first.
  call.repeatable = request.verb != JobVerb::kSubmit;
  m_client.Start(std::move(call), Complete(std::move(done), DecodeJobAnswer));
}

void PeerClient::SendRelayBatch(const std::string& endpoint,
                                const RelayBatch& batch,
                                Done<RelayReply> done) {
  m_client.Start(MakeCall(endpoint, kRelayPath, Encode(batch), kRelayTimeout),
                 Complete(std::move(done), DecodeRelayReply));
}

void PeerClient::SendRelayResults(const std::string& endpoint,
                                  const RelayResults& results) {
  m_client.Start(
      MakeCall(endpoint, kRelayResultsPath, Encode(results), kRelayTimeout),
      [](const wire::HttpOutcome&) {});
}

void ServePeer(HostNode& node,
               const wire::HttpRequest& request,
               const wire::HttpResponder& respond) {
  if (request.path == kGossipPath) {
    const auto gossip = DecodeGossipMessage(request.body);
    respond(gossip ? Answer(kOk, Encode(node.HandleGossip(*gossip)))
                   : Answer(kBadRequest, gossip.error().message));
  } else if (request.path == kJobPath) {
    const auto job = DecodeJobRequest(request.body);
    if (!job) {
      respond(Answer(kBadRequest, job.error().message));
      return;
    }
    node.HandleJobRequest(*job, [respond](const JobAnswer& answer) {
      respond(Answer(kOk, Encode(answer)));
    });
  } else if (request.path == kRelayPath) {
    const auto batch = DecodeRelayBatch(request.body);
    respond(batch ? Answer(kOk, Encode(node.HandleRelayBatch(*batch)))
                  : Answer(kBadRequest, batch.error().message));
  } else if (request.path == kRelayResultsPath) {
    auto results = DecodeRelayResults(request.body);
    respond(results ? Answer(kOk, "")
                    : Answer(kBadRequest, results.error().message));
    if (results) {
      node.HandleRelayResults(std::move(*results));
    }
  } else {
    respond(Answer(kNotFound, "unknown path"));
  }
}

}  // namespace cassiastile::host
