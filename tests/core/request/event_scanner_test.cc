#include "core/request/event_scanner.h"

#include <catch2/catch.hpp>
#include <string>

#include "core/request/answer_end.h"

namespace indigolead {
namespace {

using Position = StreamPosition;

/// Result of scanning a stream.
struct Scanned {
  Position position = Position::kNoEvent;
  std::size_t complete_bytes = 0;  ///< Bytes before the incomplete event.
};

/// Scans `stream` in parts of `part` bytes.
Scanned Scan(std::string_view stream, std::size_t part) {
  EventScanner scanner;
  Scanned scanned;
  for (std::size_t at = 0; at < stream.size(); at += part) {
    const std::size_t n = scanner.Scan(stream.substr(at, part));
    if (n > 0) {
      scanned.complete_bytes = at + n;
    }
  }
  scanned.position = scanner.position();
  return scanned;
}

struct Row {
  std::string stream;
  Position position;
  std::size_t complete_bytes;
};

TEST_CASE("EventScanner reports the position in an event stream") {
  const Row row = GENERATE(values<Row>({
      {"", Position::kNoEvent, 0},
      {"\n\n", Position::kNoEvent, 2},
      {": hello\n", Position::kNoEvent, 8},
      {": hel", Position::kInsideEvent, 0},
      {"\xEF\xBB\xBF", Position::kNoEvent, 3},
      {"\xEF\xBB\xBF: hello\n", Position::kNoEvent, 11},
      {"d", Position::kInsideEvent, 0},
      {"id: 1", Position::kInsideEvent, 0},
      {"id: 1\n", Position::kInsideEvent, 0},
      {"id: 1\ndata: ge", Position::kInsideEvent, 0},
      {"data: gel\n", Position::kInsideEvent, 0},
      {"data: gel\n\n", Position::kBetweenEvents, 11},
      {"data: gel\r\r", Position::kBetweenEvents, 11},
      {"data: gel\r\n", Position::kInsideEvent, 0},
      {"data: gel\r\n\r", Position::kBetweenEvents, 12},
      {"data: gel\r\n\r\n", Position::kBetweenEvents, 13},
      {"data: gel\n\r\n", Position::kBetweenEvents, 12},
      {"data: gel\r\n\n", Position::kBetweenEvents, 12},
      {"data: gel\n\n\n", Position::kBetweenEvents, 12},
      {"data: gel\n\nd", Position::kInsideEvent, 11},
      {"data: gel\n\n: bye\n", Position::kBetweenEvents, 17},
      {"data: gel\n: in\n", Position::kInsideEvent, 0},
      {"data: gel\n: in\n\n", Position::kBetweenEvents, 16},
      {"data: gel\n\nid: 2\ndata: x\n", Position::kInsideEvent, 11},
  }));
  INFO(row.stream);
  const std::size_t part = GENERATE(1, 2, 3, 100);
  INFO("in parts of " << part << " bytes");
  const Scanned scanned = Scan(row.stream, part);
  CHECK(scanned.position == row.position);
  CHECK(scanned.complete_bytes == row.complete_bytes);
}

TEST_CASE("IsEventStream checks content type and encoding") {
  CHECK(IsEventStream("text/event-stream", ""));
  CHECK(IsEventStream("Text/Event-Stream; charset=utf-8", "Identity"));
  CHECK_FALSE(IsEventStream("text/event-stream", "gzip"));
  CHECK_FALSE(IsEventStream("text/event", ""));
  CHECK_FALSE(IsEventStream("application/json", ""));
  CHECK_FALSE(IsEventStream("", ""));
}

TEST_CASE("An end is uncertain unless framing and events prove it") {
  AnswerBodyEnd end;
  end.status = 200;
  CHECK_FALSE(MayBeTruncated(end));
  end.framing = BodyFraming::kClose;
  CHECK(MayBeTruncated(end));
  end.framing = BodyFraming::kChunks;
  CHECK_FALSE(MayBeTruncated(end));
  end.position = Position::kInsideEvent;
  CHECK(MayBeTruncated(end));
  end.position = Position::kBetweenEvents;
  CHECK_FALSE(MayBeTruncated(end));
}

}  // namespace
}  // namespace indigolead
