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

}  // namespace

std::string EventCursor::Take(std::string_view data) {
  const std::size_t end = scanner_.Scan(data);
  if (end == 0) {
    partial_.append(data);
    return {};
  }
  std::string whole = std::exchange(partial_, {});
  whole.append(data.substr(0, end));
  partial_.append(data.substr(end));
  NoteIds(whole);
  return whole;
}

void EventCursor::DropPartial() {
  partial_.clear();
  scanner_ = EventScanner();
  any_line_ = false;
}

void EventCursor::NoteIds(std::string_view events) {
  constexpr std::string_view kField = "id:";
  if (!any_line_ && events.starts_with(kByteOrderMark)) {
    events.remove_prefix(kByteOrderMark.size());
  }
  any_line_ = true;
  while (!events.empty()) {
    const auto end = std::min(events.find_first_of("\r\n"), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (IsUsable(line)) {
      last_id_ = std::string(line);
    }
  }
}

}  // namespace indigolead
