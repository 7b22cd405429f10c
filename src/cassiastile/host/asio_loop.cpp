#include "cassiastile/host/asio_loop.hpp"

#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace cassiastile::host {

void AsioLoop::After(base::Duration delay, std::function<void()> callback) {
  if (delay <= base::Duration::zero()) {
    asio::post(m_context, std::move(callback));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait(
      [timer, callback = std::move(callback)](const asio::error_code& e) {
        if (!e) {
          callback();
        }
      });
}

}  // namespace cassiastile::host
