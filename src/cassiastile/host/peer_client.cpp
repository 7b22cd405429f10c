#include "cassiastile/host/peer_client.hpp"

#include <utility>

namespace cassiastile::host {

namespace {

constexpr char kGossipPath[] = "/peer/v1/greeting";
constexpr char kJobPath[] = "/peer/v1/job";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr std::chrono::milliseconds kGossipTimeout{600};
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
      const bool refused = outcome.error().state == wire::SendState::kNotSent &&
                           !outcome.error().timed_out;
      done(tl::unexpected(PeerPort::Failure{refused}));
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
  } else {
    respond(Answer(kNotFound, "unknown path"));
  }
}

}  // namespace cassiastile::host
