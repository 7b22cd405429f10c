#include "api_client.hpp"

#include <cctype>
#include <utility>

#include <fmt/format.h>

namespace cassiastile::operators {

namespace {

constexpr int kStatusUnavailable = 503;
constexpr std::size_t kMaxAnswerBytes = 32U << 20U;

ApiAnswer ReadAnswer(const wire::HttpResponse& response) {
  ApiAnswer answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.body, nullptr, false);
  if (answer.body.is_discarded()) {
    answer.body = nullptr;
  }
  answer.retry_after =
      wire::FindHeader(response.headers, "Retry-After").value_or("");
  return answer;
}

bool SaysNotRun(const ApiAnswer& answer) {
  return answer.status == kStatusUnavailable && answer.body.is_object() &&
         answer.body.contains("execution") &&
         answer.body["execution"] == "not-run";
}

}  // namespace

ApiClient::ApiClient(ApiOptions options)
    : m_options(std::move(options)), m_client(wire::HttpClient::Create()) {}

ApiOutcome ApiClient::Get(const std::string& path) const {
  return Call("GET", path, "");
}

ApiOutcome ApiClient::Post(const std::string& path,
                           const nlohmann::json& body) const {
  return Call("POST", path, body.dump());
}

ApiOutcome ApiClient::Delete(const std::string& path) const {
  return Call("DELETE", path, "");
}

ApiOutcome ApiClient::Call(const std::string& method,
                           const std::string& path,
                           const std::string& body) const {
  const bool repeatable = method == "GET";
  ApiOutcome last = tl::make_unexpected(ApiFailure{false, "no server is set"});
  for (const std::string& server : m_options.servers) {
    const auto outcome = m_client->Call(MakeCall(server, method, path, body));
    if (outcome) {
      last = ReadAnswer(*outcome);
      if (!SaysNotRun(*last)) {
        return last;
      }
      continue;
    }
    const bool may_have_run =
        !repeatable && outcome.error().state == wire::SendState::kMaybeSent;
    last = tl::make_unexpected(ApiFailure{
        may_have_run, fmt::format("{}: {}", server, outcome.error().message)});
    if (may_have_run) {
      return last;
    }
  }
  return last;
}

wire::HttpCall ApiClient::MakeCall(const std::string& server,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body) const {
  wire::HttpCall call;
  call.method = method;
  call.url = server + path;
  call.headers = {{"Authorization", "Bearer " + m_options.key}};
  if (!body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  call.body = body;
  call.timeout = m_options.timeout;
  call.fresh_connection = true;
  call.max_body_bytes = kMaxAnswerBytes;
  return call;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kPlain = "-._~";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        kPlain.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace cassiastile::operators
