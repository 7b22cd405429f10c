#include "cassiastile/sim/worker_timer.hpp"

#include <utility>

namespace cassiastile::sim {

WorkerTimer::WorkerTimer(host::Loop& loop, std::function<void()> on_due)
    : m_loop(loop), m_on_due(std::move(on_due)) {}

void WorkerTimer::Set(std::optional<base::TimePoint> at) {
  if (!at || (m_at && *m_at <= *at)) {
    return;
  }
  m_at = at;
  m_loop.After(*at - m_loop.GetClock().Now(),
               m_lifetime.Guard([this, at = *at] {
                 if (m_at == at) {  // Else an earlier call replaced it.
                   m_at.reset();
                   m_on_due();
                 }
               }));
}

}  // namespace cassiastile::sim
