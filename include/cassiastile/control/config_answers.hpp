#pragma once

#include <string>
#include <vector>

#include "cassiastile/member/config_store.hpp"
#include "cassiastile/member/edit_quorum.hpp"
#include "cassiastile/member/member.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// The answers of the configuration interface.
wire::HttpResponse MakeDryRunAnswer(const member::EditOutcome& outcome);
wire::HttpResponse MakeAcceptedAnswer(const member::EditOutcome& outcome,
                                      const member::EditQuorum::Wait& wait);
wire::HttpResponse MakeRefusedAnswer(const member::EditRefusal& refusal,
                                     const std::string& decision_id);
wire::HttpResponse MakeHistoryAnswer(
    const std::vector<member::ConfigVersion>& versions);
wire::HttpResponse MakeAuditAnswer(const std::vector<member::AuditRow>& rows,
                                   const member::AuditHead& head,
                                   const std::string& since,
                                   const std::string& section);
wire::HttpResponse MakeMembersAnswer(const member::MemberStatus& status);

// A sentence on a refusal, for the decision log.
std::string DescribeRefusal(const member::EditRefusal& refusal);

}  // namespace cassiastile::control
