#pragma once

#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// An operator's action as recorded in the audit chain.
struct AuditEntry {
  std::string what;  // Such as "host w-07 drain".
  std::string who;   // The operator's name.
  base::WallTime at{};
  std::string detail;
};

// The preconditions and writes to include in a transaction so that it appends
// an audit entry.
struct AuditAddition {
  std::vector<platform::Precondition> preconditions;
  std::vector<platform::Write> writes;
};

// Appends entries to the audit chain within the transaction of the audited
// action. Thread-safe.
class AuditAppender {
 public:
  virtual ~AuditAppender() = default;

  // Prepares the addition that appends the entry, and writes nothing itself.
  // Fails if the end of the chain can't be read. The transaction conflicts if
  // another entry is appended first; the caller then calls PrepareAppend again.
  virtual base::Result<AuditAddition> PrepareAppend(
      const AuditEntry& entry) = 0;
};

// Records nothing; for tests and examples.
class NullAuditAppender final : public AuditAppender {
 public:
  base::Result<AuditAddition> PrepareAppend(const AuditEntry& entry) override;
};

}  // namespace cassiastile::fleet
