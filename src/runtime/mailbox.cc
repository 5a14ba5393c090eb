#include "runtime/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <system_error>

namespace indigolead::internal {
namespace {

int OpenEventFd() {
  const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  return fd;
}

}  // namespace

Wakeup::Wakeup(boost::asio::io_context* io, std::function<void()> on_wake)
    : descriptor_(*io, OpenEventFd()),
      fd_(descriptor_.native_handle()),
      on_wake_(std::move(on_wake)) {
  StartRead();
}

void Wakeup::Notify() {
  const std::uint64_t one = 1;
  // The write fails if the counter is full. A wake-up is then already pending,
  // so the failure can be ignored.
  [[maybe_unused]] const auto n = write(fd_, &one, sizeof(one));
}

void Wakeup::Close() {
  // `Close` may be called from inside `on_wake_`, when no read is pending that
  // could be cancelled; the flag prevents the next read from being started.
  closed_ = true;
  boost::system::error_code ec;
  descriptor_.cancel(ec);
}

void Wakeup::StartRead() {
  descriptor_.async_read_some(
      boost::asio::buffer(&count_, sizeof(count_)),
      [this](const boost::system::error_code& ec, std::size_t) {
        if (ec) {
          return;
        }
        on_wake_();
        if (!closed_) {
          StartRead();
        }
      });
}

}  // namespace indigolead::internal
