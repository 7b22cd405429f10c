#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/member/membership.hpp"

namespace cassiastile::member {

// A UDP socket with its own thread, which passes received datagrams to a
// handler and calls another handler periodically.
class DatagramSocket {
 public:
  // The datagrams that a handler returns are sent at once. `from` is IP:PORT.
  struct Handlers {
    std::function<std::vector<Datagram>(std::string_view datagram,
                                        const std::string& from)>
        receive;
    std::function<std::vector<Datagram>()> tick;
    std::chrono::milliseconds period{20};  // Time between two ticks.
  };

  // Fails with kUnavailable if the address can't be bound.
  static base::Result<std::unique_ptr<DatagramSocket>> Open(
      const std::string& address,
      std::uint16_t port);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Starts the thread that runs the handlers.
  void Start(Handlers handlers);
  // Stops and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit DatagramSocket(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::member
