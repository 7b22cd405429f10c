#include "cassiastile/wire/loop_client.hpp"

#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include "curl_transfer.hpp"

namespace cassiastile::wire {

namespace {

// A socket of the library that the loop watches on its behalf.
struct WatchedSocket {
  asio::posix::stream_descriptor descriptor;
  int wanted = 0;
  bool reading = false;
  bool writing = false;

  WatchedSocket(asio::io_context& context, curl_socket_t socket)
      : descriptor(context, socket) {}
  // The library owns the socket and closes it.
  ~WatchedSocket() { descriptor.release(); }
  WatchedSocket(const WatchedSocket&) = delete;
  WatchedSocket& operator=(const WatchedSocket&) = delete;
};

using SocketPointer = std::shared_ptr<WatchedSocket>;

}  // namespace

class LoopClient::Impl {
 public:
  Impl(asio::io_context& context, HttpClientOptions options)
      : m_context(context), m_options(options), m_timer(context) {
    InitializeCurl();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.max_connections_per_host));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxKeptConnections);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  }

  ~Impl() {
    *m_alive = false;
    for (const auto& [handle, transfer] : m_active) {
      curl_multi_remove_handle(m_multi, handle);
    }
    m_active.clear();
    curl_multi_cleanup(m_multi);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(HttpCall call, HttpCompletion completion) {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->completion = std::move(completion);
    Prepare(*transfer, m_options);
    CURL* handle = transfer->handle;
    m_active.emplace(handle, std::move(transfer));
    curl_multi_add_handle(m_multi, handle);
  }

 private:
  // Enough for two connections to each worker of a few pools.
  static constexpr long kMaxKeptConnections = 512;

  static int OnSocket(CURL*,
                      curl_socket_t socket,
                      int what,
                      void* user,
                      void*) {
    auto* self = static_cast<Impl*>(user);
    if (what == CURL_POLL_REMOVE) {
      const auto found = self->m_sockets.find(socket);
      if (found != self->m_sockets.end()) {
        found->second->wanted = 0;
        found->second->descriptor.release();
        self->m_sockets.erase(found);
      }
      return 0;
    }
    SocketPointer& watched = self->m_sockets[socket];
    if (!watched) {
      watched = std::make_shared<WatchedSocket>(self->m_context, socket);
    }
    watched->wanted = what;
    self->Watch(socket, watched);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user) {
    auto* self = static_cast<Impl*>(user);
    self->m_timer.cancel();
    if (timeout_ms < 0) {
      return 0;
    }
    self->m_timer.expires_after(std::chrono::milliseconds(timeout_ms));
    self->m_timer.async_wait(
        [self, alive = self->m_alive](const asio::error_code& error) {
          if (!error && *alive) {
            self->Act(CURL_SOCKET_TIMEOUT, 0);
          }
        });
    return 0;
  }

  void Watch(curl_socket_t socket, const SocketPointer& watched) {
    if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->reading) {
      watched->reading = true;
      watched->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, socket, watched, alive = m_alive](const asio::error_code& e) {
            watched->reading = false;
            OnReady(*alive, socket, watched, CURL_CSELECT_IN, e);
          });
    }
    if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->writing) {
      watched->writing = true;
      watched->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, socket, watched, alive = m_alive](const asio::error_code& e) {
            watched->writing = false;
            OnReady(*alive, socket, watched, CURL_CSELECT_OUT, e);
          });
    }
  }

  void OnReady(bool alive,
               curl_socket_t socket,
               const SocketPointer& watched,
               int event,
               const asio::error_code& error) {
    if (!alive || error == asio::error::operation_aborted) {
      return;
    }
    const auto found = m_sockets.find(socket);
    if (found == m_sockets.end() || found->second != watched) {
      return;
    }
    Act(socket, error ? CURL_CSELECT_ERR : event);
    const auto still = m_sockets.find(socket);
    if (still != m_sockets.end() && still->second == watched) {
      Watch(socket, watched);
    }
  }

  void Act(curl_socket_t socket, int event) {
    int running = 0;
    curl_multi_socket_action(m_multi, socket, event, &running);
    FinishDone();
  }

  void FinishDone() {
    int left = 0;
    const std::shared_ptr<bool> alive = m_alive;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
        if (!*alive) {
          return;
        }
      }
    }
  }

  void Finish(CURL* handle, CURLcode code) {
    const auto found = m_active.find(handle);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_active.erase(found);
    curl_multi_remove_handle(m_multi, handle);
    transfer->completion(MakeOutcome(*transfer, code));
  }

  asio::io_context& m_context;
  HttpClientOptions m_options;
  asio::steady_timer m_timer;
  CURLM* m_multi = nullptr;
  std::unordered_map<curl_socket_t, SocketPointer> m_sockets;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_active;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

LoopClient::LoopClient(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
LoopClient::~LoopClient() = default;

std::unique_ptr<LoopClient> LoopClient::Create(asio::io_context& context,
                                               HttpClientOptions options) {
  return std::unique_ptr<LoopClient>(
      new LoopClient(std::make_unique<Impl>(context, options)));
}

void LoopClient::Start(HttpCall call, HttpCompletion completion) {
  m_impl->Start(std::move(call), std::move(completion));
}

}  // namespace cassiastile::wire
