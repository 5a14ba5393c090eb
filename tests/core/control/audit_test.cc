#include "core/control/audit.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/hostile_json.h"

namespace indigolead {
namespace {

using std::chrono::seconds;

AuditRecord Record(WallMicros at, const std::string& subject = "engine-1") {
  return {AuditKind::kOrder, subject, "revision 4",
          "entry-a",         17,      "mixed small@1",
          "mixed small@2",   at};
}

TEST_CASE("The audit trail is written to a ring of segments") {
  const TimePoint t0{seconds(100)};
  AuditTrail::Options options;
  options.entry = "entry-a";
  options.segments = 2;
  options.max_segment_bytes = 400;
  options.max_waiting = 3;
  AuditTrail trail(options);

  SECTION("nothing is written before the segments in the store are loaded") {
    trail.Append(Record(1));
    CHECK_FALSE(trail.Tick(t0));
    trail.OnLoaded({});
    CHECK(trail.Tick(t0));
  }
  SECTION("it continues in the newest segment after a restart") {
    trail.OnLoaded({EncodeAuditRecord(Record(5)) + "\n",
                    EncodeAuditRecord(Record(9)) + "\n"});
    trail.Append(Record(11));
    const auto write = trail.Tick(t0);
    REQUIRE(write);
    CHECK(write->key == "audit/entry-a-1");
    CHECK(ReadAuditSegment(write->value, 0).records ==
          std::vector{Record(9), Record(11)});
  }
  SECTION("a full segment is written before the next one starts") {
    trail.OnLoaded({});
    trail.Append(Record(1));
    trail.Append(Record(2));
    trail.Append(Record(3));
    const auto first = trail.Tick(t0);
    REQUIRE(first);
    CHECK(ReadAuditSegment(first->value, 0).records.size() == 2);
    trail.OnWritten(true);
    CHECK_FALSE(trail.Tick(t0 + seconds(1)));
    const auto second = trail.Tick(t0 + seconds(2));
    REQUIRE(second);
    CHECK(second->key == "audit/entry-a-1");
    CHECK(ReadAuditSegment(second->value, 0).records == std::vector{Record(3)});
  }
  SECTION("a failed write is repeated with the whole segment") {
    trail.OnLoaded({});
    trail.Append(Record(1));
    const auto first = trail.Tick(t0);
    trail.OnWritten(false);
    CHECK(trail.Tick(t0 + seconds(2)) == first);
  }
  SECTION("waiting records are bounded and dropped ones are counted") {
    for (int i = 0; i < 5; ++i) {
      trail.Append(Record(i));
    }
    CHECK(trail.dropped() == 2);
  }
}

TEST_CASE("ReadAuditSegment reads records") {
  const std::string text = EncodeAuditRecord(Record(5)) + "\n" +
                           EncodeAuditRecord(Record(9)) + "\n{broken\n";
  SECTION("records from a given time on") {
    CHECK(ReadAuditSegment(text, 6).records == std::vector{Record(9)});
  }
  SECTION("unreadable lines are counted") {
    CHECK(ReadAuditSegment(text, 0).bad_lines == 1);
  }
}

// Guards against a line of another writer that overflows the stack.
TEST_CASE("Hostile audit records are values or bounded errors") {
  CheckHostileDocuments(
      nlohmann::json::parse(EncodeAuditRecord(Record(5))),
      [](const std::string& text) { return DecodeAuditRecord(text); });
}

}  // namespace
}  // namespace indigolead
