#ifndef INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
#define INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "core/request/event_scanner.h"

namespace indigolead {

/// Tracks a stream of server-sent events so that another target can continue
/// it.
///
/// A target may fail in the middle of an event. The stream of another target,
/// which continues with the next event, cannot be joined to a partial event.
/// Therefore only complete events are forwarded, and the id of the last one is
/// kept.
class EventCursor {
 public:
  /// Adds bytes of the stream. Returns the bytes of all events that are now
  /// complete and buffers the rest.
  std::string Feed(std::string_view data);

  /// Discards the buffered part of an event that will not be completed. The
  /// next bytes are the start of another target's stream.
  void DropPartial();

  std::size_t held_bytes() const { return partial_.size(); }

  /// Returns the buffered bytes. The cursor must not be used afterwards.
  std::string TakePartial() { return std::exchange(partial_, {}); }

  /// Returns true if an event has begun and is incomplete.
  bool is_inside_event() const {
    return scanner_.position() == StreamPosition::kInsideEvent;
  }

  /// Returns true if another target can continue after the last complete event:
  /// there is none yet, or it has an id. Otherwise events would be repeated.
  bool can_continue() const { return can_continue_; }

  /// Returns the id of the last complete event that had one; empty if none.
  const std::string& last_id() const { return last_id_; }

 private:
  void ParseIds(std::string_view events);
  /// Stores the id if `line` is an id field. Returns false if it has no usable
  /// id.
  bool ParseId(std::string_view line);

  EventScanner scanner_;
  bool any_line_ = false;  ///< In the current target's stream.
  std::string partial_;
  std::string last_id_;
  bool can_continue_ = true;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
