#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cassiastile/wire/http_server.hpp"

namespace cassiastile::operators {

// A fake control process for tests. It answers each call as set for its method,
// path and query, with 404 if nothing is set, and records the calls.
// Thread-safe.
class FakeControl {
 public:
  struct Call {
    std::string method;
    std::string target;  // The path and the query.
    std::string authorization;
    std::string body;
  };

  FakeControl() {
    wire::Router router;
    router.Add("*", "/*rest",
               [this](const wire::HttpRequest& request,
                      const wire::HttpResponder& respond) {
                 respond(Answer(request));
               });
    m_server = std::move(*wire::HttpServer::Start({}, std::move(router)));
  }

  // Sets the answer to a method and target, such as "GET /v1/audit?since=12".
  void SetAnswer(const std::string& method_and_target,
                 int status,
                 const nlohmann::json& body) {
    const std::scoped_lock lock(m_mutex);
    m_answers[method_and_target] = {status, {}, body.dump()};
  }

  // Sets the document in force and its version.
  void SetDocument(std::uint64_t version, const std::string& text) {
    SetAnswer("GET /v1/config", 200, {{"version", version}, {"text", text}});
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_server->Port());
  }

  // All calls so far, in the order of arrival.
  std::vector<Call> Calls() const {
    const std::scoped_lock lock(m_mutex);
    return m_calls;
  }

 private:
  wire::HttpResponse Answer(const wire::HttpRequest& request) {
    const std::string target =
        request.path + (request.query.empty() ? "" : "?" + request.query);
    const std::scoped_lock lock(m_mutex);
    m_calls.push_back(
        {request.method, target,
         wire::FindHeader(request.headers, "Authorization").value_or(""),
         request.body});
    const auto found = m_answers.find(request.method + " " + target);
    return found == m_answers.end()
               ? wire::HttpResponse{404, {}, R"({"title": "Not found."})"}
               : found->second;
  }

  mutable std::mutex m_mutex;
  std::map<std::string, wire::HttpResponse> m_answers;
  std::vector<Call> m_calls;
  // Destroyed first, as its threads use the members above.
  std::unique_ptr<wire::HttpServer> m_server;
};

}  // namespace cassiastile::operators
