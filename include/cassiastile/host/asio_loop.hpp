#pragma once

#include "cassiastile/host/loop.hpp"

namespace asio {
class io_context;
}

namespace cassiastile::host {

// Loop that runs callbacks on an asio::io_context and takes the time from the
// given clock; both must outlive it. Only one thread may run the context.
// Callbacks that are still pending when the context is destroyed never run.
class AsioLoop final : public Loop {
 public:
  AsioLoop(asio::io_context& context, const base::Clock& clock)
      : m_context(context), m_clock(clock) {}

  const base::Clock& GetClock() const override { return m_clock; }
  void After(base::Duration delay, std::function<void()> callback) override;

 private:
  asio::io_context& m_context;
  const base::Clock& m_clock;
};

}  // namespace cassiastile::host
