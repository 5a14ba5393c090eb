#include "core/request/answer_end.h"

namespace indigolead {

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

bool IsDoubtful(const AnswerBodyEnd& end) {
  return end.framing == BodyFraming::kClose ||
         end.position == StreamPosition::kInsideEvent;
}

}  // namespace indigolead
