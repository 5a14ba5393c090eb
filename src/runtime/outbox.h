#ifndef INDIGOLEAD_RUNTIME_OUTBOX_H_
#define INDIGOLEAD_RUNTIME_OUTBOX_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "runtime/mailbox.h"

namespace indigolead {

/// Writing end of a mailbox for messages that must not be dropped.
///
/// Answers, credits and cancels have no sender that could be told to back off,
/// and dropping one would leave a caller without the end of its answer. They
/// are queued here, in order, until the ring has room. The credit windows of
/// the open requests bound the queue.
template <typename T>
class Outbox {
 public:
  explicit Outbox(Mailbox<T>* mailbox) : mailbox_(mailbox) {}

  /// Appends `message`. Call on the writer's thread only.
  void Push(T&& message) {
    waiting_.push_back(std::move(message));
    Flush();
  }

  /// Moves queued messages into the ring. Call often, on the writer's thread.
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
