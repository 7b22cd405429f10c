#include "cassiastile/config/fleet_check.hpp"

#include "check_context.hpp"

namespace cassiastile::config {

base::Findings CheckFleet(const Fleet& fleet,
                          const PositionedDocument& document,
                          const base::Findings& field_findings) {
  CheckContext context(document, field_findings);
  CheckNames(fleet, context);
  CheckOwnership(fleet, context);
  CheckPools(fleet, context);
  CheckWaves(fleet, context);
  CheckServices(fleet, context);
  CheckTeams(fleet, context);
  CheckDigests(fleet, context);
  return context.TakeFindings();
}

}  // namespace cassiastile::config
