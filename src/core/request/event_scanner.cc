#include "core/request/event_scanner.h"

#include <algorithm>

#include "core/request/header_fields.h"

namespace indigolead {

bool IsEventStream(std::string_view content_type,
                   std::string_view content_encoding) {
  constexpr std::string_view kType = "text/event-stream";
  constexpr std::string_view kNoEncoding = "identity";
  const std::string_view type = content_type.substr(0, kType.size());
  return EqualsIgnoringCase(type, kType) &&
         (content_encoding.empty() ||
          EqualsIgnoringCase(content_encoding, kNoEncoding));
}

std::string_view NameOf(StreamPosition position) {
  switch (position) {
    case StreamPosition::kNoEvent:
      return "no-event";
    case StreamPosition::kInsideEvent:
      return "inside-event";
    case StreamPosition::kBetweenEvents:
      break;
  }
  return "between-events";
}

std::size_t EventScanner::Scan(std::string_view data) {
  std::size_t at = 0;
  std::size_t complete_bytes = 0;
  while (!content_seen_ && at < data.size() &&
         bom_bytes_seen_ < kByteOrderMark.size() &&
         data[at] == kByteOrderMark[bom_bytes_seen_]) {
    ++bom_bytes_seen_;
    complete_bytes = ++at;
  }
  while (at < data.size()) {
    content_seen_ = true;
    if (data[at] == '\n' && after_cr_) {
      ++at;
    } else if (data[at] == '\n' || data[at] == '\r') {
      EndLine();
      ++at;
    } else {
      const std::size_t end =
          std::min(data.find_first_of("\r\n", at), data.size());
      AddText(data.substr(at, end - at));
      at = end;
    }
    after_cr_ = data[at - 1] == '\r';
    if (IsBetweenEvents()) {
      complete_bytes = at;
    }
  }
  return complete_bytes;
}

void EventScanner::AddText(std::string_view text) {
  if (!in_line_) {
    in_line_ = true;
    in_comment_ = text.front() == ':';
  }
}

void EventScanner::EndLine() {
  if (!in_line_) {
    any_event_ = any_event_ || in_event_;
    in_event_ = false;
    return;
  }
  in_event_ = in_event_ || !in_comment_;
  in_line_ = false;
}

StreamPosition EventScanner::position() const {
  if (!IsBetweenEvents()) {
    return StreamPosition::kInsideEvent;
  }
  return any_event_ ? StreamPosition::kBetweenEvents : StreamPosition::kNoEvent;
}

}  // namespace indigolead
