#include "client_crowd_bench.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace cassiastile::soak {

namespace {

using asio::ip::tcp;
using Socket = std::shared_ptr<tcp::socket>;

constexpr int kMaxConnections = 4;  // Of one client, one after the other.
constexpr std::chrono::milliseconds kReconnectDelay{50};
constexpr std::size_t kStatusBytes = 12;  // "HTTP/1.1 200"
// A client that doesn't read has little room for answers.
constexpr int kSmallBuffer = 4096;

}  // namespace

class ClientCrowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& context,
         std::uint16_t port,
         std::shared_ptr<const ClientScript> script)
      : m_context(context),
        m_server(asio::ip::address_v4::loopback(), port),
        m_script(std::move(script)),
        m_timer(context) {}

  void Connect() {
    ++m_connections;
    m_socket = std::make_shared<tcp::socket>(m_context);
    m_part = 0;
    m_offset = 0;
    asio::error_code ignored;
    m_socket->open(tcp::v4(), ignored);
    if (!m_script->reads) {
      m_socket->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer),
                           ignored);
    }
    m_socket->async_connect(m_server,
                            [self = shared_from_this(),
                             socket = m_socket](const asio::error_code& error) {
                              if (error) {
                                self->Lose(socket);
                                return;
                              }
                              self->m_is_open = socket == self->m_socket;
                              self->Send(socket);
                              if (self->m_script->reads) {
                                self->Receive(socket);
                              }
                            });
  }

  void Close() {
    m_connections = kMaxConnections;
    m_timer.cancel();
    const Socket socket = m_socket;
    Lose(socket);
  }

  std::uint64_t MovedBytes() const { return m_moved; }
  bool IsOpen() const { return m_is_open; }
  const std::string& Answer() const { return m_answer; }

 private:
  // The handlers of a former socket do nothing.
  void Send(const Socket& socket) {
    const std::string* part = Part();
    while (part != nullptr && m_offset == part->size()) {
      ++m_part;
      m_offset = 0;
      part = Part();
    }
    if (part == nullptr || socket != m_socket) {
      return;
    }
    socket->async_write_some(
        asio::buffer(part->data() + m_offset, part->size() - m_offset),
        [self = shared_from_this(), socket](const asio::error_code& error,
                                            std::size_t size) {
          if (error) {
            self->Lose(socket);
          } else if (socket == self->m_socket) {
            self->m_moved += size;
            self->m_offset += size;
            self->Send(socket);
          }
        });
  }

  const std::string* Part() const {
    if (m_part == 0) {
      return &m_script->head;
    }
    if (m_part <= m_script->pieces) {
      return &m_script->piece;
    }
    return m_part == m_script->pieces + 1 ? &m_script->tail : nullptr;
  }

  void Receive(const Socket& socket) {
    socket->async_read_some(
        asio::buffer(m_received),
        [self = shared_from_this(), socket](const asio::error_code& error,
                                            std::size_t size) {
          if (error) {
            self->Lose(socket);
          } else if (socket == self->m_socket) {
            self->m_moved += size;
            self->m_answer.assign(self->m_received.data(),
                                  std::min(size, kStatusBytes));
            self->Receive(socket);
          }
        });
  }

  void Lose(const Socket& socket) {
    if (socket != m_socket || socket == nullptr) {
      return;
    }
    m_socket = nullptr;
    m_is_open = false;
    asio::error_code ignored;
    socket->close(ignored);
    if (m_connections == kMaxConnections) {
      return;
    }
    m_timer.expires_after(kReconnectDelay);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error && self->m_connections < kMaxConnections) {
            self->Connect();
          }
        });
  }

  asio::io_context& m_context;
  tcp::endpoint m_server;
  std::shared_ptr<const ClientScript> m_script;
  asio::steady_timer m_timer;
  Socket m_socket;
  bool m_is_open = false;
  int m_connections = 0;
  std::size_t m_part = 0;  // The head, each piece, the tail.
  std::size_t m_offset = 0;
  std::uint64_t m_moved = 0;
  std::string m_answer;
  std::array<char, 16384> m_received{};
};

ClientCrowd::ClientCrowd(asio::io_context& context) : m_context(context) {}

ClientCrowd::~ClientCrowd() {
  for (const auto& client : m_clients) {
    client->Close();
  }
}

void ClientCrowd::Add(std::uint16_t port,
                      std::shared_ptr<const ClientScript> script) {
  m_clients.push_back(
      std::make_shared<Client>(m_context, port, std::move(script)));
  m_clients.back()->Connect();
}

std::uint64_t ClientCrowd::MovedBytes() const {
  std::uint64_t moved = 0;
  for (const auto& client : m_clients) {
    moved += client->MovedBytes();
  }
  return moved;
}

std::size_t ClientCrowd::OpenConnections() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_clients, [](const auto& client) { return client->IsOpen(); }));
}

std::vector<std::string> ClientCrowd::Answers() const {
  std::vector<std::string> answers;
  for (const auto& client : m_clients) {
    if (!client->Answer().empty()) {
      answers.push_back(client->Answer());
    }
  }
  return answers;
}

}  // namespace cassiastile::soak
