#include "cassiastile/control/audit_chain_appender.hpp"

#include <utility>

#include "cassiastile/member/audit_chain.hpp"

namespace cassiastile::control {

AuditChainAppender::AuditChainAppender(platform::Table& table)
    : m_table(table) {}

base::Result<fleet::AuditAddition> AuditChainAppender::PrepareAppend(
    const fleet::AuditEntry& entry) {
  const auto head = member::ReadAuditHead(m_table);
  if (!head) {
    return tl::unexpected(head.error());
  }
  member::AuditChange change;
  change.what = entry.what;
  change.who = entry.who;
  change.at = entry.at;
  change.detail = entry.detail;
  member::AuditWrites writes = member::MakeAuditWrites(*head, change);
  return fleet::AuditAddition{std::move(writes.preconditions),
                              std::move(writes.writes)};
}

}  // namespace cassiastile::control
