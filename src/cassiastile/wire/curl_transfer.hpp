#pragma once

#include <curl/curl.h>

#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::wire {

// What one call keeps while it is under way.
struct Transfer {
  HttpCall call;
  HttpCompletion completion;
  HttpResponse response;
  curl_slist* headers = nullptr;
  CURL* handle = nullptr;
  bool too_long = false;
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

// Sets up the easy handle of a call. The transfer must not move afterwards.
void Prepare(Transfer& transfer, const HttpClientOptions& options);

// What became of a finished transfer.
HttpOutcome MakeOutcome(Transfer& transfer, CURLcode code);

// Initializes the library once for the process.
void InitializeCurl();

}  // namespace cassiastile::wire
