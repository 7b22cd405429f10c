#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/platform/host_list.hpp"
#include "cassiastile/work/credit_ledger.hpp"

namespace cassiastile::entry {

struct HolderWatchOptions {
  // The longest time that a request of a process that is gone may still run.
  base::Duration longest_request = std::chrono::seconds(60);
  // How long a host must be missing from the list before it counts as gone.
  base::Duration max_absence = std::chrono::minutes(10);
};

// The name under which a process holds credits.
work::HolderName MakeHolderName(const std::string& host,
                                std::uint64_t incarnation);

// Finds out which holders of credits are gone for good: one whose process was
// replaced by a newer incarnation, or whose host has long been missing from the
// list of hosts while this one is listed.
class HolderWatch {
 public:
  HolderWatch(std::string own_name, HolderWatchOptions options);

  // Takes in a list of hosts that was read.
  void Observe(const std::vector<platform::ListedHost>& listed,
               base::TimePoint now);

  // Takes in that a process runs, or ran, under an incarnation.
  void ObserveIncarnation(const std::string& host,
                          std::uint64_t incarnation,
                          base::TimePoint now);

  // Whether the holder is known to have nothing running any more. Asking about
  // it starts the watch for a host that was never listed.
  bool IsGone(const work::HolderName& holder, base::TimePoint now);

  // Of the holders in a row, those that are gone.
  std::set<work::HolderName> FindGoneHolders(
      const std::set<work::HolderName>& holders,
      base::TimePoint now);

  // Whether others may soon take this host's credits for abandoned: neither
  // was it listed nor did it reach the store for most of the time that allows
  // it.
  bool MayBeForfeited(base::TimePoint last_store_answer,
                      base::TimePoint now) const;

 private:
  struct Seen {
    std::uint64_t incarnation = 0;
    base::TimePoint incarnation_since{};
    std::optional<base::TimePoint> missing_since;
  };

  std::string m_own_name;
  HolderWatchOptions m_options;
  std::map<std::string, Seen> m_hosts;
  bool m_self_listed = false;
  base::TimePoint m_self_seen{};
};

}  // namespace cassiastile::entry
