#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiastile::wire {

// Header fields in the order received. Names compare case-insensitively.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first value of a header field, or nothing.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// A request as a server received it.
struct HttpRequest {
  std::string method;
  std::string path;   // Without the query; still percent-encoded.
  std::string query;  // Without the question mark.
  std::map<std::string, std::string> path_parameters;  // Set by the router.
  HttpHeaders headers;
  std::string body;
  std::string remote_address;
};

// The percent-decoded value of a query parameter, or nothing.
std::optional<std::string> FindQueryParameter(const HttpRequest& request,
                                              std::string_view name);

// The token in `Authorization: Bearer TOKEN`, or nothing.
std::optional<std::string> FindBearerToken(const HttpRequest& request);

// Percent-encodes text for a path segment or a query value.
std::string EncodePercent(std::string_view text);

// Reverses EncodePercent. A percent sign that starts no valid escape is kept as
// is.
std::string DecodePercent(std::string_view text);

// A complete response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // False when nothing marks the end of the body (neither Content-Length nor
  // Transfer-Encoding): a connection cut during the body then looks like a
  // complete response.
  bool framed = true;
};

// Sends the response to one request. Must be called exactly once, from any
// thread.
using HttpResponder = std::function<void(HttpResponse)>;

// Handles a request and responds through the responder, now or later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

}  // namespace cassiastile::wire
