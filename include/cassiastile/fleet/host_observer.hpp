#pragma once

#include <map>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/fleet/progress.hpp"
#include "cassiastile/fleet/records.hpp"
#include "cassiastile/platform/machines.hpp"

namespace cassiastile::fleet {

// Polls machines and measures, on this process's steady clock, how long hosts
// have been in their state. A new owner's measurement starts at zero, so that
// no deadline expires too early after a takeover. Not thread-safe.
class HostObserver {
 public:
  // All references must outlive the observer. The machine of a host in service
  // is polled once per `interval`, that of any other host at every call.
  HostObserver(platform::Machines& machines,
               const HostWorkSource& work,
               const base::Clock& clock,
               base::Duration interval);

  // Returns the machine's status as of the last poll, the host's work now and
  // its time in the current state.
  HostObservation Observe(const HostRecord& host);

  // How long the host has been out of service; zero if it is in service.
  base::Duration TimeOutOfService(const std::string& host) const;

  // Makes the next Observe poll the machine.
  void Invalidate(const std::string& host);

 private:
  struct WatchedHost {
    HostState state = HostState::kInService;
    std::string pool;
    base::TimePoint state_since;  // When first seen in its state and pool.
    base::TimePoint out_since;    // When first seen out of service.
    base::TimePoint polled_at;
    // Whether the last poll succeeded and its answer has not been invalidated.
    bool is_current = false;
    HostObservation last;
  };

  void QueryMachine(const std::string& host,
                    WatchedHost& watched,
                    base::TimePoint now);

  platform::Machines& m_machines;
  const HostWorkSource& m_work;
  const base::Clock& m_clock;
  base::Duration m_interval;
  std::map<std::string, WatchedHost> m_watched;
};

}  // namespace cassiastile::fleet
