#include "cassiastile/standin/platform_server.hpp"

#include <thread>

#include <nlohmann/json.hpp>

#include "cassiastile/platform/platform_json.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::standin {

namespace {

using nlohmann::json;
using wire::HttpRequest;
using wire::HttpResponse;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr std::chrono::milliseconds kDrainDeadline{2000};

HttpResponse MakeEmptyResponse() {
  HttpResponse response;
  response.status = kNoContent;
  return response;
}

HttpResponse MakeTextResponse(std::string text) {
  HttpResponse response;
  response.headers.emplace_back("Content-Type", "text/plain");
  response.body = std::move(text);
  return response;
}

template <typename Value>
HttpResponse MakeResultResponse(const base::Result<Value>& result,
                                const json& body) {
  if (!result) {
    return wire::MakeErrorResponse(result.error());
  }
  return wire::MakeJsonResponse(kOk, body);
}

HttpResponse MakeNotFoundResponse() {
  return wire::MakeErrorResponse(
      {base::ErrorCode::kNotFound, "No such thing."});
}

std::string QueryText(const HttpRequest& request, const std::string& name) {
  return wire::FindQueryParameter(request, name).value_or("");
}

const std::string& PathText(const HttpRequest& request,
                            const std::string& name) {
  return request.path_parameters.at(name);
}

HttpResponse AnswerCommit(
    const base::Result<std::optional<platform::Commit>>& found) {
  if (found && !*found) {
    return MakeNotFoundResponse();
  }
  return MakeResultResponse(
      found, found ? json{{"sequence", (*found)->sequence}} : json());
}

}  // namespace

PlatformServer::PlatformServer(const base::Clock& clock,
                               PlatformServerOptions options)
    : m_clock(clock), m_options(std::move(options)), m_table(options.seed) {}

base::Result<std::unique_ptr<PlatformServer>> PlatformServer::Start(
    const base::Clock& clock,
    PlatformServerOptions options) {
  std::unique_ptr<PlatformServer> platform(
      new PlatformServer(clock, std::move(options)));
  wire::Router router;
  platform->AddTableRoutes(router);
  platform->AddObjectRoutes(router);
  platform->AddHostRoutes(router);
  platform->AddMachineRoutes(router);
  platform->AddFaultRoutes(router);
  wire::HttpServerOptions server;
  server.address = platform->m_options.address;
  server.port = platform->m_options.port;
  server.threads = platform->m_options.threads;
  auto started = wire::HttpServer::Start(server, std::move(router));
  if (!started) {
    return tl::unexpected(started.error());
  }
  platform->m_server = std::move(*started);
  return platform;
}

std::uint16_t PlatformServer::Port() const {
  return m_server->Port();
}

void PlatformServer::Drain() {
  m_server->Drain(std::chrono::milliseconds(0), kDrainDeadline);
}

platform::MemoryTable& PlatformServer::Table() {
  return m_table;
}

void PlatformServer::AddRoute(
    wire::Router& router,
    const std::string& method,
    const std::string& pattern,
    std::function<HttpResponse(const HttpRequest&)> answer) {
  router.Add(
      method, pattern,
      [this, answer = std::move(answer)](const HttpRequest& request,
                                         const wire::HttpResponder& respond) {
        std::chrono::milliseconds response_delay{0};
        {
          const std::lock_guard lock(m_mutex);
          response_delay = m_response_delay;
        }
        std::this_thread::sleep_for(response_delay);
        try {
          respond(answer(request));
        } catch (const json::exception& error) {
          respond(wire::MakeErrorResponse(
              {base::ErrorCode::kInvalid, error.what()}));
        }
      });
}

void PlatformServer::AddTableRoutes(wire::Router& router) {
  AddRoute(router, "GET", "/v1/table/row", [this](const HttpRequest& request) {
    const auto row = m_table.Get(QueryText(request, "key"));
    if (row && !*row) {
      return MakeNotFoundResponse();
    }
    return MakeResultResponse(row, row ? json(**row) : json());
  });
  AddRoute(router, "GET", "/v1/table/rows", [this](const HttpRequest& request) {
    const auto rows =
        m_table.Scan(QueryText(request, "prefix"), QueryText(request, "after"),
                     std::stoul(QueryText(request, "limit")));
    return MakeResultResponse(rows, rows ? json{{"rows", *rows}} : json());
  });
  AddRoute(router, "POST", "/v1/table/transactions",
           [this](const HttpRequest& request) {
             const auto commit = m_table.Apply(
                 json::parse(request.body).get<platform::Transaction>());
             return MakeResultResponse(
                 commit,
                 commit ? json{{"sequence", commit->sequence}} : json());
           });
  AddRoute(router, "GET", "/v1/table/nonces/:nonce",
           [this](const HttpRequest& request) {
             return AnswerCommit(m_table.FindNonce(PathText(request, "nonce")));
           });
}

void PlatformServer::AddObjectRoutes(wire::Router& router) {
  AddRoute(router, "GET", "/v1/objects", [this](const HttpRequest& request) {
    const auto names = m_objects.List(QueryText(request, "prefix"));
    return MakeResultResponse(names, names ? json{{"names", *names}} : json());
  });
  AddRoute(
      router, "PUT", "/v1/objects/*name", [this](const HttpRequest& request) {
        const auto put = m_objects.Put(PathText(request, "name"), request.body);
        return put ? MakeEmptyResponse() : wire::MakeErrorResponse(put.error());
      });
  AddRoute(router, "GET", "/v1/objects/*name",
           [this](const HttpRequest& request) {
             const auto object = m_objects.Get(PathText(request, "name"));
             return object ? MakeTextResponse(*object)
                           : wire::MakeErrorResponse(object.error());
           });
}

