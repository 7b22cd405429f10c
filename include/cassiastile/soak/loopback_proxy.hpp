#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "cassiastile/base/error.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::soak {

// Passes connections on to a port of this machine, and spoils them on demand.
// Belongs to the thread that runs the loop.
class LoopbackProxy {
 public:
  struct LinkFaults {
    std::chrono::milliseconds delay{0};
    bool cut_to_server = false;    // Data to the server waits.
    bool cut_from_server = false;  // Data from the server waits.
  };

  static base::Result<std::unique_ptr<LoopbackProxy>> Start(
      asio::io_context& context,
      std::uint16_t target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  std::uint16_t Port() const;
  void Set(const LinkFaults& spoil);
  void ResetConnections();
  // Open connections carry nothing any more; new ones do.
  void BlackholeConnections();

 private:
  class Impl;
  explicit LoopbackProxy(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace cassiastile::soak
