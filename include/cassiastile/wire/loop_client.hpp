#pragma once

#include <memory>

#include "cassiastile/wire/http_client.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::wire {

// Makes HTTP/1.1 calls on an event loop, without threads of its own. Start must
// be called on the thread that runs the loop; completions run there.
class LoopClient {
 public:
  // The loop must outlive the client.
  static std::unique_ptr<LoopClient> Create(asio::io_context& context,
                                            HttpClientOptions options = {});
  // Drops the calls in progress without running their completions.
  ~LoopClient();
  LoopClient(const LoopClient&) = delete;
  LoopClient& operator=(const LoopClient&) = delete;

  // Starts a call. The completion runs exactly once, later, on the loop; with
  // kNotSent if the URL doesn't have the form http://ADDRESS:PORT/PATH with an
  // IPv4 address that a call can go to, or a header holds a control character.
  //
  // A pooled connection that the server has closed is not used. If one breaks
  // during a call, a repeatable call is sent once more on a new connection; any
  // other call fails with kMaybeSent.
  void Start(HttpCall call, HttpCompletion completion);

 private:
  class Impl;
  explicit LoopClient(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace cassiastile::wire
