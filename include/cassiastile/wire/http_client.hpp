#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::wire {

// A request to send, with its limits.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  std::chrono::milliseconds timeout{10000};  // For the whole call.
  std::chrono::milliseconds connect_timeout{1000};
  // Opens a new connection for this call and closes it afterwards. libcurl
  // resends a request by itself when a reused connection turns out to be
  // closed, so a request that must not be sent twice needs this.
  bool fresh_connection = false;
  // Whether the request may be carried out twice, and the answer to either copy
  // holds for both. LoopClient sends only such a call again when its pooled
  // connection breaks; HttpClient ignores this.
  bool repeatable = false;
  std::size_t max_body_bytes = 4U << 20U;  // Of the response.
};

// Whether any byte of a failed call may have reached the server.
enum class SendState : std::uint8_t {
  kNotSent,
  kMaybeSent,
};

std::string_view NameOf(SendState state);

// A call that ended without a complete response.
struct HttpFailure {
  SendState state = SendState::kMaybeSent;
  bool timed_out = false;
  std::string message;
};

using HttpOutcome = tl::expected<HttpResponse, HttpFailure>;
using HttpCompletion = std::function<void(HttpOutcome)>;

struct HttpClientOptions {
  std::size_t threads = 1;  // Each with its own connection pool.
  std::size_t max_connections_per_host = 64;  // Per thread.
  // A pooled connection that was idle for longer is closed instead of reused.
  std::chrono::seconds max_idle{10};
  // TCP_USER_TIMEOUT: a connection whose sent data stays unacknowledged for
  // this long is closed.
  std::chrono::milliseconds unacknowledged_timeout{5000};
};

// Makes HTTP/1.1 calls on threads of its own. A connection carries one call at
// a time; a connection whose call failed or timed out is closed. Safe for use
// by several threads.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(HttpClientOptions options = {});
  // Fails the calls that are still in progress.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. The completion runs exactly once, on a client thread, and
  // must not block.
  void Start(HttpCall call, HttpCompletion completion);

  // Makes a call and blocks until its outcome is known. Must not be called from
  // a completion, which could deadlock.
  HttpOutcome Call(HttpCall call);

 private:
  class ClientThread;
  explicit HttpClient(HttpClientOptions options);

  std::vector<std::unique_ptr<ClientThread>> m_client_threads;
  std::atomic<std::size_t> m_next{0};
};

}  // namespace cassiastile::wire
