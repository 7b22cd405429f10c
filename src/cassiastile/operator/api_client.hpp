#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::operators {

// How to reach the control processes' HTTP API.
struct ApiOptions {
  // Base URLs of control processes, tried in this order; such as
  // http://127.0.0.1:7201.
  std::vector<std::string> servers;
  std::string key;
  std::chrono::milliseconds timeout{10000};
};

// A server's HTTP answer.
struct ApiAnswer {
  int status = 0;
  nlohmann::json body;      // Null if the answer was not JSON.
  std::string retry_after;  // The Retry-After header, in seconds; empty if
                            // absent.

  bool IsSuccess() const { return status >= 200 && status < 300; }
};

// A call that no server answered. `may_have_run` is set for a change that may
// have reached a server.
struct ApiFailure {
  bool may_have_run = false;
  std::string message;
};

using ApiOutcome = tl::expected<ApiAnswer, ApiFailure>;

// Calls the control processes in order and fails over to the next one when one
// can't be reached or says that it did not run the call. A call that changes
// something fails over only if it was certainly not sent or not run, so that no
// change is applied twice.
class ApiClient {
 public:
  explicit ApiClient(ApiOptions options);

  ApiOutcome Get(const std::string& path) const;
  ApiOutcome Post(const std::string& path, const nlohmann::json& body) const;
  ApiOutcome Delete(const std::string& path) const;

 private:
  ApiOutcome Call(const std::string& method,
                  const std::string& path,
                  const std::string& body) const;
  wire::HttpCall MakeCall(const std::string& server,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body) const;

  ApiOptions m_options;
  std::unique_ptr<wire::HttpClient> m_client;
};

// Percent-encodes a path segment or query value; letters, digits and -._~ stay.
std::string PercentEncode(std::string_view text);

}  // namespace cassiastile::operators
