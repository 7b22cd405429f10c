#pragma once

#include <chrono>
#include <set>
#include <string>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// The availability zones that operators are evacuating, and how recently that
// was read. Nothing new may start in such a zone, so starts also stop when the
// operators' requests have not been read for too long.
class ZoneEvacuations {
 public:
  // `max_age` is how old the newest reading may be for starts to be ordered by
  // it; zero for a deployment whose operators evacuate no zones.
  explicit ZoneEvacuations(std::chrono::milliseconds max_age)
      : m_max_age(max_age) {}

  // Takes the zones of a reading that lacks no request that the store had at
  // `as_of`. An older reading than the newest one changes nothing. Returns
  // whether the zones have changed.
  bool Update(const std::set<std::string>& zones, base::TimePoint as_of);

  bool Contains(const std::string& zone) const {
    return m_zones.contains(zone);
  }
  bool IsEmpty() const { return m_zones.empty(); }
  // Whether the newest reading is recent enough to order starts by it.
  bool IsCurrent(base::TimePoint now) const;

 private:
  std::chrono::milliseconds m_max_age;
  std::set<std::string> m_zones;
  base::TimePoint m_as_of{};
};

}  // namespace cassiastile::jobs
