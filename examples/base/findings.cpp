#include <cstdio>

#include "cassiastile/base/findings.hpp"

// Prints two findings, ordered by position.
int main() {
  using cassiastile::base::Finding;
  const cassiastile::base::Findings findings{
      Finding{{"fleet.jsonc", 12, 3}, "pools[1].name", "is used twice"},
      Finding{{"fleet.jsonc", 4, 9}, "fleet", "must be text"},
  };
  std::fputs(cassiastile::base::FormatFindings(findings).c_str(), stdout);
  return 0;
}
