#include "cassiastile/control/config_responses.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::control {

namespace {

nlohmann::json ToJson(const base::Findings& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const base::Finding& finding : findings) {
    list.push_back({{"line", finding.position.line},
                    {"column", finding.position.column},
                    {"path", finding.path},
                    {"message", finding.message}});
  }
  return list;
}

// Makes a problem response with additional JSON members.
wire::HttpResponse MakeExtendedProblem(const wire::Problem& problem,
                                       const nlohmann::json& members) {
  wire::HttpResponse response = wire::MakeProblemResponse(problem);
  nlohmann::json body = nlohmann::json::parse(response.body);
  body.update(members);
  response.body = body.dump();
  return response;
}

struct RefusedResponse {
  std::string decision_id;

  wire::HttpResponse operator()(const member::EditConflict& conflict) const {
    const wire::Problem problem{
        409,
        "edit-conflict",
        "Another edit of the same section was accepted first.",
        "Read the newest version and make the edit again.",
        wire::Execution::kNotRun,
        decision_id,
        {}};
    return MakeExtendedProblem(
        problem, {{"version", conflict.version}, {"diff", conflict.diff}});
  }

  wire::HttpResponse operator()(const member::EditInvalid& invalid) const {
    const wire::Problem problem{422,
                                "edit-faulty",
                                "The edit breaks rules of the document.",
                                "",
                                wire::Execution::kNotRun,
                                decision_id,
                                {}};
    return MakeExtendedProblem(problem,
                               {{"findings", ToJson(invalid.findings)}});
  }

  wire::HttpResponse operator()(const member::EditDenied& denied) const {
    const wire::Problem problem{403,
                                "not-the-owner",
                                "The edit touches sections of other owners.",
                                "",
                                wire::Execution::kNotRun,
                                decision_id,
                                {}};
    return MakeExtendedProblem(problem,
                               {{"findings", ToJson(denied.findings)}});
  }

  wire::HttpResponse operator()(const base::Error& error) const {
    return wire::MakeErrorResponse(error);
  }
};

struct RefusalDescription {
  std::string operator()(const member::EditConflict& conflict) const {
    return fmt::format("version {} was accepted first", conflict.version);
  }
  std::string operator()(const member::EditInvalid& invalid) const {
    return fmt::format("{} findings", invalid.findings.size());
  }
  std::string operator()(const member::EditDenied&) const {
    return "sections of other owners";
  }
  std::string operator()(const base::Error& error) const {
    return error.message;
  }
};

nlohmann::json ToJson(const member::AuditRow& row) {
  return nlohmann::json::parse(member::ToText(row));
}

// Whether a text is a sequence number. Numbers of 19 digits or more don't
// count, so that std::stoull can't overflow.
bool IsSequenceNumber(const std::string& text) {
  return !text.empty() && text.size() < 19 &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// `since` is a sequence number, or a time in UTC that may be cut short and is
// compared as text. Empty values match all rows.
bool Matches(const member::AuditRow& row,
             const std::string& since,
             const std::string& section) {
  const bool in_time = IsSequenceNumber(since)
                           ? row.sequence >= std::stoull(since)
                           : row.at >= since;
  const bool in_section =
      section.empty() || std::find(row.sections.begin(), row.sections.end(),
                                   section) != row.sections.end();
  return in_time && in_section;
}

}  // namespace

wire::HttpResponse MakeDryRunResponse(const member::EditOutcome& outcome) {
  return wire::MakeJsonResponse(200,
                                {{"dry_run", true},
                                 {"sections", outcome.sections},
                                 {"change", config::ToJson(outcome.change)},
                                 {"diff", outcome.diff}});
}

wire::HttpResponse MakeCommittedResponse(
    const member::EditOutcome& outcome,
    const member::EditQuorum::InForceResult& in_force) {
  const bool accepted = in_force.missing.empty() || in_force.expired;
  return wire::MakeJsonResponse(200,
                                {{"version", outcome.version},
                                 {"state", accepted ? "accepted" : "pending"},
                                 {"missing", in_force.missing},
                                 {"audit", outcome.audit},
                                 {"change", config::ToJson(outcome.change)}});
}

wire::HttpResponse MakeRefusedResponse(const member::EditRefusal& refusal,
                                       const std::string& decision_id) {
  return std::visit(RefusedResponse{decision_id}, refusal);
}

std::string DescribeRefusal(const member::EditRefusal& refusal) {
  return std::visit(RefusalDescription{}, refusal);
}

wire::HttpResponse MakeHistoryResponse(
    const std::vector<member::ConfigVersion>& versions) {
  nlohmann::json list = nlohmann::json::array();
  for (const member::ConfigVersion& version : versions) {
    list.push_back({{"version", version.version},
                    {"by", version.by},
                    {"at", version.at},
                    {"sections", version.sections},
                    {"digest", version.digest}});
  }
  return wire::MakeJsonResponse(200, {{"versions", list}});
}

wire::HttpResponse MakeAuditResponse(const std::vector<member::AuditRow>& rows,
                                     const member::AuditHead& head,
                                     const std::string& since,
                                     const std::string& section) {
  nlohmann::json list = nlohmann::json::array();
  for (const member::AuditRow& row : rows) {
    if (Matches(row, since, section)) {
      list.push_back(ToJson(row));
    }
  }
  const auto broken = member::FindBreak(rows, head);
  const std::string chain =
      broken ? fmt::format("broken at {}", *broken) : "ok";
  return wire::MakeJsonResponse(
      200, {{"rows", list}, {"chain", chain}, {"head", head.hash}});
}

wire::HttpResponse MakeMembersResponse(const member::MemberStatus& status) {
  nlohmann::json list = nlohmann::json::array();
  for (const member::MemberView& view : status.members) {
    list.push_back({{"name", view.record.name},
                    {"role", member::NameOf(view.record.role)},
                    {"zone", view.record.zone},
                    {"state", member::NameOf(view.state)},
                    {"incarnation", view.record.incarnation},
                    {"address", view.record.address},
                    {"http_address", view.record.http_address},
                    {"shards", view.record.shards},
                    {"in_force", view.in_force},
                    {"listed", view.listed},
                    {"heard_ms", base::Milliseconds(view.heard_age)}});
  }
  nlohmann::json dropped = nlohmann::json::object();
  for (std::size_t i = 0; i < status.faults.size(); ++i) {
    const auto fault = static_cast<member::PacketFault>(i);
    dropped[std::string(member::NameOf(fault))] = status.faults.at(i);
  }
  return wire::MakeJsonResponse(200, {{"version", status.head.version},
                                      {"digest", status.head.digest},
                                      {"in_force", status.in_force},
                                      {"fresh", status.fresh},
                                      {"reaches_store", status.reaches_store},
                                      {"members", list},
                                      {"dropped", dropped}});
}

}  // namespace cassiastile::control
