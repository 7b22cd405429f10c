// A small HTTP/1.1 server and client on loopback, with a thread a connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::string body = "{}";
  std::map<std::string, std::string> headers;
  // Closes the connection instead of answering.
  bool breaks_off = false;
};

// Serves until it is closed. Handlers run on the threads of the connections and
// may block.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  // Listens on the loopback address; port 0 picks a free one.
  Server(std::uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return m_port; }

  // Closes the port and resets all connections, as the end of a process does.
  void Close();

 private:
  struct State;

  std::shared_ptr<State> m_state;
  std::uint16_t m_port = 0;
  std::thread m_accepting;
};

// Sends one request on a new connection. Null if no whole answer came in time.
std::optional<Response> Call(std::uint16_t port,
                             const std::string& method,
                             const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body,
                             int timeout_ms);

// A port on loopback that nothing listens on, below the ephemeral ones.
std::uint16_t FreePort();

}  // namespace review
