#include "cassiastile/fleet/writer.hpp"

#include <algorithm>

namespace cassiastile::fleet {

namespace {

bool NeedsMissingRow(const platform::Transaction& transaction) {
  return std::any_of(transaction.preconditions.begin(),
                     transaction.preconditions.end(),
                     [](const auto& it) { return it.version == 0; });
}

// Keeps a transaction that is still under way from applying later.
base::Result<platform::Commit> Spoil(platform::Table& table,
                                     const platform::Transaction& transaction,
                                     const base::Error& conflict) {
  const auto spoilt = table.Apply({transaction.nonce, {}, {}});
  if (!spoilt) {
    return base::Fail(base::ErrorCode::kUnknown, spoilt.error().message);
  }
  return tl::unexpected(conflict);
}

}  // namespace

base::Result<platform::Commit> ApplyForSure(
    platform::Table& table,
    const platform::Transaction& transaction,
    int attempts) {
  bool unknown = false;
  base::Error last;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto commit = table.Apply(transaction);
    if (commit) {
      return commit;
    }
    last = commit.error();
    if (last.code == base::ErrorCode::kUnknown) {
      unknown = true;
      continue;
    }
    if (!unknown) {
      return commit;
    }
    if (last.code == base::ErrorCode::kConflict) {
      return NeedsMissingRow(transaction) ? Spoil(table, transaction, last)
                                          : commit;
    }
  }
  return base::Fail(base::ErrorCode::kUnknown, last.message);
}

}  // namespace cassiastile::fleet
