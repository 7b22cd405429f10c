#include "curl_transfer.hpp"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cassiastile::wire {

namespace {

// A return value other than the size given makes libcurl abort the transfer.
std::size_t AppendBody(char* data, std::size_t, std::size_t size, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->response.body.size() + size > transfer->call.max_body_bytes) {
    transfer->body_too_large = true;
    return 0;
  }
  transfer->response.body.append(data, size);
  return size;
}

std::size_t AppendHeader(char* data,
                         std::size_t,
                         std::size_t size,
                         void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  std::string_view line(data, size);
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
    line.remove_suffix(1);
  }
  if (line.starts_with("HTTP/")) {
    // Each response has a status line; headers of an interim response (1xx)
    // don't count.
    transfer->response.headers.clear();
    return size;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return size;
  }
  const std::size_t start = line.find_first_not_of(" \t", colon + 1);
  transfer->response.headers.emplace_back(
      line.substr(0, colon),
      start == std::string_view::npos ? "" : line.substr(start));
  return size;
}

int SetSocketOptions(void* user, curl_socket_t socket, curlsocktype) {
  const auto* transfer = static_cast<const Transfer*>(user);
  const auto timeout = static_cast<unsigned>(transfer->unacknowledged_ms);
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  return CURL_SOCKOPT_OK;
}

// Whether the response marks the end of its body.
bool IsFramed(const Transfer& transfer) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const HttpResponse& response = transfer.response;
  if (transfer.call.method == "HEAD" || response.status == kNoContent ||
      response.status == kNotModified) {
    return true;
  }
  return FindHeader(response.headers, "Content-Length").has_value() ||
         FindHeader(response.headers, "Transfer-Encoding").has_value();
}

// Nothing is sent before the connection is made. A reused connection has a
// connect time of zero, but its call has a time before transfer.
SendState SendStateOf(CURL* handle) {
  curl_off_t connect_micros = 0;
  curl_off_t before_transfer_micros = 0;
  curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connect_micros);
  curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T,
                    &before_transfer_micros);
  const bool connected = connect_micros > 0 || before_transfer_micros > 0;
  return connected ? SendState::kMaybeSent : SendState::kNotSent;
}

}  // namespace

HttpOutcome MakeOutcome(Transfer& transfer, CURLcode code) {
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    transfer.response.framed = IsFramed(transfer);
    return std::move(transfer.response);
  }
  HttpFailure failure;
  failure.state = SendStateOf(transfer.handle);
  failure.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  failure.message = transfer.body_too_large
                        ? "the response exceeds the size limit"
                        : curl_easy_strerror(code);
  return tl::unexpected(failure);
}

namespace {

void ApplyMethod(Transfer& transfer) {
  const HttpCall& call = transfer.call;
  if (call.method == "HEAD") {
    curl_easy_setopt(transfer.handle, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(transfer.handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  if (call.body.empty() && (call.method == "GET" || call.method == "DELETE")) {
    return;
  }
  curl_easy_setopt(transfer.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.body.size()));
  curl_easy_setopt(transfer.handle, CURLOPT_POSTFIELDS, call.body.c_str());
}

void ApplyHeaders(Transfer& transfer) {
  // Without this libcurl waits for "100 Continue" before it sends a long body.
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  for (const auto& [name, value] : transfer.call.headers) {
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    transfer.headers = curl_slist_append(transfer.headers, line.c_str());
  }
  curl_easy_setopt(transfer.handle, CURLOPT_HTTPHEADER, transfer.headers);
}

}  // namespace

void Prepare(Transfer& transfer, const HttpClientOptions& options) {
  transfer.handle = curl_easy_init();
  transfer.unacknowledged_ms =
      static_cast<long>(options.unacknowledged_timeout.count());
  CURL* handle = transfer.handle;
  const HttpCall& call = transfer.call;
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   std::max(1L, static_cast<long>(call.timeout.count())));
  curl_easy_setopt(
      handle, CURLOPT_CONNECTTIMEOUT_MS,
      std::max(1L, static_cast<long>(call.connect_timeout.count())));
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options.max_idle.count()));
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, SetSocketOptions);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
  if (call.fresh_connection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  ApplyMethod(transfer);
  ApplyHeaders(transfer);
}

void InitializeCurl() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialized);
}

}  // namespace cassiastile::wire
