#include "cassiastile/wire/loop_client.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <list>
#include <map>
#include <utility>

#include <http_parser.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "cassiastile/wire/ipv4_endpoint.hpp"

namespace cassiastile::wire {

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Interval of the one timer that checks the deadlines of all calls.
constexpr milliseconds kDeadlineTick{20};
constexpr std::size_t kReadBytes = 16U << 10U;

// The parts of "http://ADDRESS:PORT/PATH".
struct Target {
  std::string authority;
  tcp::endpoint endpoint;
  std::string path;
};

bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(text, [](char each) {
    const auto byte = static_cast<unsigned char>(each);
    constexpr unsigned char kDelete = 0x7f;
    return byte < ' ' || byte == kDelete;
  });
}

std::optional<Target> ParseUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme) || HasControlCharacter(url) ||
      url.find(' ') != std::string_view::npos) {
    return std::nullopt;
  }
  url.remove_prefix(kScheme.size());
  const std::size_t slash = url.find('/');
  Target target;
  target.authority = std::string(url.substr(0, slash));
  target.path =
      slash == std::string_view::npos ? "/" : std::string(url.substr(slash));
  const auto endpoint = ParseDestination(target.authority);
  if (!endpoint) {
    return std::nullopt;
  }
  target.endpoint = tcp::endpoint(asio::ip::make_address_v4(endpoint->address),
                                  endpoint->port);
  return target;
}

// A line break in a header would end it and begin another one.
bool HasOddHeader(const HttpCall& call) {
  return std::ranges::any_of(call.headers, [](const auto& header) {
    return HasControlCharacter(header.first) ||
           HasControlCharacter(header.second);
  });
}

std::string WriteRequest(const HttpCall& call, const Target& target) {
  std::string text = call.method + " " + target.path +
                     " HTTP/1.1\r\nHost: " + target.authority + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += call.body;
  return text;
}

// Whether the response marks the end of its body.
bool IsFramed(const HttpResponse& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return response.status == kNoContent || response.status == kNotModified ||
         FindHeader(response.headers, "Content-Length").has_value() ||
         FindHeader(response.headers, "Transfer-Encoding").has_value();
}

// Parses one response incrementally.
class ResponseReader {
 public:
  ResponseReader() {
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
  }

  // Returns false when the bytes are not a response or its body exceeds
  // `max_body` bytes.
  bool Feed(const char* data, std::size_t size, std::size_t max_body) {
    m_max_body = max_body;
    static const http_parser_settings settings = MakeSettings();
    const std::size_t taken =
        http_parser_execute(&m_parser, &settings, data, size);
    // Bytes after the end of the response are ignored.
    return m_complete || (taken == size && m_parser.http_errno == HPE_OK);
  }

  // Handles the end of the connection, which also ends a response without a
  // length. Returns whether the response is complete.
  bool Close() { return Feed(nullptr, 0, m_max_body) && m_complete; }

  bool IsComplete() const { return m_complete; }
  bool HasBegun() const { return m_begun; }
  bool KeepsConnectionOpen() const { return m_keep_alive && m_response.framed; }
  HttpResponse Take() { return std::move(m_response); }

 private:
  static ResponseReader& Of(http_parser* parser) {
    return *static_cast<ResponseReader*>(parser->data);
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
      Of(parser).m_begun = true;
      return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* data,
                                  std::size_t size) {
      ResponseReader& self = Of(parser);
      if (!self.m_in_name) {
        self.m_response.headers.emplace_back();
        self.m_in_name = true;
      }
      self.m_response.headers.back().first.append(data, size);
      return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* data,
                                  std::size_t size) {
      ResponseReader& self = Of(parser);
      self.m_in_name = false;
      self.m_response.headers.back().second.append(data, size);
      return 0;
    };
    settings.on_body = [](http_parser* parser, const char* data,
                          std::size_t size) {
      ResponseReader& self = Of(parser);
      if (self.m_response.body.size() + size > self.m_max_body) {
        return 1;
      }
      self.m_response.body.append(data, size);
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      ResponseReader& self = Of(parser);
      self.m_complete = true;
      self.m_keep_alive = http_should_keep_alive(parser) != 0;
      self.m_response.status = static_cast<int>(parser->status_code);
      self.m_response.framed = IsFramed(self.m_response);
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }

  http_parser m_parser{};
  HttpResponse m_response;
  std::size_t m_max_body = 0;
  bool m_in_name = false;
  bool m_begun = false;
  bool m_complete = false;
  bool m_keep_alive = false;
};

}  // namespace

class LoopClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, HttpClientOptions options)
      : m_context(context), m_options(options), m_timer(context) {}

  void Start(HttpCall call, HttpCompletion completion) {
    auto exchange = std::make_shared<Exchange>();
    exchange->call = std::move(call);
    exchange->completion = std::move(completion);
    exchange->deadline = steady_clock::now() + exchange->call.timeout;
    // Each call is in the list until it ends, also one that is never sent.
    m_active.push_back(exchange);
    exchange->position = std::prev(m_active.end());
    const auto target = ParseUrl(exchange->call.url);
    if (!target) {
      FailUnsent(exchange,
                 "the URL is not of the form http://ADDRESS:PORT/PATH");
      return;
    }
    if (HasOddHeader(exchange->call)) {
      FailUnsent(exchange, "a header holds a control character");
      return;
    }
    exchange->target = *target;
    exchange->request = WriteRequest(exchange->call, exchange->target);
    ArmTimer();
    Send(exchange, exchange->call.fresh_connection);
  }

  // Drops the active calls, without running their completions, and all
  // connections.
  void ShutDown() {
    m_shut_down = true;
    m_timer.cancel();
    for (const auto& exchange : m_active) {
      exchange->completion = nullptr;
      Drop(exchange->connection);
    }
    m_active.clear();
    m_idle.clear();
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    steady_clock::time_point last_used{};
    std::array<char, kReadBytes> buffer{};
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  // A call in progress.
  struct Exchange {
    HttpCall call;
    HttpCompletion completion;
    Target target;
    std::string request;
    steady_clock::time_point deadline{};
    steady_clock::time_point connect_deadline = steady_clock::time_point::max();
    ConnectionPointer connection;
    ResponseReader reader;
    bool reused = false;
    bool sent = false;  // Whether any attempt got a connection to send on.
    std::list<std::shared_ptr<Exchange>>::iterator position;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  // Ends a call that can't be sent; later, as its caller expects.
  void FailUnsent(const ExchangePointer& exchange, std::string message) {
    asio::post(m_context, [self = shared_from_this(), exchange,
                           message = std::move(message)] {
      self->Fail(exchange, message, false);
    });
  }

  // Sends a call on an idle connection, or on a new one if there is none or
  // `fresh` is set.
  void Send(const ExchangePointer& exchange, bool fresh) {
    exchange->connection = fresh ? nullptr : TakeIdle(exchange->target);
    exchange->reused = exchange->connection != nullptr;
    if (exchange->reused) {
      Write(exchange);
      return;
    }
    exchange->connection = std::make_shared<Connection>(m_context);
    exchange->connect_deadline =
        steady_clock::now() + exchange->call.connect_timeout;
    exchange->connection->socket.async_connect(
        exchange->target.endpoint,
        [self = shared_from_this(), exchange,
         connection = exchange->connection](const asio::error_code& error) {
          if (exchange->connection != connection) {
            return;
          }
          exchange->connect_deadline = steady_clock::time_point::max();
          if (error) {
            self->Fail(exchange, error.message(), false);
            return;
          }
          if (steady_clock::now() >= exchange->deadline) {
            self->Fail(exchange, "the deadline was over before it was sent",
                       true);
            return;
          }
          self->SetSocketOptions(*connection);
          self->Write(exchange);
        });
  }

  // Whether the server has neither closed the connection nor sent anything
  // since the last call.
  static bool IsIdle(Connection& connection) {
    char byte = 0;
    const auto size = recv(connection.socket.native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // The most recently used idle connection, or null. Drops connections that
  // were idle for too long or closed by the server.
  ConnectionPointer TakeIdle(const Target& target) {
    const auto found = m_idle.find(target.authority);
    if (found == m_idle.end()) {
      return nullptr;
    }
    auto& connections = found->second;
    const auto oldest = steady_clock::now() - m_options.max_idle;
    while (!connections.empty()) {
      ConnectionPointer connection = std::move(connections.back());
      connections.pop_back();
      if (connection->last_used > oldest && IsIdle(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void SetSocketOptions(Connection& connection) {
    asio::error_code ignored;
    connection.socket.set_option(tcp::no_delay(true), ignored);
    const auto timeout =
        static_cast<unsigned>(m_options.unacknowledged_timeout.count());
    setsockopt(connection.socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &timeout, sizeof timeout);
  }

  void Write(const ExchangePointer& exchange) {
    exchange->sent = true;
    asio::async_write(exchange->connection->socket,
                      asio::buffer(exchange->request),
                      [self = shared_from_this(), exchange,
                       connection = exchange->connection](
                          const asio::error_code& error, std::size_t) {
                        if (exchange->connection == connection && error) {
                          self->HandleConnectionError(exchange, error);
                        }
                      });
    Read(exchange);
  }

  void Read(const ExchangePointer& exchange) {
    const ConnectionPointer connection = exchange->connection;
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [self = shared_from_this(), exchange, connection](
            const asio::error_code& error, std::size_t size) {
          if (exchange->connection == connection) {
            self->HandleBytes(exchange, error, size);
          }
        });
  }

  void HandleBytes(const ExchangePointer& exchange,
                   const asio::error_code& error,
                   std::size_t size) {
    if (error) {
      if (error == asio::error::eof && exchange->reader.HasBegun() &&
          exchange->reader.Close()) {
        Succeed(exchange);
      } else {
        HandleConnectionError(exchange, error);
      }
      return;
    }
    const bool is_valid =
        exchange->reader.Feed(exchange->connection->buffer.data(), size,
                              exchange->call.max_body_bytes);
    if (!is_valid) {
      Fail(exchange, "the response is malformed or exceeds the size limit",
           false);
    } else if (exchange->reader.IsComplete()) {
      Succeed(exchange);
    } else {
      Read(exchange);
    }
  }

  // Handles a connection error. The server may have closed a pooled connection
  // while it was idle, so a repeatable call is sent once more on a new one if
  // no byte of the response has come. Whether the first copy was or will be
  // carried out is not known.
  void HandleConnectionError(const ExchangePointer& exchange,
                             const asio::error_code& error) {
    if (exchange->call.repeatable && exchange->reused &&
        !exchange->reader.HasBegun()) {
      Drop(exchange->connection);
      Send(exchange, true);
      return;
    }
    Fail(exchange, error.message(), false);
  }

  void Succeed(const ExchangePointer& exchange) {
    const ConnectionPointer connection = exchange->connection;
    if (exchange->reader.KeepsConnectionOpen() &&
        !exchange->call.fresh_connection) {
      connection->last_used = steady_clock::now();
      auto& idle = m_idle[exchange->target.authority];
      if (idle.size() < m_options.max_connections_per_host) {
        idle.push_back(connection);
      }
    }
    exchange->connection = nullptr;
    Finish(exchange, exchange->reader.Take());
  }

  void Fail(const ExchangePointer& exchange,
            std::string message,
            bool timed_out) {
    HttpFailure failure;
    failure.state =
        exchange->sent ? SendState::kMaybeSent : SendState::kNotSent;
    failure.timed_out = timed_out;
    failure.message = std::move(message);
    Drop(exchange->connection);
    Finish(exchange, tl::unexpected(std::move(failure)));
  }

  void Finish(const ExchangePointer& exchange, HttpOutcome outcome) {
    const HttpCompletion completion =
        std::exchange(exchange->completion, nullptr);
    if (!completion) {
      return;
    }
    m_active.erase(exchange->position);
    completion(std::move(outcome));
  }

  static void Drop(ConnectionPointer& connection) {
    if (connection != nullptr) {
      asio::error_code ignored;
      connection->socket.close(ignored);
      connection = nullptr;
    }
  }

  void ArmTimer() {
    if (m_timer_armed) {
      return;
    }
    m_timer_armed = true;
    m_timer.expires_after(kDeadlineTick);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& e) {
      self->m_timer_armed = false;
      if (!e && !self->m_shut_down) {
        self->CheckDeadlines();
      }
    });
  }

  void CheckDeadlines() {
    const auto now = steady_clock::now();
    std::vector<ExchangePointer> late;
    for (const auto& exchange : m_active) {
      if (now >= std::min(exchange->deadline, exchange->connect_deadline)) {
        late.push_back(exchange);
      }
    }
    for (const auto& exchange : late) {
      if (exchange->completion) {
        Fail(exchange, "timed out waiting for a connection or a response",
             true);
      }
    }
    if (!m_active.empty()) {
      ArmTimer();
    }
  }

  asio::io_context& m_context;
  HttpClientOptions m_options;
  asio::steady_timer m_timer;
  bool m_timer_armed = false;
  bool m_shut_down = false;
  std::list<ExchangePointer> m_active;
  std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

LoopClient::LoopClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

LoopClient::~LoopClient() {
  m_impl->ShutDown();
}

std::unique_ptr<LoopClient> LoopClient::Create(asio::io_context& context,
                                               HttpClientOptions options) {
  return std::unique_ptr<LoopClient>(
      new LoopClient(std::make_shared<Impl>(context, options)));
}

void LoopClient::Start(HttpCall call, HttpCompletion completion) {
  m_impl->Start(std::move(call), std::move(completion));
}

}  // namespace cassiastile::wire
