#include "cassiastile/platform/http_platform.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "cassiastile/platform/platform_json.hpp"

namespace cassiastile::platform {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

// Whether a call may write. The lost answer of a read is no worse than a failed
// connection, since nothing was to be written.
enum class CallEffect : std::uint8_t { kReads, kWrites };

base::ErrorCode CodeOfFailure(const wire::HttpFailure& failure,
                              CallEffect effect) {
  const bool lost = failure.state == wire::SendState::kMaybeSent;
  return lost && effect == CallEffect::kWrites ? base::ErrorCode::kUnknown
                                               : base::ErrorCode::kUnavailable;
}

base::Result<wire::HttpResponse> CheckStatus(wire::HttpResponse response,
                                             CallEffect effect) {
  switch (response.status) {
    case kOk:
    case kNoContent:
      return response;
    case kNotFound:
      return base::Fail(base::ErrorCode::kNotFound,
                        "The platform has no object or machine of this name.");
    case kConflict:
      return base::Fail(
          base::ErrorCode::kConflict,
          "A precondition of the call does not hold at the platform.");
    case kServiceUnavailable:
      return base::Fail(base::ErrorCode::kUnavailable,
                        "The platform's service is unavailable.");
    default:
      return base::Fail(effect == CallEffect::kWrites
                            ? base::ErrorCode::kUnknown
                            : base::ErrorCode::kUnavailable,
                        "The platform's service answered with HTTP status " +
                            std::to_string(response.status) + ".");
  }
}

// The HTTP library may resend a call by itself when a kept-alive connection
// turns out to be closed. All of these calls are idempotent: a transaction by
// its nonce, a reboot by the boot count.
base::Result<wire::HttpResponse> CallPlatform(
    const HttpPlatformOptions& options,
    CallEffect effect,
    const std::string& method,
    const std::string& path,
    std::string body = {}) {
  wire::HttpCall call;
  call.method = method;
  call.url = "http://" + options.address + path;
  call.body = std::move(body);
  call.timeout = options.timeout;
  call.connect_timeout = options.timeout;
  if (!call.body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  wire::HttpOutcome outcome = options.client->Call(std::move(call));
  if (!outcome) {
    return base::Fail(CodeOfFailure(outcome.error(), effect),
                      "The platform's service did not answer: " +
                          outcome.error().message + ".");
  }
  return CheckStatus(std::move(*outcome), effect);
}

// Decodes a JSON answer. An answer that can't be decoded counts as a lost one.
template <typename Value, typename Read>
base::Result<Value> ReadAnswer(const base::Result<wire::HttpResponse>& answer,
                               CallEffect effect,
                               const Read& read) {
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  try {
    return Value(read(json::parse(answer->body)));
  } catch (const json::exception& error) {
    return base::Fail(
        effect == CallEffect::kWrites ? base::ErrorCode::kUnknown
                                      : base::ErrorCode::kUnavailable,
        std::string("The platform's answer can't be decoded: ") + error.what());
  }
}

base::Result<void> CheckAnswered(
    const base::Result<wire::HttpResponse>& answer) {
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return {};
}

bool IsNotFound(const base::Result<wire::HttpResponse>& answer) {
  return !answer && answer.error().code == base::ErrorCode::kNotFound;
}

}  // namespace

HttpTable::HttpTable(HttpPlatformOptions options)
    : m_options(std::move(options)) {}

base::Result<std::optional<Row>> HttpTable::Get(const std::string& key) {
  const auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET",
                   "/v1/table/row?key=" + wire::EncodePercent(key));
  if (IsNotFound(answer)) {
    return std::optional<Row>();
  }
  return ReadAnswer<std::optional<Row>>(
      answer, CallEffect::kReads,
      [](const json& body) { return body.get<Row>(); });
}

base::Result<std::vector<Row>> HttpTable::Scan(const std::string& prefix,
                                               const std::string& after,
                                               std::size_t limit) {
  const auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET",
                   "/v1/table/rows?prefix=" + wire::EncodePercent(prefix) +
                       "&after=" + wire::EncodePercent(after) +
                       "&limit=" + std::to_string(limit));
  return ReadAnswer<std::vector<Row>>(
      answer, CallEffect::kReads,
      [](const json& body) { return body.at("rows").get<std::vector<Row>>(); });
}

base::Result<Commit> HttpTable::Apply(const Transaction& transaction) {
  const auto answer =
      CallPlatform(m_options, CallEffect::kWrites, "POST",
                   "/v1/table/transactions", json(transaction).dump());
  return ReadAnswer<Commit>(answer, CallEffect::kWrites, [](const json& body) {
    return Commit{body.at("sequence").get<std::uint64_t>()};
  });
}

base::Result<std::optional<Commit>> HttpTable::FindNonce(
    const std::string& nonce) {
  const auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET",
                   "/v1/table/nonces/" + wire::EncodePercent(nonce));
  if (IsNotFound(answer)) {
    return std::optional<Commit>();
  }
  return ReadAnswer<std::optional<Commit>>(
      answer, CallEffect::kReads, [](const json& body) {
        return Commit{body.at("sequence").get<std::uint64_t>()};
      });
}

HttpObjectStore::HttpObjectStore(HttpPlatformOptions options)
    : m_options(std::move(options)) {}

base::Result<void> HttpObjectStore::Put(const std::string& name,
                                        const std::string& content) {
  return CheckAnswered(CallPlatform(m_options, CallEffect::kWrites, "PUT",
                                    "/v1/objects/" + name, content));
}

base::Result<std::string> HttpObjectStore::Get(const std::string& name) {
  auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET", "/v1/objects/" + name);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return std::move(answer->body);
}

base::Result<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix) {
  const auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET",
                   "/v1/objects?prefix=" + wire::EncodePercent(prefix));
  return ReadAnswer<std::vector<std::string>>(
      answer, CallEffect::kReads, [](const json& body) {
        return body.at("names").get<std::vector<std::string>>();
      });
}

HttpHostList::HttpHostList(HttpPlatformOptions options)
    : m_options(std::move(options)) {}

base::Result<std::vector<ListedHost>> HttpHostList::List() {
  const auto answer =
      CallPlatform(m_options, CallEffect::kReads, "GET", "/v1/hosts");
  return ReadAnswer<std::vector<ListedHost>>(
      answer, CallEffect::kReads, [](const json& body) {
        return body.at("hosts").get<std::vector<ListedHost>>();
      });
}

HttpMachines::HttpMachines(HttpPlatformOptions options)
    : m_options(std::move(options)) {}

base::Result<void> HttpMachines::SetDraining(const std::string& host,
                                             bool draining) {
  const json body{{"draining", draining}};
  return CheckAnswered(CallPlatform(
      m_options, CallEffect::kWrites, "POST",
      "/v1/machines/" + wire::EncodePercent(host) + "/draining", body.dump()));
}

base::Result<void> HttpMachines::Reboot(const std::string& host,
                                        std::uint64_t boots) {
  const json body{{"boots", boots}};
  return CheckAnswered(CallPlatform(
      m_options, CallEffect::kWrites, "POST",
      "/v1/machines/" + wire::EncodePercent(host) + "/reboot", body.dump()));
}

base::Result<MachineStatus> HttpMachines::Status(const std::string& host) {
  const auto answer = CallPlatform(m_options, CallEffect::kReads, "GET",
                                   "/v1/machines/" + wire::EncodePercent(host));
  return ReadAnswer<MachineStatus>(
      answer, CallEffect::kReads,
      [](const json& body) { return body.get<MachineStatus>(); });
}

}  // namespace cassiastile::platform
