#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/member/message.hpp"

namespace cassiastile::member {

// How the acceptance of an edit reaches the other members. Calls may block and
// are made from one thread at a time.
class EditQuorum {
 public:
  virtual ~EditQuorum() = default;

  // Asks all members to promise a version and waits until a majority did; only
  // then may the version be committed. Fails with kConflict when that version
  // was committed by another meanwhile, and with kUnavailable when no majority
  // answers.
  virtual base::Result<void> Prepare(std::uint64_t version,
                                     std::uint64_t id) = 0;

  // Takes back a prepare whose version certainly was not committed.
  virtual void AbortPrepare() = 0;

  // Passes on a version that was committed by a write which started then.
  virtual void Announce(const ConfigHead& head, base::TimePoint started) = 0;

  // The members not known to have a version in force, after waiting for them
  // for as long as they could still act on an older one. `expired` says
  // whether that time is over.
  struct Wait {
    std::vector<std::string> missing;
    bool expired = false;
  };
  virtual Wait WaitUntilInForce(std::uint64_t version) = 0;
};

}  // namespace cassiastile::member
