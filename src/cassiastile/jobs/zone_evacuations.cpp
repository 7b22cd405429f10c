#include "cassiastile/jobs/zone_evacuations.hpp"

namespace cassiastile::jobs {

bool ZoneEvacuations::Update(const std::set<std::string>& zones,
                             base::TimePoint as_of) {
  if (as_of < m_as_of) {
    return false;
  }
  m_as_of = as_of;
  if (zones == m_zones) {
    return false;
  }
  m_zones = zones;
  return true;
}

bool ZoneEvacuations::IsCurrent(base::TimePoint now) const {
  return m_max_age.count() == 0 ||
         (m_as_of != base::TimePoint{} && now - m_as_of <= m_max_age);
}

}  // namespace cassiastile::jobs
