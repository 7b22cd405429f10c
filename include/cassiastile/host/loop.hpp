#pragma once

#include <functional>
#include <memory>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// The single-threaded event loop of a host, whose objects are used on the
// loop's thread only. Tests implement it in virtual time, with many hosts in
// one process.
class Loop {
 public:
  virtual ~Loop() = default;
  virtual const base::Clock& GetClock() const = 0;
  // Runs `callback` once on the loop's thread after a delay, never within this
  // call; a delay of zero or less means as soon as possible.
  virtual void After(base::Duration delay, std::function<void()> callback) = 0;
};

// Cancels an object's callbacks when the object is destroyed. The object holds
// a Lifetime as a member and wraps the callbacks that it passes on. Destroy the
// object on the thread that runs its callbacks.
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
