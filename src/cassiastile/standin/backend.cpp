#include "cassiastile/standin/backend.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <sys/socket.h>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "backend_http.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxHeaderBytes = 64U << 10U;
// The timeout of a request that names none.
constexpr std::chrono::seconds kDefaultTimeout{60};
// How long after the timeout a late answer is sent.
constexpr std::chrono::milliseconds kLateness{200};
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

}  // namespace

class Backend::Impl {
 public:
  explicit Impl(BackendOptions options)
      : m_options(std::move(options)), m_acceptor(m_context) {}

  base::Result<void> Open() {
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(m_options.address),
                                   m_options.port);
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(tcp::acceptor::reuse_address(true));
      m_acceptor.bind(endpoint);
      m_acceptor.listen();
      m_port = m_acceptor.local_endpoint().port();
    } catch (const std::system_error& error) {
      return base::Fail(
          base::ErrorCode::kUnavailable,
          std::string("The runner can't listen on its address: ") +
              error.what());
    }
    m_thread = std::thread([this] { Accept(); });
    return {};
  }

  void Close() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    for (Connection& connection : m_open) {
      ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
    }
    for (Connection& connection : m_open) {
      connection.thread.join();
    }
  }

  std::string Address() const {
    return m_options.address + ":" + std::to_string(m_port);
  }

  void SetFault(BackendFault fault, std::uint32_t count) {
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_fault_count = count;
  }

  void SetServiceTime(std::chrono::milliseconds service_time) {
    const std::lock_guard lock(m_mutex);
    m_options.service_time = service_time;
  }

  void BlackholeConnections() {
    const std::lock_guard lock(m_mutex);
    m_blackholed_before = m_next_connection;
  }

  std::vector<LoggedExecution> Log() const {
    const std::lock_guard lock(m_mutex);
    return m_log;
  }

  BackendCounts Counts() const {
    const std::lock_guard lock(m_mutex);
    return m_counts;
  }

 private:
  // A connection and the thread that serves it.
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::uint64_t number = 0;
    std::atomic<bool> done{false};
    std::thread thread;
  };

  void Accept() {
    while (true) {
      asio::error_code error;
      tcp::socket socket(m_context);
      m_acceptor.accept(socket, error);
      if (error) {
        return;
      }
      RemoveDone();
      Connection& opened = m_open.emplace_back(std::move(socket));
      opened.number = OpenConnection();
      opened.thread = std::thread([this, &opened] { Serve(opened); });
    }
  }

  void RemoveDone() {
    m_open.remove_if([](Connection& connection) {
      if (!connection.done.load()) {
        return false;
      }
      connection.thread.join();
      return true;
    });
  }

  // Counts a new connection and returns its number.
  std::uint64_t OpenConnection() {
    const std::lock_guard lock(m_mutex);
    ++m_connections;
    m_counts.peak_connections =
        std::max(m_counts.peak_connections, m_connections);
    return m_next_connection++;
  }

  void CloseConnection() {
    const std::lock_guard lock(m_mutex);
    --m_connections;
  }

  bool IsBlackholed(std::uint64_t connection) const {
    const std::lock_guard lock(m_mutex);
    return connection < m_blackholed_before;
  }

  void Serve(Connection& connection) {
    tcp::socket& socket = connection.socket;
    try {
      std::string buffer;
      bool kept = true;
      while (kept) {
        const ReceivedRequest received = Receive(socket, buffer);
        if (IsBlackholed(connection.number)) {
          DiscardInput(socket);
        }
        kept = Answer(socket, received);
      }
    } catch (const std::system_error&) {
      // The peer has closed the connection.
    }
    CloseConnection();
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    connection.done.store(true);
  }

  // Reads and discards input until the peer closes the connection, which
  // throws.
  static void DiscardInput(tcp::socket& socket) {
    constexpr std::size_t kChunk = 4096;
    std::string ignored(kChunk, '\0');
    while (true) {
      socket.read_some(asio::buffer(ignored));
    }
  }

  static ReceivedRequest Receive(tcp::socket& socket, std::string& buffer) {
    const std::size_t header_end = asio::read_until(
        socket, asio::dynamic_buffer(buffer, kMaxHeaderBytes), kHeaderEnd);
    ReceivedRequest received;
    ParseHeader(std::string_view(buffer).substr(0, header_end - 2), received);
    buffer.erase(0, header_end);
    const auto length = static_cast<std::size_t>(
        ParseNumberOr(wire::FindHeader(received.headers, "Content-Length"), 0));
    if (buffer.size() < length) {
      asio::read(socket, asio::dynamic_buffer(buffer),
                 asio::transfer_exactly(length - buffer.size()));
    }
    received.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return received;
  }

  // Frees the slot of a request once, when its work ends or when it goes out of
  // scope.
  class WorkGuard {
   public:
    explicit WorkGuard(Impl& owner) : m_backend(&owner) {}
    WorkGuard(const WorkGuard&) = delete;
    WorkGuard& operator=(const WorkGuard&) = delete;
    ~WorkGuard() { End(); }

    void End() {
      if (Impl* backend = std::exchange(m_backend, nullptr)) {
        backend->EndWork();
      }
    }

   private:
    Impl* m_backend;
  };

  // Answers a request. Returns false when the connection must be closed.
  bool Answer(tcp::socket& socket, const ReceivedRequest& received) {
    if (received.path == "/healthz") {
      return Write(socket, FormatResponse("", "ok"));
    }
    if (received.path.starts_with("/admin/")) {
      return Write(socket, FormatResponse("", HandleAdminRequest(received)));
    }
    const BackendFault fault = StartWork(received);
    WorkGuard guard(*this);
    return Work(socket, received, fault, guard);
  }

  bool Work(tcp::socket& socket,
            const ReceivedRequest& received,
            BackendFault fault,
            WorkGuard& guard) {
    const std::chrono::milliseconds stop(
        ParseNumberOr(wire::FindHeader(received.headers, "Request-Timeout-Ms"),
                      std::chrono::milliseconds(kDefaultTimeout).count()));
    const std::chrono::milliseconds service = ServiceTime();
    if (fault == BackendFault::kStall || service >= stop) {
      Wait(stop);
      return false;
    }
    if (fault == BackendFault::kReset) {
      Reset(socket);
    }
    Wait(fault == BackendFault::kLate ? stop + kLateness : service);
    // The caller may send the next request as soon as it has the answer.
    guard.End();
    const std::string id =
        wire::FindHeader(received.headers, "X-Request-Id").value_or("");
    if (fault == BackendFault::kNone || fault == BackendFault::kLate) {
      return Write(socket, FormatResponse(id, received.body));
    }
    const std::string answer = FormatFaultyResponse(fault, id, received.body);
    if (!answer.empty()) {
      Write(socket, answer);
    }
    return fault == BackendFault::kOverLong;
  }

  // Makes the kernel send a TCP reset. The descriptor stays open, as Close
  // still uses it.
  static void Reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(
        ::connect(socket.native_handle(), &unspecified, sizeof unspecified));
  }

  static bool Write(tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
    return true;
  }

  // Waits for a time, or until the runner is closed.
  void Wait(std::chrono::milliseconds length) {
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, length, [this] { return m_stopping; });
  }

  std::chrono::milliseconds ServiceTime() const {
    const std::lock_guard lock(m_mutex);
    return m_options.service_time;
  }

  BackendFault StartWork(const ReceivedRequest& received) {
    const std::lock_guard lock(m_mutex);
    ++m_running;
    m_counts.peak_running = std::max(m_counts.peak_running, m_running);
    m_counts.starts_over_slots += m_running > m_options.slots ? 1 : 0;
    LoggedExecution execution;
    execution.method = received.method;
    execution.path = received.path;
    execution.body = received.body;
    execution.request_id =
        wire::FindHeader(received.headers, "X-Request-Id").value_or("");
    execution.caller_id =
        wire::FindHeader(received.headers, "Caller-Id").value_or("");
    m_log.push_back(std::move(execution));
    if (m_fault_count == 0) {
      return BackendFault::kNone;
    }
    --m_fault_count;
    return m_fault;
  }

  void EndWork() {
    const std::lock_guard lock(m_mutex);
    --m_running;
  }

  // Handles a request to the admin path and returns the body of the answer.
  std::string HandleAdminRequest(const ReceivedRequest& received) {
    if (received.path == "/admin/log") {
      return LogAsJson();
    }
    const auto json = nlohmann::json::parse(received.body, nullptr, false);
    if (!json.is_object()) {
      return "not understood";
    }
    if (json.contains("service_ms")) {
      SetServiceTime(std::chrono::milliseconds(json["service_ms"].get<int>()));
    }
    if (json.value("silence", false)) {
      BlackholeConnections();
    }
    const auto fault = FindBackendFault(json.value("fault", "none"));
    SetFault(fault.value_or(BackendFault::kNone), json.value("count", 0U));
    return "done";
  }

  std::string LogAsJson() const {
    nlohmann::json json = nlohmann::json::array();
    for (const LoggedExecution& execution : Log()) {
      json.push_back({{"method", execution.method},
                      {"path", execution.path},
                      {"request_id", execution.request_id},
                      {"caller_id", execution.caller_id}});
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }

  BackendOptions m_options;
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
  std::list<Connection> m_open;  // Used by the accepting thread, then by Close.
  std::uint16_t m_port = 0;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::vector<LoggedExecution> m_log;
  BackendCounts m_counts;
  BackendFault m_fault = BackendFault::kNone;
  std::uint32_t m_fault_count = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_connections = 0;
  std::uint64_t m_next_connection = 0;
  std::uint64_t m_blackholed_before = 0;  // Connections with lower numbers.
};

Backend::Backend(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Backend::~Backend() {
  m_impl->Close();
}

base::Result<std::unique_ptr<Backend>> Backend::Start(BackendOptions options) {
  auto impl = std::make_shared<Impl>(std::move(options));
  const base::Result<void> opened = impl->Open();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<Backend>(new Backend(std::move(impl)));
}

std::string Backend::Address() const {
  return m_impl->Address();
}

void Backend::SetFault(BackendFault fault, std::uint32_t count) {
  m_impl->SetFault(fault, count);
}

void Backend::SetServiceTime(std::chrono::milliseconds service_time) {
  m_impl->SetServiceTime(service_time);
}

void Backend::BlackholeConnections() {
  m_impl->BlackholeConnections();
}

std::vector<LoggedExecution> Backend::Log() const {
  return m_impl->Log();
}

BackendCounts Backend::Counts() const {
  return m_impl->Counts();
}

}  // namespace cassiastile::standin
