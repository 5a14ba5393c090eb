#ifndef INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_
#define INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace indigolead {

/// May come before the first line of a stream of events.
inline constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// Returns true if a body with these header values is a stream of server-sent
/// events whose bytes can be read as such.
bool IsEventStream(std::string_view content_type,
                   std::string_view content_encoding);

/// Where a stream of server-sent events stands after the bytes seen so far.
enum class StreamPosition {
  kNoEvent,        ///< No event has begun; comments may have come.
  kBetweenEvents,  ///< Every event that has begun is whole.
  kInsideEvent,    ///< An event, or a line of a comment, is unfinished.
};

/// Returns the position as a word for logs.
std::string_view NameOf(StreamPosition position);

/// Finds the events of a stream in the bytes of its body, however they are cut.
///
/// Lines end with CR, LF or CRLF, in any mixture; an empty line ends an event;
/// a line that begins with a colon is a comment and part of no event; a byte
/// order mark may come first (WHATWG HTML, "Server-sent events").
class EventScanner {
 public:
  /// Adds bytes of the stream. Returns how many of them, from the first on, end
  /// before the event that is unfinished now.
  std::size_t Scan(std::string_view data);

  StreamPosition position() const;

 private:
  /// Adds text without a line end.
  void AddText(std::string_view text);
  void EndLine();
  bool IsBetweenEvents() const { return !in_line_ && !in_event_; }

  std::size_t mark_seen_ = 0;  ///< Bytes of the byte order mark.
  bool begun_ = false;         ///< A byte other than of that mark has come.
  bool any_event_ = false;
  bool in_event_ = false;  ///< A field came since the last empty line.
  bool in_line_ = false;
  bool in_comment_ = false;
  bool after_cr_ = false;  ///< A LF that comes now is part of a CRLF.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_
