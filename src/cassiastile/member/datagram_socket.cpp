#include "cassiastile/member/datagram_socket.hpp"

#include <array>
#include <thread>
#include <utility>

#include <asio.hpp>

#include "cassiastile/member/peer_link.hpp"

namespace cassiastile::member {

namespace {

using asio::ip::udp;

// One byte more than allowed: longer datagrams are truncated to this length and
// dropped as oversized.
constexpr std::size_t kBufferBytes = kMaxDatagramBytes + 1;

std::string ToText(const udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

class DatagramSocket::Impl {
 public:
  Impl() : m_socket(m_context), m_timer(m_context) {}
  ~Impl() { Stop(); }

  std::error_code Open(const std::string& address, std::uint16_t port) {
    std::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
      return error;
    }
    const udp::endpoint endpoint(ip, port);
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
      m_socket.bind(endpoint, error);
    }
    if (!error) {
      m_socket.non_blocking(true, error);
    }
    return error;
  }

  void Start(Handlers handlers) {
    m_handlers = std::move(handlers);
    Receive();
    ScheduleTick();
    m_thread = std::thread([this] { m_context.run(); });
  }

  void Stop() {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

 private:
  void Receive() {
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from,
        [this](std::error_code error, std::size_t size) {
          if (!error) {
            SendAll(m_handlers.receive(std::string_view(m_buffer.data(), size),
                                       ToText(m_from)));
          }
          Receive();
        });
  }

  void ScheduleTick() {
    m_timer.expires_after(m_handlers.period);
    m_timer.async_wait([this](std::error_code error) {
      if (!error) {
        SendAll(m_handlers.tick());
        ScheduleTick();
      }
    });
  }

  // A datagram that can't be sent at once is dropped; the protocol tolerates
  // loss anyway.
  void SendAll(const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      const auto address = ParseIpPort(datagram.to);
      std::error_code error;
      const auto ip =
          asio::ip::make_address(address ? address->ip : std::string(), error);
      if (!error) {
        m_socket.send_to(asio::buffer(datagram.bytes),
                         udp::endpoint(ip, address->port), 0, error);
      }
    }
  }

  asio::io_context m_context;
  udp::socket m_socket;
  asio::steady_timer m_timer;
  udp::endpoint m_from;
  std::array<char, kBufferBytes> m_buffer{};
  Handlers m_handlers;
  std::thread m_thread;
};

base::Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Open(
    const std::string& address,
    std::uint16_t port) {
  auto impl = std::make_unique<Impl>();
  const std::error_code error = impl->Open(address, port);
  if (error) {
    return base::Fail(base::ErrorCode::kUnavailable,
                      "Can't open the UDP socket: " + error.message() + ".");
  }
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(impl)));
}

DatagramSocket::DatagramSocket(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::Start(Handlers handlers) {
  m_impl->Start(std::move(handlers));
}

void DatagramSocket::Stop() {
  m_impl->Stop();
}

}  // namespace cassiastile::member
