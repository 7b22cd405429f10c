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

// How often held data is checked again.
constexpr std::chrono::milliseconds kHeldDataInterval{20};
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
  void Set(const LinkFaults& link_faults) { m_link_faults = link_faults; }

  void Blackhole() {
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) {
        connection->blackholed = true;
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

    // Unlike a reset, leaves the data that was passed on to be read.
    void Close() {
      asio::error_code ignored;
      caller.close(ignored);
      server.close(ignored);
    }

    void Reset() {
      for (tcp::socket* socket : {&caller, &server}) {
        asio::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }

    tcp::socket caller;
    tcp::socket server;
    bool blackholed = false;
  };
  // One direction of a connection.
  struct Flow {
    std::shared_ptr<Connection> connection;
    tcp::socket& from;
    tcp::socket& to;
    bool to_server = false;
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
                                 bool to_server) {
    Connection& ends = *connection;
    return std::shared_ptr<Flow>(new Flow{connection,
                                          to_server ? ends.caller : ends.server,
                                          to_server ? ends.server : ends.caller,
                                          to_server,
                                          {},
                                          asio::steady_timer(m_context)});
  }

  void Read(const std::shared_ptr<Flow>& flow) {
    flow->from.async_read_some(
        asio::buffer(flow->buffer),
        [self = shared_from_this(), flow](const asio::error_code& error,
                                          std::size_t bytes) {
          if (error == asio::error::eof) {
            flow->connection->Close();
            return;
          }
          if (error) {
            flow->connection->Reset();
            return;
          }
          self->Forward(flow, bytes, self->m_link_faults.delay);
        });
  }

  // Writes the data to the other side, once its delay is over and neither a cut
  // nor a blackholed connection holds it back.
  void Forward(const std::shared_ptr<Flow>& flow,
               std::size_t bytes,
               std::chrono::milliseconds delay) {
    const bool cut = flow->to_server ? m_link_faults.cut_to_server
                                     : m_link_faults.cut_from_server;
    if (!cut && !flow->connection->blackholed && delay.count() == 0) {
      Write(flow, bytes);
      return;
    }
    flow->timer.expires_after(delay.count() > 0 ? delay : kHeldDataInterval);
    flow->timer.async_wait(
        [self = shared_from_this(), flow, bytes](const asio::error_code&) {
          if (flow->from.is_open()) {
            self->Forward(flow, bytes, {});
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
  LinkFaults m_link_faults;
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

void LoopbackProxy::Set(const LinkFaults& link_faults) {
  m_impl->Set(link_faults);
}

void LoopbackProxy::ResetConnections() {
  m_impl->Reset();
}

void LoopbackProxy::BlackholeConnections() {
  m_impl->Blackhole();
}

}  // namespace cassiastile::soak
