#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "cassiastile/base/error.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::soak {

// A TCP proxy to a port of this machine that injects link faults on demand.
// Must be used on the thread that runs `context`.
class LoopbackProxy {
 public:
  // Faults that apply to the data of all connections.
  struct LinkFaults {
    std::chrono::milliseconds delay{0};  // Added to each piece of data.
    bool cut_to_server = false;          // Holds back data to the server.
    bool cut_from_server = false;        // Holds back data from the server.
  };

  // Listens on a free port. Fails with kUnavailable.
  static base::Result<std::unique_ptr<LoopbackProxy>> Start(
      asio::io_context& context,
      std::uint16_t target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  std::uint16_t Port() const;
  void Set(const LinkFaults& link_faults);
  void ResetConnections();
  // Open connections stay open but carry no data any more; new ones work.
  void BlackholeConnections();

 private:
  class Impl;
  explicit LoopbackProxy(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace cassiastile::soak
