#include "cassiastile/control/config_service.hpp"

#include <atomic>
#include <charconv>
#include <mutex>
#include <utility>

#include <fmt/format.h>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/control/authentication.hpp"
#include "cassiastile/control/config_responses.hpp"
#include "cassiastile/member/member_rows.hpp"
#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

constexpr std::size_t kReadThreads = 2;
// An edit has a thread of its own, as it waits there until its version is in
// force.
constexpr std::size_t kEditThreads = 1;
constexpr std::size_t kMaxPendingCalls = 64;

wire::HttpResponse MakeOverloadedResponse() {
  return wire::MakeErrorResponse(
      {base::ErrorCode::kOverloaded, "Too many calls wait for the table."});
}

std::optional<std::uint64_t> ParseVersion(const std::string& text) {
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, version);
  return error == std::errc() && last == end ? std::optional(version)
                                             : std::nullopt;
}

wire::HttpResponse MakeTextResponse(std::uint64_t version,
                                    const std::string& text) {
  return wire::MakeJsonResponse(200, {{"version", version},
                                      {"digest", base::Sha256Hex(text)},
                                      {"text", text}});
}

// Parses an edit request. The section, if any, comes from the path.
base::Result<member::ConfigEdit> ReadEdit(const wire::HttpRequest& request) {
  const auto body = wire::ParseJsonBody(request.body);
  if (!body) {
    return tl::unexpected(body.error());
  }
  const auto text = body->find("text");
  const auto base = body->find("base_version");
  const auto dry = body->find("dry_run");
  const bool valid = body->is_object() && text != body->end() &&
                     text->is_string() && base != body->end() &&
                     base->is_number_unsigned() &&
                     (dry == body->end() || dry->is_boolean());
  if (!valid) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        R"(The body must be {"text": TEXT, "base_version": N, "dry_run": BOOL}.)");
  }
  member::ConfigEdit edit;
  edit.text = text->get<std::string>();
  edit.base_version = base->get<std::uint64_t>();
  edit.dry_run = dry != body->end() && dry->get<bool>();
  edit.key = wire::FindBearerToken(request).value_or("");
  const auto named = request.path_parameters.find("section");
  if (named != request.path_parameters.end()) {
    edit.section = config::FindSection(named->second);
    if (!edit.section) {
      return base::Fail(base::ErrorCode::kNotFound,
                        "There is no section " + named->second + ".");
    }
  }
  return edit;
}

}  // namespace

class ConfigService::Impl {
 public:
  explicit Impl(ConfigServiceDependencies dependencies)
      : m_dependencies(std::move(dependencies)),
        m_random(base::MakeRandom()),
        m_read_threads(kReadThreads),
        m_edit_threads(kEditThreads) {}

  ~Impl() {
    m_read_threads.join();
    m_edit_threads.join();
  }

  void Register(wire::Router& router) {
    AddReadRoute(router, "/v1/config", &Impl::AnswerConfig);
    AddReadRoute(router, "/v1/config/history", &Impl::AnswerHistory);
    AddReadRoute(router, "/v1/audit", &Impl::AnswerAudit);
    AddReadRoute(router, "/v1/members", &Impl::AnswerMembers);
    AddEditRoute(router, "/v1/config");
    AddEditRoute(router, "/v1/config/sections/:section");
  }

 private:
  using Handler = wire::HttpResponse (Impl::*)(const wire::HttpRequest&);

  void AddReadRoute(wire::Router& router,
                    std::string_view path,
                    Handler handler) {
    router.Add(
        "GET", path,
        [this, handler](wire::HttpRequest request,
                        wire::HttpResponder respond) {
          if (!m_dependencies.member.Current()) {
            Post(m_read_threads, &Impl::AnswerWithoutDocument,
                 std::move(request), std::move(respond));
            return;
          }
          const auto reader = AuthenticateOperator(
              m_dependencies.member, request, m_dependencies.clock.Now());
          if (!reader) {
            respond(wire::MakeErrorResponse(reader.error()));
            return;
          }
          Post(m_read_threads, handler, std::move(request), std::move(respond));
        });
  }

  void AddEditRoute(wire::Router& router, std::string_view path) {
    router.Add("POST", path,
               [this](wire::HttpRequest request, wire::HttpResponder respond) {
                 Post(m_edit_threads, &Impl::AnswerEdit, std::move(request),
                      std::move(respond));
               });
  }

  void Post(asio::thread_pool& pool,
            Handler handler,
            wire::HttpRequest request,
            wire::HttpResponder respond) {
    if (m_pending_calls.fetch_add(1) >= kMaxPendingCalls) {
      --m_pending_calls;
      respond(MakeOverloadedResponse());
      return;
    }
    asio::post(pool, [this, handler, request = std::move(request),
                      respond = std::move(respond)] {
      respond((this->*handler)(request));
      --m_pending_calls;
    });
  }

