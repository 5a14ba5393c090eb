#include "entry/account_counters.h"

#include <catch2/catch.hpp>
#include <string>

namespace indigolead {
namespace {

/// Returns true if the metrics show `value` for the counter `name` of
/// `account`.
bool Shows(const MetricsRegistry& metrics, const std::string& name,
           const std::string& account, int value) {
  const std::string line = "\nindigolead_account_requests_" + name +
                           "_total{account=\"" + account + "\"} " +
                           std::to_string(value) + "\n";
  return metrics.ToPrometheusText().find(line) != std::string::npos;
}

TEST_CASE("Requests are counted by client account") {
  MetricsRegistry metrics;
  AccountCounters counters(&metrics, /*most_accounts=*/2);
  counters.OnAnswered("salon");
  counters.OnAnswered("salon");
  counters.OnFailed("salon");
  counters.OnAnswered("");
  CHECK(Shows(metrics, "answered", "salon", 2));
  CHECK(Shows(metrics, "failed", "salon", 1));
  CHECK(Shows(metrics, "answered", "(no account)", 1));

  SECTION("accounts beyond the bound share counters") {
    counters.OnAnswered("owner");
    counters.OnAnswered("head-office");
    counters.OnAnswered("salon");
    CHECK(Shows(metrics, "answered", "(all others)", 2));
    CHECK(Shows(metrics, "answered", "salon", 3));
    CHECK(metrics.ToPrometheusText().find("owner") == std::string::npos);
  }
}

TEST_CASE("An account name is escaped in its label") {
  MetricsRegistry metrics;
  AccountCounters counters(&metrics);
  counters.OnAnswered("a\"b\\c");
  CHECK(Shows(metrics, "answered", "a\\\"b\\\\c", 1));
}

}  // namespace
}  // namespace indigolead
