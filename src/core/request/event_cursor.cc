#include "core/request/event_cursor.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace indigolead {
namespace {

/// Returns true if a header field can carry `id`.
bool IsUsable(std::string_view id) {
  return std::none_of(id.begin(), id.end(),
                      [](unsigned char it) { return std::iscntrl(it) != 0; });
}

/// Removes the first line and its terminator from `text`. Returns the line
/// without the terminator.
std::string_view TakeLine(std::string_view* text) {
  constexpr std::string_view kCrLf = "\r\n";
  const auto end = std::min(text->find_first_of(kCrLf), text->size());
  const std::string_view line = text->substr(0, end);
  text->remove_prefix(end);
  const std::size_t n = text->starts_with(kCrLf) ? kCrLf.size() : 1;
  text->remove_prefix(std::min(n, text->size()));
  return line;
}

}  // namespace

std::string EventCursor::Feed(std::string_view data) {
  const std::size_t end = scanner_.Scan(data);
  if (end == 0) {
    partial_.append(data);
    return {};
  }
  std::string complete_events = std::exchange(partial_, {});
  complete_events.append(data.substr(0, end));
  partial_.append(data.substr(end));
  ParseIds(complete_events);
  return complete_events;
}

void EventCursor::DropPartial() {
  partial_.clear();
  scanner_ = EventScanner();
  any_line_ = false;
}

void EventCursor::ParseIds(std::string_view events) {
  if (!any_line_ && events.starts_with(kByteOrderMark)) {
    events.remove_prefix(kByteOrderMark.size());
  }
  any_line_ = true;
  bool any_field = false;
  bool any_id = false;
  while (!events.empty()) {
    const std::string_view line = TakeLine(&events);
    if (!line.empty()) {
      any_field = any_field || !line.starts_with(':');
      any_id = ParseId(line) || any_id;
      continue;
    }
    if (any_field) {
      can_continue_ = any_id;
    }
    any_field = false;
    any_id = false;
  }
}

bool EventCursor::ParseId(std::string_view line) {
  constexpr std::string_view kField = "id:";
  if (!line.starts_with(kField)) {
    return false;
  }
  line.remove_prefix(kField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (line.empty() || !IsUsable(line)) {
    return false;
  }
  last_id_ = std::string(line);
  return true;
}

}  // namespace indigolead
