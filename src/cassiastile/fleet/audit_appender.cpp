#include "cassiastile/fleet/audit_appender.hpp"

namespace cassiastile::fleet {

base::Result<AuditAddition> NullAuditAppender::PrepareAppend(
    const AuditEntry& /*entry*/) {
  return AuditAddition{};
}

}  // namespace cassiastile::fleet
