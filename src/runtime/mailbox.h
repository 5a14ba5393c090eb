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
  /// Calls `on_wake` on `io`'s thread after each `Notify`. Several `Notify`
  /// calls may be merged into one.
  Wakeup(boost::asio::io_context* io, std::function<void()> on_wake);

  /// Wakes the reader. Safe to call from any thread.
  void Notify();

  /// Stops listening. Call on the reader's thread.
  void Close();

 private:
  void StartRead();

  boost::asio::posix::stream_descriptor descriptor_;
  int fd_;
  std::uint64_t count_ = 0;
  bool closed_ = false;
  std::function<void()> on_wake_;
};

}  // namespace internal

/// Bounded lock-free queue with one writer thread and one reader thread.
///
/// A full mailbox is the process's back-pressure signal: `Push` returns false
/// instead of blocking, and the writer decides what to reject.
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

  /// Appends `message` and wakes the reader. Returns false and leaves `message`
  /// unchanged if the mailbox is full. Call on the writer's thread only.
  bool Push(T&& message) {
    // The ring's push of a single element copies it; its range push moves it.
    auto first = std::make_move_iterator(&message);
    if (ring_.push(first, first + 1) == first) {
      return false;
    }
    // Pairs with the exchange in `Drain`: either the reader sees the message in
    // its current pass, or the flag was clear and this call wakes the reader.
    if (!signalled_.exchange(true, std::memory_order_acq_rel)) {
      wakeup_.Notify();
    }
    return true;
  }

  /// Returns the number of messages that fit, as seen by the writer.
  std::size_t FreeCapacity() const { return ring_.write_available(); }

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
