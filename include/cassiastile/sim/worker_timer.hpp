#pragma once

#include <functional>
#include <optional>

#include "cassiastile/host/loop.hpp"

namespace cassiastile::sim {

// Calls back at the next event of a worker model. Keeps one timer, so that it
// can be set after each call to the model.
class WorkerTimer {
 public:
  // The loop must outlive the timer. `on_due` runs on it.
  WorkerTimer(host::Loop& loop, std::function<void()> on_due);

  // Requests a call at a time, if there is one. If a call is due sooner, it is
  // kept, and its callback must set the timer again.
  void Set(std::optional<base::TimePoint> at);

 private:
  host::Loop& m_loop;
  std::function<void()> m_on_due;
  std::optional<base::TimePoint> m_at;  // When the next call is due.
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::sim
