#include "cassiastile/fleet/host_observer.hpp"

namespace cassiastile::fleet {

HostObserver::HostObserver(platform::Machines& machines,
                           const HostWorkSource& work,
                           const base::Clock& clock,
                           base::Duration interval)
    : m_machines(machines),
      m_work(work),
      m_clock(clock),
      m_interval(interval) {}

HostObservation HostObserver::Observe(const HostRecord& host) {
  const base::TimePoint now = m_clock.Now();
  const auto [found, added] = m_watched.try_emplace(host.host);
  WatchedHost& watched = found->second;
  const bool moved = added || watched.pool != host.pool;
  if (added || watched.state == HostState::kInService) {
    watched.out_since = now;
  }
  if (moved || watched.state != host.state) {
    watched.state = host.state;
    watched.pool = host.pool;
    watched.state_since = now;
    watched.is_current = false;
  }
  const bool due = !watched.is_current || host.state != HostState::kInService ||
                   now - watched.polled_at >= m_interval;
  if (due) {
    QueryMachine(host.host, watched, now);
  }
  HostObservation seen = watched.last;
  seen.work = m_work.WorkOn(host.host);
  seen.time_in_state = now - watched.state_since;
  return seen;
}

base::Duration HostObserver::TimeOutOfService(const std::string& host) const {
  const auto found = m_watched.find(host);
  if (found == m_watched.end() ||
      found->second.state == HostState::kInService) {
    return {};
  }
  return m_clock.Now() - found->second.out_since;
}

void HostObserver::Invalidate(const std::string& host) {
  const auto found = m_watched.find(host);
  if (found != m_watched.end()) {
    found->second.is_current = false;
  }
}

void HostObserver::QueryMachine(const std::string& host,
                                WatchedHost& watched,
                                base::TimePoint now) {
  const auto status = m_machines.Status(host);
  watched.last = {};
  watched.polled_at = now;
  watched.is_current = status.has_value();
  if (status) {
    watched.last.status = *status;
  } else {
    watched.last.machine_missing =
        status.error().code == base::ErrorCode::kNotFound;
  }
}

}  // namespace cassiastile::fleet
