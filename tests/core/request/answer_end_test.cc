#include "core/request/answer_end.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using Framing = BodyFraming;
using Position = StreamPosition;

struct Row {
  AnswerBodyEnd end;
  bool is_truncated;
};

TEST_CASE("Truncated answers are detected by framing and events") {
  const Row row = GENERATE(values<Row>({
      // A body that is not an event stream is complete if its framing is
      // intact.
      {{200, Framing::kLength, 4, std::nullopt}, false},
      {{200, Framing::kChunks, 4, std::nullopt}, false},
      {{200, Framing::kClose, 4, std::nullopt}, false},
      {{200, Framing::kClose, 0, std::nullopt}, false},
      // A partial event is truncated with any framing.
      {{200, Framing::kLength, 9, Position::kInsideEvent}, true},
      {{200, Framing::kChunks, 9, Position::kInsideEvent}, true},
      {{200, Framing::kClose, 9, Position::kInsideEvent}, true},
      {{500, Framing::kClose, 9, Position::kInsideEvent}, true},
      {{200, Framing::kClose, 9, Position::kBetweenEvents}, false},
      {{200, Framing::kChunks, 9, Position::kBetweenEvents}, false},
      // An empty successful stream is truncated if only the close ends it.
      {{200, Framing::kLength, 0, Position::kNoEvent}, false},
      {{200, Framing::kChunks, 0, Position::kNoEvent}, false},
      {{200, Framing::kClose, 0, Position::kNoEvent}, true},
      {{500, Framing::kClose, 0, Position::kNoEvent}, false},
  }));
  INFO(row.end.status << ", framed by " << NameOf(row.end.framing) << ", "
                      << (row.end.position ? NameOf(*row.end.position)
                                           : "no stream"));
  CHECK(FindTruncation(row.end).has_value() == row.is_truncated);
}

}  // namespace
}  // namespace indigolead
