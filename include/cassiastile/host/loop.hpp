#pragma once

#include <functional>
#include <memory>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// The single-threaded event loop of a host. Tests implement it in virtual time,
// with many hosts in one process.
class Loop {
 public:
  virtual ~Loop() = default;
  virtual const base::Clock& GetClock() const = 0;
  // Runs a function once on the loop after a delay, never within this call.
  virtual void After(base::Duration delay, std::function<void()> run) = 0;
};

// Cancels an object's callbacks when the object is destroyed. The object holds
// a Lifetime as a member and wraps the callbacks that it passes on.
class Lifetime {
 public:
  // Returns a function that calls `function` only while this object is alive.
  template <typename Function>
  auto Guard(Function function) const {
    return [alive = std::weak_ptr<int>(m_token),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

}  // namespace cassiastile::host
