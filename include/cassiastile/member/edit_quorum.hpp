#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/member/message.hpp"

namespace cassiastile::member {

// The members' part in accepting a configuration edit: they promise a version
// before it is committed and learn of it afterwards. Calls may block; only one
// thread may call at a time.
class EditQuorum {
 public:
  virtual ~EditQuorum() = default;

  // Asks all members to promise a version and waits until a majority has done
  // so; only then may the version be committed. `id` identifies this attempt.
  // Fails with kConflict if that version was committed by another member in the
  // meantime, and with kUnavailable if no majority answers in time.
  virtual base::Result<void> Prepare(std::uint64_t version,
                                     std::uint64_t id) = 0;

  // Cancels the last Prepare. Call only if its version is certain not to be
  // committed.
  virtual void AbortPrepare() = 0;

  // Tells all members about a committed version. `started` is the time when the
  // committing write was started.
  virtual void Announce(const ConfigHead& head, base::TimePoint started) = 0;

  // The result of WaitUntilInForce.
  struct InForceResult {
    // Names of the members not known to have the version in force.
    std::vector<std::string> missing;
    // Whether the wait timed out: by now no member acts on an older version.
    bool expired = false;
  };
  // Waits until all members have the version in force, or until none can still
  // act on an older version.
  virtual InForceResult WaitUntilInForce(std::uint64_t version) = 0;
};

}  // namespace cassiastile::member
