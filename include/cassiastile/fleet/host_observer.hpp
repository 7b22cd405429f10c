#pragma once

#include <map>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/fleet/progress.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/platform/machines.hpp"

namespace cassiastile::fleet {

// Watches machines and counts, on this process's steady clock, for how long
// hosts have been in their state. After a takeover the count starts anew, so
// that no deadline comes too early. Not safe for use by several threads.
class HostObserver {
 public:
  // All that is passed in outlives the observer. The machine of a host in
  // service is asked about once in `interval`, that of another each time.
  HostObserver(platform::Machines& machines,
               const HostWorkSource& work,
               const base::Clock& clock,
               base::Duration interval);

  HostObservation Observe(const HostRecord& host);

  // How long the host has been out of service; zero when it is in service.
  base::Duration TimeOutOfService(const std::string& host) const;

  // Asks the machine again at the next look.
  void Forget(const std::string& host);

 private:
  struct Watched {
    HostState state = HostState::kInService;
    std::string pool;
    base::TimePoint state_since;
    base::TimePoint out_since;
    base::TimePoint asked;
    bool known = false;
    HostObservation last;
  };

  void Ask(const std::string& host, Watched& watched, base::TimePoint now);

  platform::Machines& m_machines;
  const HostWorkSource& m_work;
  const base::Clock& m_clock;
  base::Duration m_interval;
  std::map<std::string, Watched> m_watched;
};

}  // namespace cassiastile::fleet
