#pragma once

#include <curl/curl.h>

#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::wire {

// The state of one call in progress.
struct Transfer {
  HttpCall call;
  HttpCompletion completion;
  HttpResponse response;
  curl_slist* headers = nullptr;
  CURL* handle = nullptr;
  bool body_too_large = false;
  long unacknowledged_ms = 0;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_slist_free_all(headers);
    if (handle != nullptr) {
      curl_easy_cleanup(handle);
    }
  }
};

// Sets up the curl easy handle of a call. The handle points into the transfer,
// which must not move afterwards.
void Prepare(Transfer& transfer, const HttpClientOptions& options);

// The outcome of a finished transfer.
HttpOutcome MakeOutcome(Transfer& transfer, CURLcode code);

// Initializes libcurl once per process.
void InitializeCurl();

}  // namespace cassiastile::wire
