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

// Header fields in the order received. Names are compared without case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first value of a field, or nothing.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// A request as a server received it.
struct HttpRequest {
  std::string method;
  std::string path;   // Without the query, not decoded.
  std::string query;  // Without the question mark.
  std::map<std::string, std::string> path_parameters;  // Set by the router.
  HttpHeaders headers;
  std::string body;
  std::string remote_address;
};

// The value of a parameter of the query, percent-decoded, or nothing.
std::optional<std::string> FindQueryParameter(const HttpRequest& request,
                                              std::string_view name);

// The secret in `Authorization: Bearer SECRET`, or nothing.
std::optional<std::string> FindBearerToken(const HttpRequest& request);

// Encodes text for use as a segment of a path or a value of a query.
std::string EncodePercent(std::string_view text);

// Undoes EncodePercent. A percent sign that starts no code stays as it is.
std::string DecodePercent(std::string_view text);

// A whole answer.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // False when the sender marked no end of the body, so that a cut connection
  // would look the same as a whole answer.
  bool framed = true;
};

// Sends the answer to one request. Called exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

// Takes a request and answers it through the responder, now or later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

}  // namespace cassiastile::wire
