#pragma once

#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// An operator's act as the audit chain keeps it.
struct AuditEntry {
  std::string what;  // Such as "host w-07 drain".
  std::string who;   // The operator's name.
  base::WallTime at{};
  std::string detail;
};

// What a transaction must carry so that the entry is appended with it.
struct AuditAddition {
  std::vector<platform::Precondition> preconditions;
  std::vector<platform::Write> writes;
};

// Appends to the audit chain in the transaction of the act itself. Safe for use
// by several threads.
class AuditAppender {
 public:
  virtual ~AuditAppender() = default;

  // Fails when the end of the chain can't be read. The transaction conflicts
  // when another entry was appended first; then ask again.
  virtual base::Result<AuditAddition> Append(const AuditEntry& entry) = 0;
};

// Keeps no audit chain, for tests and examples.
class NullAuditAppender final : public AuditAppender {
 public:
  base::Result<AuditAddition> Append(const AuditEntry& entry) override;
};

}  // namespace cassiastile::fleet
