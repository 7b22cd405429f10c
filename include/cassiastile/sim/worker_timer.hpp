#pragma once

#include <functional>
#include <optional>

#include "cassiastile/host/loop.hpp"

namespace cassiastile::sim {

// Calls back when something ends at a worker. Keeps one timer, so that whoever
// serves a model can set it after each call.
class WorkerTimer {
 public:
  // The loop must outlive the timer. `due` runs on it.
  WorkerTimer(host::Loop& loop, std::function<void()> due);

  // Asks for a call at a time, if there is one; a call that is due sooner
  // stands, and sets the timer anew.
  void Set(std::optional<base::TimePoint> at);

 private:
  host::Loop& m_loop;
  std::function<void()> m_due;
  std::optional<base::TimePoint> m_at;  // Of the next call.
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::sim
