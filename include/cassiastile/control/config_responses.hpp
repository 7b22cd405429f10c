#pragma once

#include <string>
#include <vector>

#include "cassiastile/member/config_store.hpp"
#include "cassiastile/member/edit_quorum.hpp"
#include "cassiastile/member/member.hpp"
#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::control {

// The responses of the routes under /v1/config, /v1/audit and /v1/members.

// What a dry run of an edit would change.
wire::HttpResponse MakeDryRunResponse(const member::EditOutcome& outcome);
// A committed edit, with the members not known to have it in force. Its state
// is "pending" if these may still act on an older version.
wire::HttpResponse MakeCommittedResponse(
    const member::EditOutcome& outcome,
    const member::EditQuorum::InForceResult& in_force);
// A refused edit: 409 for a conflict, 422 for an invalid document, 403 for
// sections of other owners, or the response for another error.
wire::HttpResponse MakeRefusedResponse(const member::EditRefusal& refusal,
                                       const std::string& decision_id);
wire::HttpResponse MakeHistoryResponse(
    const std::vector<member::ConfigVersion>& versions);
// The audit rows from `since` on that concern `section`, and whether the chain
// of all `rows` up to `head` is intact. `since` is a sequence number or a time
// in UTC that may be cut short, such as 2026-12-03T21:00; an empty `since` or
// `section` matches every row.
wire::HttpResponse MakeAuditResponse(const std::vector<member::AuditRow>& rows,
                                     const member::AuditHead& head,
                                     const std::string& since,
                                     const std::string& section);
wire::HttpResponse MakeMembersResponse(const member::MemberStatus& status);

// Describes why an edit was refused, for the decision log.
std::string DescribeRefusal(const member::EditRefusal& refusal);

}  // namespace cassiastile::control
