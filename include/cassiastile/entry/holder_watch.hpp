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

// When a holder of credits counts as gone.
struct HolderWatchOptions {
  // The longest time that a request of a process that is gone may still run.
  base::Duration longest_request = std::chrono::seconds(60);
  // How long a host must be missing from the host list to count as gone.
  base::Duration max_absence = std::chrono::minutes(10);
};

// The name under which a process holds credits: HOST#INCARNATION.
work::HolderName MakeHolderName(const std::string& host,
                                std::uint64_t incarnation);

// Finds the holders of credits that are gone and can have nothing running any
// more: those whose process was replaced by a newer incarnation, and those
// whose host has long been missing from the host list while this host is
// listed. Not thread-safe.
class HolderWatch {
 public:
  HolderWatch(std::string own_name, HolderWatchOptions options);

  // Records a host list that was read.
  void ObserveHostList(const std::vector<platform::ListedHost>& listed,
                       base::TimePoint now);

  // Records that a process runs, or ran, under an incarnation.
  void ObserveIncarnation(const std::string& host,
                          std::uint64_t incarnation,
                          base::TimePoint now);

  // Whether the holder is known to have nothing running any more. A host that
  // was never listed counts as absent since the first call about it.
  bool IsGone(const work::HolderName& holder, base::TimePoint now);

  // Returns those of the given holders that are gone.
  std::set<work::HolderName> FindGoneHolders(
      const std::set<work::HolderName>& holders,
      base::TimePoint now);

  // Whether other hosts may soon forfeit this host's credits, so that it must
  // stop using them first: it has neither been listed nor reached the table for
  // `max_absence` minus twice `longest_request`.
  bool MayBeForfeited(base::TimePoint last_table_answer,
                      base::TimePoint now) const;

 private:
  struct ObservedHost {
    std::uint64_t incarnation = 0;
    base::TimePoint incarnation_since{};
    std::optional<base::TimePoint> missing_since;
  };

  std::string m_own_name;
  HolderWatchOptions m_options;
  std::map<std::string, ObservedHost> m_hosts;
  bool m_self_listed = false;
  base::TimePoint m_self_last_listed{};
};

}  // namespace cassiastile::entry