void PlatformServer::AddHostRoutes(wire::Router& router) {
  AddRoute(router, "GET", "/v1/hosts", [this](const HttpRequest&) {
    const std::lock_guard lock(m_mutex);
    if (m_list_down) {
      return wire::MakeErrorResponse(
          {base::ErrorCode::kUnavailable, "The list is down."});
    }
    return wire::MakeJsonResponse(kOk, json{{"hosts", CurrentHosts()}});
  });
  AddRoute(router, "PUT", "/v1/hosts/:name",
           [this](const HttpRequest& request) {
             auto host = json::parse(request.body).get<platform::ListedHost>();
             const std::lock_guard lock(m_mutex);
             m_list_changes.push_back(
                 {m_clock.Now() + m_options.list_lag, std::move(host), false});
             return MakeEmptyResponse();
           });
  AddRoute(router, "DELETE", "/v1/hosts/:name",
           [this](const HttpRequest& request) {
             platform::ListedHost host;
             host.name = PathText(request, "name");
             const std::lock_guard lock(m_mutex);
             m_list_changes.push_back(
                 {m_clock.Now() + m_options.list_lag, std::move(host), true});
             return MakeEmptyResponse();
           });
}

void PlatformServer::AddMachineRoutes(wire::Router& router) {
  AddRoute(router, "GET", "/v1/machines/:host",
           [this](const HttpRequest& request) {
             FinishReboots();
             const auto status = m_machines.Status(PathText(request, "host"));
             return MakeResultResponse(status, status ? json(*status) : json());
           });
  AddRoute(router, "PUT", "/v1/machines/:host",
           [this](const HttpRequest& request) {
             m_machines.Set(
                 PathText(request, "host"),
                 json::parse(request.body).get<platform::MachineStatus>());
             return MakeEmptyResponse();
           });
  AddRoute(router, "POST", "/v1/machines/:host/draining",
           [this](const HttpRequest& request) {
             const auto set = m_machines.SetDraining(
                 PathText(request, "host"),
                 json::parse(request.body).at("draining").get<bool>());
             return set ? MakeEmptyResponse()
                        : wire::MakeErrorResponse(set.error());
           });
  AddRoute(router, "POST", "/v1/machines/:host/reboot",
           [this](const HttpRequest& request) {
             const std::string& host = PathText(request, "host");
             const auto started = m_machines.Reboot(
                 host,
                 json::parse(request.body).at("boots").get<std::uint64_t>());
             if (!started) {
               return wire::MakeErrorResponse(started.error());
             }
             const std::lock_guard lock(m_mutex);
             m_reboot_ends.emplace(host, m_clock.Now() + m_options.reboot_time);
             return MakeEmptyResponse();
           });
}

void PlatformServer::AddFaultRoutes(wire::Router& router) {
  router.Add(
      "PUT", "/v1/faults",
      [this](const HttpRequest& request, const wire::HttpResponder& respond) {
        respond(SetFaults(request));
      });
  router.Add(
      "GET", "/v1/counts",
      [this](const HttpRequest&, const wire::HttpResponder& respond) {
        const platform::MemoryCounts counts = m_table.Counts();
        respond(wire::MakeJsonResponse(kOk, {{"reads", counts.reads},
                                             {"writes", counts.writes},
                                             {"conflicts", counts.conflicts}}));
      });
  router.Add("GET", "/healthz",
             [](const HttpRequest&, const wire::HttpResponder& respond) {
               respond(MakeTextResponse("ok\n"));
             });
}

HttpResponse PlatformServer::SetFaults(const HttpRequest& request) {
  const base::Result<json> body = wire::ParseJsonBody(request.body);
  if (!body) {
    return wire::MakeErrorResponse(body.error());
  }
  platform::MemoryFaults faults;
  faults.down = body->value("down", false);
  faults.fail_before = body->value("fail_before", 0.0);
  faults.lose_answer = body->value("lose_answer", 0.0);
  faults.delay_apply = body->value("delay_apply", 0.0);
  m_table.SetFaults(faults);
  m_objects.SetDown(faults.down);
  m_machines.SetDown(faults.down);
  const std::lock_guard lock(m_mutex);
  m_list_down = faults.down;
  m_response_delay = std::chrono::milliseconds(body->value("slow_ms", 0));
  return MakeEmptyResponse();
}

// Returns the visible host list. Runners on a draining machine are listed as
// leaving.
std::vector<platform::ListedHost> PlatformServer::CurrentHosts() {
  const base::TimePoint now = m_clock.Now();
  while (!m_list_changes.empty() && m_list_changes.front().visible_at <= now) {
    const ListChange& change = m_list_changes.front();
    if (change.removed) {
      m_listed.erase(change.host.name);
    } else {
      m_listed[change.host.name] = change.host;
    }
    m_list_changes.pop_front();
  }
  std::vector<platform::ListedHost> hosts;
  for (const auto& [name, listed] : m_listed) {
    platform::ListedHost host = listed;
    const auto machine = m_machines.Status(host.machine);
    if (machine && machine->draining) {
      host.state = platform::ListedState::kLeaving;
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

void PlatformServer::FinishReboots() {
  const std::lock_guard lock(m_mutex);
  for (auto next = m_reboot_ends.begin(); next != m_reboot_ends.end();) {
    if (next->second > m_clock.Now()) {
      ++next;
      continue;
    }
    m_machines.FinishReboot(next->first);
    next = m_reboot_ends.erase(next);
  }
}

}  // namespace cassiastile::standin
