#ifndef INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
#define INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_

#include <string>
#include <string_view>

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

  /// Forgets the held part of an event that will not be finished.
  void DropPartial() { partial_.clear(); }

  /// Returns what is held back, at the stream's regular end.
  std::string TakePartial();

  /// Returns the id of the last whole event that had one; empty before.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_EVENT_CURSOR_H_
