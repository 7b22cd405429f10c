#pragma once

#include "cassiastile/fleet/audit_appender.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::control {

// Appends operators' acts on hosts and waves to the one audit chain.
class AuditChainAppender final : public fleet::AuditAppender {
 public:
  // The table outlives the appender.
  explicit AuditChainAppender(platform::Table& table);

  base::Result<fleet::AuditAddition> Append(
      const fleet::AuditEntry& entry) override;

 private:
  platform::Table& m_table;
};

}  // namespace cassiastile::control
