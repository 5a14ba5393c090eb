#include "store/run_after.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace indigolead {

RunAfter MakeRunAfter(boost::asio::io_context* io) {
  return [io](Duration delay, std::function<void()> function) {
    auto timer = std::make_shared<boost::asio::steady_timer>(*io, delay);
    timer->async_wait(
        [timer, function = std::move(function)](boost::system::error_code ec) {
          if (!ec) {
            function();
          }
        });
  };
}

}  // namespace indigolead
