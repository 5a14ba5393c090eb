#include "core/request/answer_end.h"

namespace indigolead {
namespace {

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

std::string_view NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kClose:
      break;
  }
  return "close";
}

std::optional<std::string> FindTruncation(const AnswerBodyEnd& end) {
  const std::string after =
      " after " + std::to_string(end.body_bytes) + " bytes";
  if (end.position == StreamPosition::kInsideEvent) {
    return "the stream ended inside an event" + after;
  }
  if (end.position == StreamPosition::kNoEvent && IsSuccess(end.status) &&
      end.framing == BodyFraming::kClose) {
    return "the connection closed before any event" + after;
  }
  return std::nullopt;
}

bool MayBeTruncated(const AnswerBodyEnd& end) {
  return end.framing == BodyFraming::kClose ||
         end.position == StreamPosition::kInsideEvent;
}

}  // namespace indigolead
