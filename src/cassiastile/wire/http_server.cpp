#include "cassiastile/wire/http_server.hpp"

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

#include <restinio/all.hpp>

#include "counting_socket.hpp"

namespace cassiastile::wire {

namespace {

// A type of its own, to select the parser's callbacks below.
struct HttpMethods : public restinio::default_http_methods_t {};

}  // namespace

}  // namespace cassiastile::wire

// RESTinio records each chunk of a body, which costs many times as much as a
// small chunk carries. Nothing here reads these records, so none are kept.
template <>
inline http_parser_settings restinio::impl::create_parser_settings<
    cassiastile::wire::HttpMethods>() noexcept {
  auto settings = create_parser_settings<restinio::default_http_methods_t>();
  settings.on_chunk_header = [](http_parser*) { return 0; };
  return settings;
}

namespace cassiastile::wire {

namespace {

constexpr std::chrono::milliseconds kDrainPoll{5};
// Connections that the table has closed may have their descriptors for a moment
// longer, until the loop gets to them.
constexpr std::size_t kClosingConnections = 16;

struct ServerTraits : public restinio::default_traits_t {
  using stream_socket_t = CountingSocket;
  using http_methods_mapper_t = HttpMethods;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using logger_t = restinio::null_logger_t;
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;

HttpRequest ReadRequest(const restinio::request_handle_t& source) {
  const auto& header = source->header();
  HttpRequest request;
  request.method = header.method().c_str();
  request.path = std::string(header.path());
  request.query = std::string(header.query());
  request.body = source->body();
  request.remote_address = source->remote_endpoint().address().to_string();
  header.for_each_field([&request](const auto& field) {
    request.headers.emplace_back(std::string(field.name()),
                                 std::string(field.value()));
  });
  return request;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, HttpHandler handler)
      : m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_gate(std::make_shared<ConnectionGate>(m_options.limits)),
        m_context(m_options.context == nullptr ? m_own_context
                                               : *m_options.context) {}

  ~Impl() { Stop(); }

  // Binds the address and starts the server's threads, if it has its own.
  base::Result<void> Open() {
    try {
      const ConnectionGate::SocketScope scope(m_gate);
      m_server = std::make_unique<Server>(
          restinio::external_io_context(m_context), MakeSettings());
      m_server->open_sync();
    } catch (const std::exception& error) {
      return base::Fail(base::ErrorCode::kUnavailable,
                        "The HTTP server can't listen on " + m_options.address +
                            ":" + std::to_string(m_options.port) + ": " +
                            error.what());
    }
    const std::size_t threads =
        m_options.context == nullptr ? m_options.threads : 0;
    for (std::size_t i = 0; i < threads; ++i) {
      m_threads.emplace_back([this] { m_context.run(); });
    }
    return {};
  }

  std::uint16_t Port() const { return m_port; }
  std::size_t InFlight() const { return m_in_flight.load(); }
  ConnectionUsage Usage() const { return m_gate->Usage(); }

  void BeginDrain() { m_draining.store(true); }

  std::size_t Drain(std::chrono::milliseconds notice,
                    std::chrono::milliseconds deadline) {
    m_draining.store(true);
    std::this_thread::sleep_for(notice);
    CloseAcceptor();
    auto waited = std::chrono::milliseconds(0);
    while (m_in_flight.load() > 0 && waited < deadline) {
      std::this_thread::sleep_for(kDrainPoll);
      waited += kDrainPoll;
    }
    const std::size_t cut = m_in_flight.load();
    Stop();
    return cut;
  }

