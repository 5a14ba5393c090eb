#include "cli/stop_signals.h"

#include <utility>
// Boost 1.74's Asio uses std::exchange without including its header.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>

namespace indigolead::cli {

class StopSignals::Impl {
 public:
  explicit Impl(std::function<void(int)> on_stop)
      : on_stop_(std::move(on_stop)), signals_(io_, SIGTERM, SIGINT) {
    std::signal(SIGPIPE, SIG_IGN);
    Wait();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Impl() {
    io_.stop();
    thread_.join();
  }

 private:
  void Wait() {
    signals_.async_wait([this](boost::system::error_code ec, int signal) {
      if (ec) {
        return;
      }
      if (!std::exchange(stopping_, true)) {
        on_stop_(signal);
      }
      Wait();
    });
  }

  std::function<void(int)> on_stop_;
  boost::asio::io_context io_{1};
  boost::asio::signal_set signals_;
  bool stopping_ = false;
  std::thread thread_;
};

StopSignals::StopSignals(std::function<void(int signal)> on_stop)
    : impl_(std::make_unique<Impl>(std::move(on_stop))) {}

StopSignals::~StopSignals() = default;

}  // namespace indigolead::cli
