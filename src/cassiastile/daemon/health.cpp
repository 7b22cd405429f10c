#include "cassiastile/daemon/health.hpp"

#include <utility>

namespace cassiastile::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

wire::HttpResponse MakeTextResponse(int status, std::string text) {
  wire::HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(text);
  return response;
}

}  // namespace

void AddHealthRoutes(wire::Router& router,
                     std::function<bool()> ready,
                     const wire::Metrics& metrics,
                     std::function<void()> update) {
  router.Add("GET", "/healthz",
             [](const wire::HttpRequest&, const wire::HttpResponder& respond) {
               respond(MakeTextResponse(kOk, "ok\n"));
             });
  router.Add("GET", "/readyz",
             [ready = std::move(ready)](const wire::HttpRequest&,
                                        const wire::HttpResponder& respond) {
               const bool is_ready = ready();
               respond(MakeTextResponse(is_ready ? kOk : kServiceUnavailable,
                                        is_ready ? "ready\n" : "not ready\n"));
             });
  router.Add("GET", "/metrics",
             [&metrics, update = std::move(update)](
                 const wire::HttpRequest&, const wire::HttpResponder& respond) {
               update();
               respond(MakeTextResponse(kOk, metrics.Expose()));
             });
}

}  // namespace cassiastile::daemon
