#pragma once

#include "cassiastile/fleet/audit_appender.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::control {

// Makes the writes that append operators' actions on hosts and waves to the
// audit chain in the table, the same chain that records configuration edits.
class AuditChainAppender final : public fleet::AuditAppender {
 public:
  // The table must outlive the appender.
  explicit AuditChainAppender(platform::Table& table);

  base::Result<fleet::AuditAddition> PrepareAppend(
      const fleet::AuditEntry& entry) override;

 private:
  platform::Table& m_table;
};

}  // namespace cassiastile::control
