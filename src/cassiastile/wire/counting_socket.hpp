#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>

#include "cassiastile/wire/connection_table.hpp"

namespace cassiastile::wire {

class CountingSocket;

// The connections of one listener: the table that decides, and the sockets that
// it closes. Thread-safe.
class ConnectionGate {
 public:
  // Makes the gate the one of all sockets that this thread creates, for as long
  // as the scope exists. RESTinio creates a listener's sockets itself and
  // passes them nothing but the loop.
  class SocketScope {
   public:
    explicit SocketScope(std::shared_ptr<ConnectionGate> gate);
    ~SocketScope();
    SocketScope(const SocketScope&) = delete;
    SocketScope& operator=(const SocketScope&) = delete;
  };

  // The bytes of a complete request and of its response, which are held until
  // this object ends.
  class HeldRequest {
   public:
    HeldRequest(std::shared_ptr<ConnectionGate> gate,
                ConnectionTable::Id id,
                std::size_t bytes);
    ~HeldRequest();
    HeldRequest(const HeldRequest&) = delete;
    HeldRequest& operator=(const HeldRequest&) = delete;

    // Returns whether the connection has to end with this response.
    bool BeginResponse(std::size_t bytes);

   private:
    std::shared_ptr<ConnectionGate> m_gate;
    ConnectionTable::Id m_id;
    std::size_t m_bytes;
  };

  explicit ConnectionGate(ConnectionLimits limits);

  // The gate of the innermost SocketScope of this thread.
  static std::shared_ptr<ConnectionGate> OfThisScope();

  // A connection is about to read for the first time. Returns nothing if it has
  // to close.
  std::optional<ConnectionTable::Id> Open(CountingSocket& socket);
  // The socket is about to close.
  void Remove(ConnectionTable::Id id);
  // Returns false if the connection has to close.
  bool Receive(ConnectionTable::Id id, std::size_t bytes);
  // A request from this client is complete. Returns null if its connection was
  // closed before, so that the request must not be handled.
  static std::shared_ptr<HeldRequest> CompleteRequest(
      const std::shared_ptr<ConnectionGate>& gate,
      const asio::ip::tcp::endpoint& client);
  ConnectionUsage Usage() const;

 private:
  void Close(ConnectionTable::Id id, CloseReason reason);

  struct Entry {
    CountingSocket* socket = nullptr;
    asio::ip::tcp::endpoint client;
  };

  mutable std::mutex m_mutex;
  ConnectionTable m_table;
  std::unordered_map<ConnectionTable::Id, Entry> m_entries;
  std::map<asio::ip::tcp::endpoint, ConnectionTable::Id> m_by_client;
};

// A server's TCP socket that tells its listener's gate what it receives.
class CountingSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit CountingSocket(asio::io_context& context)
      : Base(context), m_gate(ConnectionGate::OfThisScope()) {}
  // The other socket can be used again, for the next connection, so it keeps
  // its gate. A socket doesn't move once it has read.
  CountingSocket(CountingSocket&& other) noexcept
      : Base(static_cast<Base&&>(other)) {
    m_gate = other.m_gate;
  }
  CountingSocket& operator=(CountingSocket&&) = delete;
  ~CountingSocket() { Leave(); }

  // RESTinio asks the lowest layer for the client's address right after it has
  // accepted. An exception there would leave the accept counted as active for
  // ever, so a client that is gone already has no address instead.
  CountingSocket& lowest_layer() { return *this; }
  const CountingSocket& lowest_layer() const { return *this; }
  using Base::remote_endpoint;
  endpoint_type remote_endpoint() const {
    asio::error_code error;
    return Base::remote_endpoint(error);
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    if (!m_id) {
      m_id = m_gate->Open(*this);
      if (!m_id) {
        // Else it would wait for a byte, in a place that others need.
        Refuse(CloseReason::kTooManyConnections, false);
      }
    }
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Base::async_read_some(
        buffers,
        asio::bind_executor(
            executor, [this, handler = std::forward<Handler>(handler)](
                          asio::error_code error, std::size_t bytes) mutable {
              if (!error && !(m_id && m_gate->Receive(*m_id, bytes))) {
                error = asio::error::message_size;
              }
              handler(error, bytes);
            }));
  }

  void close() {
    Leave();
    Base::close();
  }

  // Ends the connection; if `answers` is set, with a response that refuses the
  // request of which a part has come.
  void Refuse(CloseReason reason, bool answers);

 private:
  void Leave() {
    if (const auto id = std::exchange(m_id, std::nullopt)) {
      m_gate->Remove(*id);
    }
  }

  std::shared_ptr<ConnectionGate> m_gate;
  std::optional<ConnectionTable::Id> m_id;
};

}  // namespace cassiastile::wire
