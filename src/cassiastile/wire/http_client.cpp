#include "cassiastile/wire/http_client.hpp"

#include <algorithm>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "cassiastile/base/enum_names.hpp"
#include "curl_transfer.hpp"

namespace cassiastile::wire {

namespace {

constexpr std::array<base::EnumName<SendState>, 2> kSendNames{{
    {SendState::kNotSent, "not-sent"},
    {SendState::kMaybeSent, "maybe-sent"},
}};

constexpr int kPollMillis = 1000;

}  // namespace

std::string_view NameOf(SendState state) {
  return base::FindName(kSendNames, state);
}

// One thread with its own connection pool.
class HttpClient::ClientThread {
 public:
  explicit ClientThread(const HttpClientOptions& options)
      : m_options(options), m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.max_connections_per_host));
    m_thread = std::thread([this] { Run(); });
  }

  ~ClientThread() {
    m_stopping.store(true);
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
  }

  ClientThread(const ClientThread&) = delete;
  ClientThread& operator=(const ClientThread&) = delete;

  void Start(HttpCall call, HttpCompletion completion) {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->completion = std::move(completion);
    {
      const std::lock_guard lock(m_mutex);
      m_waiting.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_multi);
  }

 private:
  void Run() {
    while (!m_stopping.load()) {
      StartWaiting();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      FinishCompleted();
      curl_multi_poll(m_multi, nullptr, 0, kPollMillis, nullptr);
    }
    FailAll();
  }

  void StartWaiting() {
    std::deque<std::unique_ptr<Transfer>> waiting;
    {
      const std::lock_guard lock(m_mutex);
      waiting.swap(m_waiting);
    }
    for (auto& transfer : waiting) {
      Prepare(*transfer, m_options);
      CURL* handle = transfer->handle;
      curl_multi_add_handle(m_multi, handle);
      m_active.emplace(handle, std::move(transfer));
    }
  }

  void FinishCompleted() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* handle, CURLcode code) {
    const auto found = m_active.find(handle);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_active.erase(found);
    curl_multi_remove_handle(m_multi, handle);
    HttpOutcome outcome = MakeOutcome(*transfer, code);
    transfer->completion(std::move(outcome));
  }

  // Fails the calls that are waiting or in progress.
  void FailAll() {
    StartWaiting();
    while (!m_active.empty()) {
      Finish(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
  }

  HttpClientOptions m_options;
  CURLM* m_multi;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::deque<std::unique_ptr<Transfer>> m_waiting;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_active;
  std::thread m_thread;
};

HttpClient::HttpClient(HttpClientOptions options) {
  InitializeCurl();
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options.threads); ++i) {
    m_client_threads.push_back(std::make_unique<ClientThread>(options));
  }
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Create(HttpClientOptions options) {
  return std::unique_ptr<HttpClient>(new HttpClient(options));
}

void HttpClient::Start(HttpCall call, HttpCompletion completion) {
  const std::size_t index = m_next.fetch_add(1) % m_client_threads.size();
  m_client_threads[index]->Start(std::move(call), std::move(completion));
}

HttpOutcome HttpClient::Call(HttpCall call) {
  std::promise<HttpOutcome> promise;
  std::future<HttpOutcome> future = promise.get_future();
  Start(std::move(call), [&promise](HttpOutcome outcome) {
    promise.set_value(std::move(outcome));
  });
  return future.get();
}

}  // namespace cassiastile::wire
