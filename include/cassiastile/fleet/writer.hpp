#pragma once

#include <string>

#include "cassiastile/base/error.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::fleet {

// Applies a transaction and finds out whether it took effect when the answer is
// lost, by sending it again under its nonce, `attempts` times in all.
//
// A transaction that once conflicts never applies later, for versions only
// grow; one whose precondition is that a row be missing could, so such a nonce
// is spoilt after a conflict. kUnknown is left only when the table keeps losing
// answers or goes down after losing one.
base::Result<platform::Commit> ApplyForSure(
    platform::Table& table,
    const platform::Transaction& transaction,
    int attempts = 8);

}  // namespace cassiastile::fleet
