#ifndef INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
#define INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "core/request/event_scanner.h"

namespace indigolead {

/// Position in a stream of server-sent events, for going on at another target.
///
/// A target may stop in the middle of an event. Had its first half been passed
/// on, what another target sends from the next event on could not be joined to
/// it; so events are passed on whole, and the id of the last one is kept.
class EventCursor {
 public:
  /// Adds bytes of the stream. Returns the bytes of the events that are whole
  /// now; the rest is held back.
  std::string Take(std::string_view data);

  /// Forgets the held part of an event that will not be finished; what comes
  /// next is the beginning of another target's stream.
  void DropPartial();

  std::size_t held_bytes() const { return partial_.size(); }

  /// Returns what is held back. The cursor is of no use afterwards.
  std::string TakePartial() { return std::exchange(partial_, {}); }

  /// Returns true if an event has begun and is not whole.
  bool is_inside_event() const {
    return scanner_.position() == StreamPosition::kInsideEvent;
  }

  /// Returns true if another target can go on after the last whole event: there
  /// is none yet, or it has an id. Else events would come twice.
  bool can_go_on() const { return can_go_on_; }

  /// Returns the id of the last whole event that had one; empty before.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteIds(std::string_view events);
  /// Keeps the id that a line states. Returns false if it states none.
  bool TakeId(std::string_view line);

  EventScanner scanner_;
  bool any_line_ = false;  ///< Of the present target's stream.
  std::string partial_;
  std::string last_id_;
  bool can_go_on_ = true;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
