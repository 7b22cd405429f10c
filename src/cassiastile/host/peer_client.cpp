#include "cassiastile/host/peer_client.hpp"

#include <utility>

namespace cassiastile::host {

namespace {

constexpr char kGreetPath[] = "/peer/v1/greeting";
constexpr char kAskPath[] = "/peer/v1/job";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr std::chrono::milliseconds kGreetTimeout{600};
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

void PeerClient::Greet(const std::string& endpoint,
                       const GossipMessage& greeting,
                       Done<GossipMessage> done) {
  m_client.Start(
      MakeCall(endpoint, kGreetPath, Encode(greeting), kGreetTimeout),
      Complete(std::move(done), DecodeGossipMessage));
}

void PeerClient::Ask(const std::string& endpoint,
                     const JobRequest& request,
                     std::chrono::milliseconds timeout,
                     Done<JobAnswer> done) {
  m_client.Start(MakeCall(endpoint, kAskPath, Encode(request), timeout),
                 Complete(std::move(done), DecodeJobAnswer));
}

void ServePeer(HostNode& node,
               const wire::HttpRequest& request,
               const wire::HttpResponder& respond) {
  if (request.path == kGreetPath) {
    const auto greeting = DecodeGossipMessage(request.body);
    respond(greeting ? Answer(kOk, Encode(node.HandleGossip(*greeting)))
                     : Answer(kBadRequest, greeting.error().message));
  } else if (request.path == kAskPath) {
    const auto job = DecodeJobRequest(request.body);
    if (!job) {
      respond(Answer(kBadRequest, job.error().message));
      return;
    }
    node.Asked(*job, [respond](const JobAnswer& answer) {
      respond(Answer(kOk, Encode(answer)));
    });
  } else {
    respond(Answer(kNotFound, "no such call"));
  }
}

}  // namespace cassiastile::host
