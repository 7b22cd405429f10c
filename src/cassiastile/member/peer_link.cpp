#include "cassiastile/member/peer_link.hpp"

#include <array>
#include <thread>
#include <utility>

#include <asio.hpp>

namespace cassiastile::member {

namespace {

using asio::ip::tcp;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxFrameBytes = 8U << 20U;
constexpr std::chrono::milliseconds kSessionTimeout{2000};

std::string PackLength(std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes += static_cast<char>((size >> (8 * i)) & 0xffU);
  }
  return bytes;
}

std::size_t UnpackLength(const std::array<unsigned char, kLengthBytes>& bytes) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    size |= static_cast<std::size_t>(bytes.at(i)) << (8 * i);
  }
  return size;
}

// One connection, on either side. Reads and writes frames, each preceded by its
// length in four bytes, little-endian.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using FrameHandler = std::function<void(std::string)>;

  explicit Session(tcp::socket socket)
      : m_socket(std::move(socket)), m_timer(m_socket.get_executor()) {}

  void CloseAfter(std::chrono::milliseconds time) {
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) {
        self->Close();
      }
    });
  }

  void Read(FrameHandler handler) {
    m_handler = std::move(handler);
    asio::async_read(
        m_socket, asio::buffer(m_length),
        [self = shared_from_this()](std::error_code error, std::size_t) {
          self->OnLength(error);
        });
  }

  void Write(const std::string& frame, std::function<void()> then) {
    m_output = PackLength(frame.size()) + frame;
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this(), then = std::move(then)](
                          std::error_code error, std::size_t) {
                        error ? self->Close() : then();
                      });
  }

  void Close() {
    std::error_code ignored;
    m_timer.cancel();
    m_handler = nullptr;
    m_socket.close(ignored);
  }

  tcp::socket& Socket() { return m_socket; }

 private:
  void OnLength(std::error_code error) {
    const std::size_t size = UnpackLength(m_length);
    if (error || size > kMaxFrameBytes) {
      Close();
      return;
    }
    m_input.resize(size);
    asio::async_read(
        m_socket, asio::buffer(m_input),
        [self = shared_from_this()](std::error_code failure, std::size_t) {
          self->OnFrame(failure);
        });
  }

  void OnFrame(std::error_code error) {
    if (error || !m_handler) {
      Close();
      return;
    }
    const FrameHandler handler = std::exchange(m_handler, nullptr);
    handler(std::move(m_input));
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::array<unsigned char, kLengthBytes> m_length{};
  std::string m_input;
  std::string m_output;
  FrameHandler m_handler;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(std::string secret, PeerHandler handler)
      : m_secret(std::move(secret)),
        m_handler(std::move(handler)),
        m_acceptor(m_context) {}

  ~Impl() {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  base::Result<void> Start(const std::string& address, std::uint16_t port) {
    std::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (!error) {
      const tcp::endpoint endpoint(ip, port);
      m_acceptor.open(endpoint.protocol(), error);
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      m_acceptor.bind(endpoint, error);
    }
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return base::Fail(
          base::ErrorCode::kUnavailable,
          "Can't listen for peer connections: " + error.message() + ".");
    }
    Accept();
    m_thread = std::thread([this] { m_context.run(); });
    return {};
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

 private:
  void Accept() {
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
      if (!error) {
        Serve(std::make_shared<Session>(std::move(socket)));
      }
      Accept();
    });
  }

  void Serve(const std::shared_ptr<Session>& session) {
    session->CloseAfter(kSessionTimeout);
    session->Read([this, session](const std::string& frame) {
      const auto request = DecodeRequest(frame, m_secret);
      if (!request) {
        session->Close();
        return;
      }
      PeerReply reply = m_handler(*request);
      reply.nonce = request->nonce;
      session->Write(EncodeReply(reply, m_secret),
                     [session] { session->Close(); });
    });
  }

  std::string m_secret;
  PeerHandler m_handler;
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

base::Result<std::unique_ptr<PeerServer>> PeerServer::Start(
    const std::string& address,
    std::uint16_t port,
    std::string secret,
    PeerHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(secret), std::move(handler));
  const base::Result<void> started = impl->Start(address, port);
  if (!started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerServer::~PeerServer() = default;

std::uint16_t PeerServer::Port() const {
  return m_impl->Port();
}

base::Result<PeerReply> AskPeer(const std::string& address,
                                const PeerRequest& request,
                                std::string_view secret,
                                std::chrono::milliseconds timeout) {
  const auto parsed = ParseIpPort(address);
  std::error_code error;
  const auto ip =
      asio::ip::make_address(parsed ? parsed->ip : std::string(), error);
  if (!parsed || error) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The peer's address is not valid: " + address + ".");
  }
  asio::io_context context;
  std::string frame;
  const auto session = std::make_shared<Session>(tcp::socket(context));
  session->Socket().async_connect(
      tcp::endpoint(ip, parsed->port), [&](std::error_code failure) {
        if (failure) {
          return;
        }
        session->Write(EncodeRequest(request, secret), [&] {
          session->Read([&](std::string input) { frame = std::move(input); });
        });
      });
  context.run_for(timeout);
  session->Close();
  auto reply = DecodeReply(frame, secret);
  if (reply && reply->nonce != request.nonce) {
    return base::Fail(base::ErrorCode::kDenied,
                      "The peer's reply has the nonce of another request.");
  }
  return reply;
}

}  // namespace cassiastile::member
