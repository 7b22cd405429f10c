#pragma once

#include <functional>
#include <memory>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// The event loop that a host runs on, so that tests can run many hosts in one
// process and in virtual time.
class Loop {
 public:
  virtual ~Loop() = default;
  virtual const base::Clock& GetClock() const = 0;
  // Runs a function once, after a delay, on the loop.
  virtual void After(base::Duration delay, std::function<void()> run) = 0;
};

// Lets callbacks find out that their owner is gone. The owner holds one and
// wraps the functions it hands out.
class Lifetime {
 public:
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
