#ifndef INDIGOLEAD_RUNTIME_OUTBOX_H_
#define INDIGOLEAD_RUNTIME_OUTBOX_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "runtime/mailbox.h"

namespace indigolead {

/// Writing end of a mailbox for messages that must not be dropped.
///
/// Answers, credits and cancels have no sender who could be told "full"; a
/// dropped one would leave a caller without its end. They wait here, in order,
/// until the ring has places. What waits is bounded by what caused it: by the
/// credit windows of the open requests.
template <typename T>
class Outbox {
 public:
  explicit Outbox(Mailbox<T>* mailbox) : mailbox_(mailbox) {}

  /// Appends `message`. Only the writer's thread.
  void Push(T&& message) {
    waiting_.push_back(std::move(message));
    Flush();
  }

  /// Moves what waits into the ring. Call often, on the writer's thread.
  void Flush() {
    while (!waiting_.empty() && mailbox_->Push(std::move(waiting_.front()))) {
      waiting_.pop_front();
    }
  }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  Mailbox<T>* mailbox_;
  std::deque<T> waiting_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_OUTBOX_H_
