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

struct ApiOptions {
  std::vector<std::string> servers;  // Such as http://127.0.0.1:7201.
  std::string key;
  std::chrono::milliseconds timeout{10000};
};

struct ApiAnswer {
  int status = 0;
  nlohmann::json body;  // Null when the answer was not JSON.
  std::string retry_after;

  bool IsSuccess() const { return status >= 200 && status < 300; }
};

// No answer came.
struct ApiFailure {
  bool may_have_run = false;
  std::string message;
};

using ApiOutcome = tl::expected<ApiAnswer, ApiFailure>;

// Calls the control processes, the next one when one can't be reached. A call
// that changes something goes on to the next only when it certainly was not
// sent or not run.
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

// A path segment or query value with all but plain characters percent-encoded.
std::string EncodeSegment(std::string_view text);

}  // namespace cassiastile::operators
