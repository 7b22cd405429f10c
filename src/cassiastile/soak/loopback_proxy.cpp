#include "cassiastile/soak/loopback_proxy.hpp"

#include <array>
#include <list>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace cassiastile::soak {

namespace {

using asio::ip::tcp;

// How often data that waits is looked at again.
constexpr std::chrono::milliseconds kHeldCheck{20};
constexpr std::size_t kBufferBytes = 16384;

}  // namespace

class LoopbackProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, std::uint16_t target)
      : m_context(context),
        m_acceptor(context),
        m_target(asio::ip::address_v4::loopback(), target) {}

  void Listen() {
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    Accept();
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  void Set(const LinkFaults& spoil) { m_spoil = spoil; }

  void Silence() {
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) {
        connection->silent = true;
      }
    }
  }

  void Reset() {
    for (const auto& weak : std::exchange(m_connections, {})) {
      if (const auto connection = weak.lock()) {
        connection->Reset();
      }
    }
  }

  void Close() {
    asio::error_code ignored;
    m_acceptor.close(ignored);
    Reset();
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& context)
        : caller(context), server(context) {}

    void Reset() {
      for (tcp::socket* socket : {&caller, &server}) {
        asio::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }

    tcp::socket caller;
    tcp::socket server;
    bool silent = false;
  };
  // One direction of a connection.
  struct Flow {
    std::shared_ptr<Connection> connection;
    tcp::socket& from;
    tcp::socket& to;
    bool there = false;
    std::array<char, kBufferBytes> buffer{};
    asio::steady_timer timer;
  };

  void Accept() {
    auto connection = std::make_shared<Connection>(m_context);
    m_acceptor.async_accept(
        connection->caller,
        [self = shared_from_this(), connection](const asio::error_code& error) {
          if (error) {
            return;
          }
          self->Connect(connection);
          self->Accept();
        });
  }

  void Connect(const std::shared_ptr<Connection>& connection) {
    connection->server.async_connect(
        m_target,
        [self = shared_from_this(), connection](const asio::error_code& error) {
          if (error) {
            connection->Reset();
            return;
          }
          std::erase_if(self->m_connections,
                        [](const auto& weak) { return weak.expired(); });
          self->m_connections.push_back(connection);
          const tcp::no_delay no_delay(true);
          connection->caller.set_option(no_delay);
          connection->server.set_option(no_delay);
          self->Read(self->MakeFlow(connection, true));
          self->Read(self->MakeFlow(connection, false));
        });
  }

  std::shared_ptr<Flow> MakeFlow(const std::shared_ptr<Connection>& connection,
                                 bool there) {
    Connection& ends = *connection;
    return std::shared_ptr<Flow>(new Flow{connection,
                                          there ? ends.caller : ends.server,
                                          there ? ends.server : ends.caller,
                                          there,
                                          {},
                                          asio::steady_timer(m_context)});
  }

  void Read(const std::shared_ptr<Flow>& flow) {
    flow->from.async_read_some(
        asio::buffer(flow->buffer),
        [self = shared_from_this(), flow](const asio::error_code& error,
                                          std::size_t bytes) {
          if (error) {
            flow->connection->Reset();
            return;
          }
          self->Hold(flow, bytes, self->m_spoil.delay);
        });
  }

  void Hold(const std::shared_ptr<Flow>& flow,
            std::size_t bytes,
            std::chrono::milliseconds delay) {
    const bool cut =
        flow->there ? m_spoil.cut_to_server : m_spoil.cut_from_server;
    if (!cut && !flow->connection->silent && delay.count() == 0) {
      Write(flow, bytes);
      return;
    }
    flow->timer.expires_after(delay.count() > 0 ? delay : kHeldCheck);
    flow->timer.async_wait(
        [self = shared_from_this(), flow, bytes](const asio::error_code&) {
          if (flow->from.is_open()) {
            self->Hold(flow, bytes, {});
          }
        });
  }

  void Write(const std::shared_ptr<Flow>& flow, std::size_t bytes) {
    asio::async_write(flow->to, asio::buffer(flow->buffer, bytes),
                      [self = shared_from_this(), flow](
                          const asio::error_code& error, std::size_t) {
                        if (error) {
                          flow->connection->Reset();
                          return;
                        }
                        self->Read(flow);
                      });
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  LinkFaults m_spoil;
  std::list<std::weak_ptr<Connection>> m_connections;
};

base::Result<std::unique_ptr<LoopbackProxy>> LoopbackProxy::Start(
    asio::io_context& context,
    std::uint16_t target) {
  try {
    auto impl = std::make_shared<Impl>(context, target);
    impl->Listen();
    return std::unique_ptr<LoopbackProxy>(new LoopbackProxy(std::move(impl)));
  } catch (const asio::system_error& error) {
    return base::Fail(base::ErrorCode::kUnavailable, error.what());
  }
}

LoopbackProxy::LoopbackProxy(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

LoopbackProxy::~LoopbackProxy() {
  m_impl->Close();
}

std::uint16_t LoopbackProxy::Port() const {
  return m_impl->Port();
}

void LoopbackProxy::Set(const LinkFaults& spoil) {
  m_impl->Set(spoil);
}

void LoopbackProxy::ResetConnections() {
  m_impl->Reset();
}

void LoopbackProxy::BlackholeConnections() {
  m_impl->Silence();
}

}  // namespace cassiastile::soak
