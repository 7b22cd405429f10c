#pragma once

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/settings.hpp"
#include "cassiastile/member/member.hpp"

namespace cassiastile::member {

// Reads the settings "name", "zone", "member_listen" (IP:PORT for UDP and TCP),
// "peers" (a list of IP:PORT) and "fleet_secret_file". The incarnation is the
// wall clock in milliseconds, so that it increases with each start. The caller
// sets the role and the HTTP address. Invalid values are reported to
// `settings`.
MemberOptions ReadMemberOptions(config::Settings& settings,
                                const base::Clock& clock);

}  // namespace cassiastile::member