  // Answers reads while no document is in force: operators can't be
  // authenticated then, and there is nothing to show.
  wire::HttpResponse AnswerWithoutDocument(const wire::HttpRequest&) {
    const auto head = m_dependencies.store.Head();
    if (!head) {
      return wire::MakeErrorResponse(head.error());
    }
    if (head->head.version == 0) {
      return wire::MakeErrorResponse(
          {base::ErrorCode::kNotFound, "No document was accepted yet."});
    }
    return wire::MakeErrorResponse(
        {base::ErrorCode::kUnavailable,
         "This host does not have the accepted document yet."});
  }

  wire::HttpResponse AnswerConfig(const wire::HttpRequest& request) {
    const auto asked = wire::FindQueryParameter(request, "version");
    const auto head = m_dependencies.store.Head();
    if (!head) {
      // The table can't be read, but the version in force here is in memory.
      const auto fleet = m_dependencies.member.Current();
      const bool is_in_force =
          fleet && (!asked || ParseVersion(*asked) == fleet->version);
      return is_in_force ? MakeTextResponse(fleet->version, fleet->text)
                         : wire::MakeErrorResponse(head.error());
    }
    const auto version =
        asked ? ParseVersion(*asked) : std::optional(head->head.version);
    if (!version) {
      return wire::MakeErrorResponse(
          {base::ErrorCode::kInvalid, "The version must be a number."});
    }
    const auto text = m_dependencies.store.Text(*version);
    if (!text) {
      return wire::MakeErrorResponse(text.error());
    }
    return MakeTextResponse(*version, *text);
  }

  wire::HttpResponse AnswerHistory(const wire::HttpRequest&) {
    const auto history = m_dependencies.store.History();
    return history ? MakeHistoryResponse(*history)
                   : wire::MakeErrorResponse(history.error());
  }

  wire::HttpResponse AnswerAudit(const wire::HttpRequest& request) {
    // The head is read first, so rows appended between the reads are removed.
    const auto head = member::ReadAuditHead(m_dependencies.table);
    auto rows = member::ReadAuditRows(m_dependencies.table, 0);
    if (!head || !rows) {
      return wire::MakeErrorResponse(head ? rows.error() : head.error());
    }
    std::erase_if(*rows, [&](const member::AuditRow& row) {
      return row.sequence > head->sequence;
    });
    return MakeAuditResponse(
        *rows, *head, wire::FindQueryParameter(request, "since").value_or(""),
        wire::FindQueryParameter(request, "section").value_or(""));
  }

  wire::HttpResponse AnswerMembers(const wire::HttpRequest&) {
    return MakeMembersResponse(m_dependencies.member.Status());
  }

  wire::HttpResponse AnswerEdit(const wire::HttpRequest& request) {
    auto edit = ReadEdit(request);
    if (!edit) {
      return wire::MakeErrorResponse(edit.error());
    }
    if (m_dependencies.team_usage) {
      edit->team_usage = m_dependencies.team_usage();
    }
    const member::EditResult result = m_dependencies.store.Accept(*edit);
    if (!result) {
      return MakeRefusedResponse(
          result.error(), Record(*edit, DescribeRefusal(result.error())));
    }
    if (edit->dry_run) {
      return MakeDryRunResponse(*result);
    }
    Record(*edit, fmt::format("accepted as version {}", result->version));
    return MakeCommittedResponse(
        *result, m_dependencies.member.WaitUntilInForce(result->version));
  }

  // Records the decision on an edit. Returns its id, empty if there is no sink.
  std::string Record(const member::ConfigEdit& edit,
                     const std::string& outcome) {
    if (m_dependencies.decisions == nullptr) {
      return "";
    }
    base::Decision decision;
    {
      const std::lock_guard lock(m_mutex);
      decision.id = base::MakeId(m_random);
    }
    const std::string section =
        edit.section ? std::string(config::NameOf(*edit.section)) : "document";
    const bool accepted = outcome.starts_with("accepted");
    decision.kind =
        accepted ? base::DecisionKind::kChange : base::DecisionKind::kRefusal;
    decision.subject = section;
    decision.outcome = accepted ? outcome : "not accepted";
    decision.reasons = {
        {"configuration edit", section, edit.base_version, outcome}};
    decision.at = m_dependencies.clock.WallNow();
    std::string id = decision.id;
    m_dependencies.decisions->Record(std::move(decision));
    return id;
  }

  ConfigServiceDependencies m_dependencies;
  std::mutex m_mutex;
  base::Random m_random;
  std::atomic<std::size_t> m_pending_calls{0};
  asio::thread_pool m_read_threads;
  asio::thread_pool m_edit_threads;
};

std::unique_ptr<ConfigService> ConfigService::Create(
    ConfigServiceDependencies dependencies) {
  return std::unique_ptr<ConfigService>(
      new ConfigService(std::make_unique<Impl>(std::move(dependencies))));
}

ConfigService::ConfigService(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

ConfigService::~ConfigService() = default;

void ConfigService::Register(wire::Router& router) {
  m_impl->Register(router);
}

}  // namespace cassiastile::control
