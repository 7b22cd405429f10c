#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

namespace cassiastile::soak {

// What one client sends on each of its connections: the head once, then the
// piece so many times, then the tail. It stays connected afterwards.
struct ClientScript {
  std::string head{};
  std::string piece{};
  std::size_t pieces = 0;
  std::string tail{};
  bool reads = true;  // Whether it reads what comes back.
};

// Clients that send their bytes as fast as the server takes them, whatever it
// answers. A client whose connection ends connects again, a few times. Must be
// used on the thread that runs the context.
class ClientCrowd {
 public:
  explicit ClientCrowd(asio::io_context& context);
  // Closes all connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Connects one more client to a port of this machine.
  void Add(std::uint16_t port, std::shared_ptr<const ClientScript> script);

  // Sent and received.
  std::uint64_t MovedBytes() const;
  std::size_t OpenConnections() const;
  // The first bytes of each client's last answer; a client that got none is
  // left out.
  std::vector<std::string> Answers() const;

 private:
  class Client;

  asio::io_context& m_context;
  std::vector<std::shared_ptr<Client>> m_clients;
};

}  // namespace cassiastile::soak
