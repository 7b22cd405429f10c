#include "http.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 65536;

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char each) {
    return static_cast<char>(std::tolower(each));
  });
  return text;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      int value = 0;
      std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

void ParseTarget(const std::string& target, Request& request) {
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) {
    return;
  }
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    request.query[DecodePercent(pair.substr(0, equals))] =
        equals == std::string::npos ? ""
                                    : DecodePercent(pair.substr(equals + 1));
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
}

std::map<std::string, std::string> ParseHeaders(const std::string& text) {
  std::map<std::string, std::string> headers;
  std::size_t at = text.find("\r\n");
  while (at != std::string::npos && at + 2 < text.size()) {
    const std::size_t begin = at + 2;
    at = text.find("\r\n", begin);
    const std::string line = text.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return headers;
}

std::size_t LengthOf(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::stoul(found->second);
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Reads into `buffer` until it has one whole message. Returns the size of its
// head, or 0 if the connection ended before.
std::size_t ReadMessage(int socket, std::string& buffer) {
  std::array<char, kReadBytes> bytes{};
  while (true) {
    const std::size_t head = buffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      const auto headers = ParseHeaders(buffer.substr(0, head + 2));
      if (buffer.size() >= head + 4 + LengthOf(headers)) {
        return head;
      }
    }
    const ssize_t size = recv(socket, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return 0;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(size));
  }
}

void CloseWithReset(int socket) {
  const linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(socket);
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool Bind(int socket, std::uint16_t port) {
  const sockaddr_in address = Loopback(port);
  return bind(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
}

std::string Write(const Response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                     " x\r\nContent-Type: application/json\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

}  // namespace

std::string Request::Header(const std::string& name) const {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? "" : found->second;
}

std::string Request::Query(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

struct Server::State {
  std::mutex mutex;
  int listener = -1;
  bool closed = false;
  std::set<int> connections;
  Handler handler;

  void Serve(int socket) {
    std::string buffer;
    while (const std::size_t head = ReadMessage(socket, buffer)) {
      Request request;
      const std::size_t first = buffer.find(' ');
      const std::size_t second = buffer.find(' ', first + 1);
      request.method = buffer.substr(0, first);
      ParseTarget(buffer.substr(first + 1, second - first - 1), request);
      request.headers = ParseHeaders(buffer.substr(0, head + 2));
      const std::size_t length = LengthOf(request.headers);
      request.body = buffer.substr(head + 4, length);
      buffer.erase(0, head + 4 + length);
      const Response response = handler(request);
      const std::scoped_lock lock(mutex);
      if (closed || response.breaks_off || !SendAll(socket, Write(response))) {
        break;
      }
    }
    const std::scoped_lock lock(mutex);
    connections.erase(socket);
    CloseWithReset(socket);
  }
};

Server::Server(std::uint16_t port, Handler handler)
    : m_state(std::make_shared<State>()) {
  m_state->handler = std::move(handler);
  m_state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(m_state->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (!Bind(m_state->listener, port) || listen(m_state->listener, 256) != 0) {
    throw std::runtime_error("can't listen on port " + std::to_string(port));
  }
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(m_state->listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_accepting = std::thread([state = m_state] {
    while (true) {
      const int socket =
          accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const int yes_delay = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes_delay,
                 sizeof yes_delay);
      const std::scoped_lock lock(state->mutex);
      if (state->closed) {
        CloseWithReset(socket);
        return;
      }
      state->connections.insert(socket);
      std::thread([state, socket] { state->Serve(socket); }).detach();
    }
  });
}

Server::~Server() {
  Close();
}

void Server::Close() {
  {
    const std::scoped_lock lock(m_state->mutex);
    if (m_state->closed) {
      return;
    }
    m_state->closed = true;
    shutdown(m_state->listener, SHUT_RDWR);
    for (const int socket : m_state->connections) {
      // Wakes its thread, which closes it.
      shutdown(socket, SHUT_RDWR);
    }
  }
  m_accepting.join();
  close(m_state->listener);
}

std::optional<Response> Call(std::uint16_t port,
                             const std::string& method,
                             const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body,
                             int timeout_ms) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000,
                      std::int64_t{timeout_ms % 1000} * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = Loopback(port);
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
  std::optional<Response> response;
  std::string buffer;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0 &&
      SendAll(connection, text)) {
    if (const std::size_t head = ReadMessage(connection, buffer)) {
      response.emplace();
      response->status = std::stoi(buffer.substr(buffer.find(' ') + 1, 3));
      response->headers = ParseHeaders(buffer.substr(0, head + 2));
      response->body = buffer.substr(head + 4, LengthOf(response->headers));
    }
  }
  close(connection);
  return response;
}

std::uint16_t FreePort() {
  constexpr int kLowest = 10000;
  constexpr int kHighest = 32000;
  // Processes that run side by side begin far apart.
  constexpr int kBlock = 200;
  static int next =
      kLowest + (getpid() % ((kHighest - kLowest) / kBlock)) * kBlock;
  for (int tries = 0; tries < kHighest - kLowest; ++tries) {
    next = next + 1 < kHighest ? next + 1 : kLowest;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool free = Bind(probe, static_cast<std::uint16_t>(next));
    close(probe);
    if (free) {
      return static_cast<std::uint16_t>(next);
    }
  }
  throw std::runtime_error("no free port");
}

}  // namespace review
