#include "core/request/event_cursor.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// Returns the end of the last whole event in `text`; 0 if there is none.
std::size_t EndOfWhole(std::string_view text) {
  constexpr std::string_view kUnix = "\n\n";
  constexpr std::string_view kHttp = "\r\n\r\n";
  const auto unix_end = text.rfind(kUnix);
  const auto http_end = text.rfind(kHttp);
  std::size_t end = 0;
  if (unix_end != std::string_view::npos) {
    end = unix_end + kUnix.size();
  }
  if (http_end != std::string_view::npos) {
    end = std::max(end, http_end + kHttp.size());
  }
  return end;
}

}  // namespace

std::string EventCursor::Take(std::string_view data) {
  partial_.append(data);
  const std::size_t end = EndOfWhole(partial_);
  std::string whole = partial_.substr(0, end);
  partial_.erase(0, end);
  NoteIds(whole);
  return whole;
}

std::string EventCursor::TakePartial() { return std::exchange(partial_, {}); }

void EventCursor::NoteIds(std::string_view events) {
  constexpr std::string_view kField = "id:";
  while (!events.empty()) {
    const auto end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events = end == std::string_view::npos ? "" : events.substr(end + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    last_id_ = std::string(line);
  }
}

}  // namespace indigolead
