#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// How long submitted jobs wait until a commit has stored them, as the last ones
// tell. At a load that the leader or the store can't carry, each commit is full
// and this grows with every job that is let in.
class CommitQueue {
 public:
  // A job waits for a commit from now on. Does nothing if it does already.
  void Add(const std::string& job, base::TimePoint now);
  // A commit has stored the job, or it does not wait any more.
  void Stored(const std::string& job, base::TimePoint now);
  void Remove(const std::string& job);
  // How long a job that is submitted now has to wait at least: as long as the
  // oldest one has waited, or as the one stored last did.
  base::Duration ExpectWait(base::TimePoint now) const;

 private:
  void ForgetGone();

  // When each waiting job was added; and all of them, the oldest first, with
  // some that do not wait any more.
  std::unordered_map<std::string, base::TimePoint> m_waiting;
  std::deque<std::pair<base::TimePoint, std::string>> m_in_order;
  base::Duration m_last_wait{};
  base::TimePoint m_last_stored_at{};
};

}  // namespace cassiastile::host