 private:
  restinio::server_settings_t<ServerTraits> MakeSettings() {
    restinio::server_settings_t<ServerTraits> settings{};
    settings.address(m_options.address)
        .port(m_options.port)
        .max_parallel_connections(m_options.limits.max_connections +
                                  kClosingConnections)
        .read_next_http_message_timelimit(m_options.read_timeout)
        .handle_request_timeout(m_options.handle_timeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(m_options.max_field_bytes)
                .max_field_name_size(m_options.max_field_bytes)
                .max_field_value_size(m_options.max_field_bytes)
                .max_field_count(m_options.max_header_count)
                .max_body_size(m_options.max_body_bytes))
        .acceptor_options_setter([bytes = m_options.socket_buffer_bytes](
                                     restinio::acceptor_options_t& acceptor) {
          acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          if (bytes > 0) {
            // Connections inherit them; set before the window is agreed on.
            const auto size = static_cast<int>(bytes);
            acceptor.set_option(asio::socket_base::receive_buffer_size(size));
            acceptor.set_option(asio::socket_base::send_buffer_size(size));
          }
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          m_port = acceptor.local_endpoint().port();
        })
        .request_handler([this](const restinio::request_handle_t& request) {
          return Accept(request) ? restinio::request_accepted()
                                 : restinio::request_rejected();
        });
    return settings;
  }

  // Returns false for a request that was refused with its connection.
  bool Accept(const restinio::request_handle_t& source) {
    const auto held =
        ConnectionGate::CompleteRequest(m_gate, source->remote_endpoint());
    if (held == nullptr) {
      return false;
    }
    m_in_flight.fetch_add(1);
    // RESTinio begins to read the next request twice if it is answered within
    // its handler, and loses its place in it.
    const auto in_handler = std::make_shared<std::atomic<bool>>(true);
    m_handler(ReadRequest(source),
              [this, source, held, in_handler](HttpResponse response) {
                if (!in_handler->load()) {
                  Answer(source, held, response);
                  return;
                }
                asio::post(m_context, [this, source, held,
                                       response = std::move(response)] {
                  Answer(source, held, response);
                });
              });
    in_handler->store(false);
    return true;
  }

  void Answer(const restinio::request_handle_t& source,
              const std::shared_ptr<ConnectionGate::HeldRequest>& held,
              const HttpResponse& response) {
    const bool ends = held->BeginResponse(response.body.size());
    auto builder = source->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(
            static_cast<std::uint16_t>(response.status)),
        ""));
    for (const auto& [name, value] : response.headers) {
      builder.append_header(name, value);
    }
    if (ends || m_draining.load()) {
      builder.connection_close();
    }
    builder.set_body(response.body);
    builder.done(
        [this, held](const asio::error_code&) { m_in_flight.fetch_sub(1); });
  }

  void CloseAcceptor() {
    if (m_accepting.exchange(false)) {
      m_server->close_async([] {}, [](const std::exception_ptr&) {});
    }
  }

  // Stops the server's own loop; a caller's loop is not touched.
  void Stop() {
    if (m_threads.empty()) {
      return;
    }
    CloseAcceptor();
    m_context.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  HttpServerOptions m_options;
  HttpHandler m_handler;
  std::shared_ptr<ConnectionGate> m_gate;
  asio::io_context m_own_context;
  asio::io_context& m_context;
  std::unique_ptr<Server> m_server;
  std::vector<std::thread> m_threads;
  std::uint16_t m_port = 0;
  std::atomic<std::size_t> m_in_flight{0};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_accepting{true};
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
HttpServer::~HttpServer() = default;

base::Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    HttpServerOptions options,
    Router router) {
  auto shared = std::make_shared<const Router>(std::move(router));
  return Start(std::move(options),
               [shared](HttpRequest request, HttpResponder respond) {
                 shared->RouteRequest(std::move(request), std::move(respond));
               });
}

base::Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    HttpServerOptions options,
    HttpHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(handler));
  const base::Result<void> opened = impl->Open();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

std::uint16_t HttpServer::Port() const {
  return m_impl->Port();
}

std::size_t HttpServer::InFlight() const {
  return m_impl->InFlight();
}

ConnectionUsage HttpServer::Usage() const {
  return m_impl->Usage();
}

void HttpServer::BeginDrain() {
  m_impl->BeginDrain();
}

std::size_t HttpServer::Drain(std::chrono::milliseconds notice,
                              std::chrono::milliseconds deadline) {
  return m_impl->Drain(notice, deadline);
}

}  // namespace cassiastile::wire
