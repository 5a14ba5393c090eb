#ifndef INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_
#define INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace indigolead {

/// UTF-8 byte order mark, optional at the start of an event stream.
inline constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// Returns true if a body with these header values is a stream of server-sent
/// events without a content encoding such as gzip.
bool IsEventStream(std::string_view content_type,
                   std::string_view content_encoding);

/// Position in a stream of server-sent events after the bytes scanned so far.
enum class StreamPosition {
  kNoEvent,        ///< No event has begun; comments may have been seen.
  kBetweenEvents,  ///< Every event that has begun is complete.
  kInsideEvent,    ///< An event or a comment line is incomplete.
};

/// Returns the name of the position for logs.
std::string_view NameOf(StreamPosition position);

/// Incremental scanner that finds event boundaries in an event stream.
///
/// Lines end with CR, LF or CRLF, in any mixture. An empty line ends an event.
/// A line that begins with a colon is a comment and belongs to no event. The
/// stream may start with a byte order mark (WHATWG HTML, "Server-sent events").
class EventScanner {
 public:
  /// Scans the next bytes of the stream. Returns the length of the prefix of
  /// `data` that precedes the incomplete event.
  std::size_t Scan(std::string_view data);

  StreamPosition position() const;

 private:
  /// Adds text without a line end.
  void AddText(std::string_view text);
  void EndLine();
  bool IsBetweenEvents() const { return !in_line_ && !in_event_; }

  std::size_t bom_bytes_seen_ = 0;  ///< Bytes of the byte order mark seen.
  bool content_seen_ = false;  ///< A byte after the byte order mark was seen.
  bool any_event_ = false;
  bool in_event_ = false;  ///< A field was seen since the last empty line.
  bool in_line_ = false;
  bool in_comment_ = false;
  bool after_cr_ = false;  ///< A following LF is part of a CRLF.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_EVENT_SCANNER_H_
