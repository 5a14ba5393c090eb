#ifndef INDIGOLEAD_RUNTIME_MAILBOX_H_
#define INDIGOLEAD_RUNTIME_MAILBOX_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <utility>

namespace indigolead {
namespace internal {

/// Wakes one io_context from another thread, through an eventfd.
class Wakeup {
 public:
  /// Calls `on_wake` on `io`'s thread after each `Notify`, perhaps once for
  /// several of them.
  Wakeup(boost::asio::io_context* io, std::function<void()> on_wake);

  /// Wakes the reader. Safe from any thread.
  void Notify();

  /// Stops listening. Call on the reader's thread.
  void Close();

 private:
  void Arm();

  boost::asio::posix::stream_descriptor descriptor_;
  int fd_;
  std::uint64_t count_ = 0;
  bool closed_ = false;
  std::function<void()> on_wake_;
};

}  // namespace internal

/// Bounded ring from one duty's thread to another's.
///
/// Joins two threads without a lock: one writer, one reader. A full ring is
/// the back-pressure signal of the whole process, so `Push` returns false
/// instead of waiting, and the writer decides what to refuse.
template <typename T>
class Mailbox {
 public:
  using Handler = std::function<void(T&&)>;

  /// Delivers every message to `handler` on the thread that runs `io`. `io`
  /// must outlive the mailbox.
  Mailbox(boost::asio::io_context* io, std::size_t capacity, Handler handler)
      : ring_(capacity),
        handler_(std::move(handler)),
        wakeup_(io, [this] { Drain(); }) {}

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Appends `message` and wakes the reader. Returns false, and leaves
  /// `message` as it was, if the ring is full. Only the writer's thread.
  bool Push(T&& message) {
    // The ring's own push of one element copies; its range push moves.
    auto first = std::make_move_iterator(&message);
    if (ring_.push(first, first + 1) == first) {
      return false;
    }
    // The exchange pairs with the one in `Drain`: either the reader sees the
    // message in this pass, or the flag was clear and this call wakes it.
    if (!signalled_.exchange(true, std::memory_order_acq_rel)) {
      wakeup_.Notify();
    }
    return true;
  }

  /// Returns the number of free places, as the writer sees it.
  std::size_t FreePlaces() const { return ring_.write_available(); }

  /// Stops delivery. Call on the reader's thread.
  void Close() { wakeup_.Close(); }

 private:
  void Drain() {
    signalled_.exchange(false, std::memory_order_acq_rel);
    ring_.consume_all([this](T& message) { handler_(std::move(message)); });
  }

  boost::lockfree::spsc_queue<T> ring_;
  std::atomic<bool> signalled_{false};
  Handler handler_;
  internal::Wakeup wakeup_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_MAILBOX_H_
