#include "cassiastile/host/asio_loop.hpp"

#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace cassiastile::host {

void AsioLoop::After(base::Duration delay, std::function<void()> run) {
  if (delay <= base::Duration::zero()) {
    asio::post(m_context, std::move(run));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, run = std::move(run)](const asio::error_code& e) {
    if (!e) {
      run();
    }
  });
}

}  // namespace cassiastile::host
