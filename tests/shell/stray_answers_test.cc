#include "entry/stray_answers.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "entry/events.h"

namespace indigolead {
namespace {

/// Guards against a faulty target that fills the log.
TEST_CASE("Stray answers are all counted and logged once a second") {
  MetricsRegistry metrics;
  std::vector<std::string> lines;
  StrayAnswers strays(&metrics,
                      [&](const EventInfo& event, const EventFields& fields) {
                        lines.push_back(FormatEvent(event, fields));
                      });
  const TimePoint start{};
  for (int i = 0; i < 5; ++i) {
    strays.Add("i-1", StrayAnswer::kWithoutId, start);
  }
  REQUIRE(lines.size() == 1);
  CHECK_THAT(lines[0], Catch::Contains("target=i-1") &&
                           Catch::Contains("reason=without-id") &&
                           Catch::Contains("unlogged=0"));

  strays.Add("i-2", StrayAnswer::kUnproved, start + std::chrono::seconds(1));
  REQUIRE(lines.size() == 2);
  CHECK_THAT(lines[1], Catch::Contains("target=i-2") &&
                           Catch::Contains("reason=unproved") &&
                           Catch::Contains("unlogged=4"));
}

}  // namespace
}  // namespace indigolead
