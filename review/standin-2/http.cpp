#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <set>
#include <sstream>

namespace review {

namespace {

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string DecodePercent(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void ParseTarget(const std::string& target, HttpRequest& request) {
  const auto mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) {
    return;
  }
  std::istringstream pairs(target.substr(mark + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query[pair.substr(0, equals)] =
          DecodePercent(pair.substr(equals + 1));
    }
  }
}

std::map<std::string, std::string> ParseHeaders(std::istream& lines) {
  std::map<std::string, std::string> headers;
  for (std::string line; std::getline(lines, line) && line != "\r";) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    const auto begin = value.find_first_not_of(" \t");
    const auto end = value.find_last_not_of(" \t\r");
    headers[Lower(line.substr(0, colon))] =
        begin == std::string::npos ? "" : value.substr(begin, end - begin + 1);
  }
  return headers;
}

std::size_t LengthOf(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::stoul(found->second);
}

}  // namespace

awaitable<void> Sleep(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

struct HttpServer::State {
  explicit State(asio::io_context& io) : context(io), acceptor(io) {}

  void Listen(std::uint16_t port) {
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  HttpHandler handler;
  std::set<std::shared_ptr<tcp::socket>> sockets;
};

HttpServer::HttpServer(asio::io_context& context, HttpHandler handler)
    : m_state(std::make_shared<State>(context)) {
  m_state->handler = std::move(handler);
  m_state->Listen(0);
  m_port = m_state->acceptor.local_endpoint().port();
  asio::co_spawn(context, Accept(m_state), asio::detached);
}

HttpServer::~HttpServer() {
  SetListening(false);
}

void HttpServer::SetListening(bool listens) {
  if (listens == m_state->acceptor.is_open()) {
    return;
  }
  if (listens) {
    m_state->Listen(m_port);
    asio::co_spawn(m_state->context, Accept(m_state), asio::detached);
    return;
  }
  asio::error_code ignored;
  m_state->acceptor.close(ignored);
  for (const auto& socket : m_state->sockets) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

awaitable<void> HttpServer::Accept(std::shared_ptr<State> state) {
  try {
    while (state->acceptor.is_open()) {
      auto socket = std::make_shared<tcp::socket>(state->context);
      co_await state->acceptor.async_accept(*socket, asio::use_awaitable);
      state->sockets.insert(socket);
      asio::co_spawn(state->context, Serve(state, socket), asio::detached);
    }
  } catch (const std::exception&) {
    // The acceptor was closed.
  }
}

awaitable<void> HttpServer::Serve(std::shared_ptr<State> state,
                                  std::shared_ptr<tcp::socket> socket) {
  try {
    socket->set_option(tcp::no_delay(true));
    std::string buffer;
    while (true) {
      const std::size_t head =
          co_await asio::async_read_until(*socket, asio::dynamic_buffer(buffer),
                                          "\r\n\r\n", asio::use_awaitable);
      std::istringstream lines(buffer.substr(0, head));
      buffer.erase(0, head);
      HttpRequest request;
      std::string target;
      std::string first;
      std::getline(lines, first);
      std::istringstream(first) >> request.method >> target;
      ParseTarget(target, request);
      request.headers = ParseHeaders(lines);
      if (request.headers.contains("expect")) {
        co_await asio::async_write(
            *socket, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")),
            asio::use_awaitable);
      }
      const std::size_t length = LengthOf(request.headers);
      if (buffer.size() < length) {
        co_await asio::async_read(
            *socket, asio::dynamic_buffer(buffer),
            asio::transfer_exactly(length - buffer.size()),
            asio::use_awaitable);
      }
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      const HttpResponse response = co_await state->handler(std::move(request));
      if (response.is_dropped) {
        break;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response.status) +
          " -\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
      co_await asio::async_write(*socket, asio::buffer(text),
                                 asio::use_awaitable);
    }
  } catch (const std::exception&) {
    // The peer has closed the connection, or the server does.
  }
  state->sockets.erase(socket);
}

awaitable<std::optional<HttpResponse>> Call(
    std::string endpoint,
    std::string method,
    std::string target,
    std::vector<std::pair<std::string, std::string>> headers,
    std::string body,
    milliseconds timeout) {
  const auto executor = co_await asio::this_coro::executor;
  auto socket = std::make_shared<tcp::socket>(executor);
  asio::steady_timer timer(executor, timeout);
  timer.async_wait([weak = std::weak_ptr(socket)](asio::error_code error) {
    if (const auto open = weak.lock(); open && !error) {
      asio::error_code ignored;
      open->close(ignored);
    }
  });
  try {
    const auto colon = endpoint.find(':');
    co_await socket->async_connect(
        {asio::ip::make_address(endpoint.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1)))},
        asio::use_awaitable);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    text +=
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    co_await asio::async_write(*socket, asio::buffer(text),
                               asio::use_awaitable);
    std::string buffer;
    const std::size_t head = co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
    std::istringstream lines(buffer.substr(0, head));
    buffer.erase(0, head);
    HttpResponse response;
    std::string first;
    std::getline(lines, first);
    std::string version;
    std::istringstream(first) >> version >> response.status;
    const std::size_t length = LengthOf(ParseHeaders(lines));
    if (buffer.size() < length) {
      co_await asio::async_read(*socket, asio::dynamic_buffer(buffer),
                                asio::transfer_exactly(length - buffer.size()),
                                asio::use_awaitable);
    }
    response.body = buffer.substr(0, length);
    co_return response;
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

}  // namespace review
