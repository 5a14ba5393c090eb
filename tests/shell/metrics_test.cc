#include "observe/metrics.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("A histogram prints cumulative buckets with fixed bounds") {
  MetricsRegistry registry;
  Histogram& seconds =
      registry.AddHistogram("answer_seconds", "Time.", "service=\"app\"");

  SECTION("an empty histogram prints every bucket") {
    const std::string text = registry.ToPrometheusText();
    CHECK(Contains(text, "# TYPE answer_seconds histogram\n"));
    CHECK(Contains(text,
                   "answer_seconds_bucket{service=\"app\",le=\"+Inf\"} 0\n"));
  }
  SECTION("each bucket counts all values up to its bound") {
    seconds.Record(0.2);  // Equal to a bound, so it counts in that bucket.
    seconds.Record(0.25);
    seconds.Record(100);
    seconds.Record(-1);  // A clock that was set back.
    const std::string text = registry.ToPrometheusText();
    CHECK(Contains(text, "{service=\"app\",le=\"0.005\"} 1\n"));
    CHECK(Contains(text, "{service=\"app\",le=\"0.2\"} 2\n"));
    CHECK(Contains(text, "{service=\"app\",le=\"0.3\"} 3\n"));
    CHECK(Contains(text, "{service=\"app\",le=\"8\"} 3\n"));
    CHECK(Contains(text, "{service=\"app\",le=\"+Inf\"} 4\n"));
    CHECK(Contains(text, "answer_seconds_sum{service=\"app\"} 100.45\n"));
    CHECK(Contains(text, "answer_seconds_count{service=\"app\"} 4\n"));
  }
}

}  // namespace
}  // namespace indigolead
