#include "entry/account_counters.h"

#include <catch2/catch.hpp>
#include <string>

namespace indigolead {
namespace {

/// Returns true if the metrics show `value` for the counter `name` of
/// `account`.
bool HasCounter(const MetricsRegistry& metrics, const std::string& name,
                const std::string& account, int value) {
  const std::string line = "\nindigolead_account_requests_" + name +
                           "_total{account=\"" + account + "\"} " +
                           std::to_string(value) + "\n";
  return metrics.ToPrometheusText().find(line) != std::string::npos;
}

TEST_CASE("Requests are counted by client account") {
  MetricsRegistry metrics;
  AccountCounters counters(&metrics, /*max_accounts=*/2);
  counters.OnAnswered("salon");
  counters.OnAnswered("salon");
  counters.OnFailed("salon");
  counters.OnAnswered("");
  CHECK(HasCounter(metrics, "answered", "salon", 2));
  CHECK(HasCounter(metrics, "failed", "salon", 1));
  CHECK(HasCounter(metrics, "answered", "(no account)", 1));

  SECTION("accounts beyond the bound share counters") {
    counters.OnAnswered("owner");
    counters.OnAnswered("head-office");
    counters.OnAnswered("salon");
    CHECK(HasCounter(metrics, "answered", "(all others)", 2));
    CHECK(HasCounter(metrics, "answered", "salon", 3));
    CHECK(metrics.ToPrometheusText().find("owner") == std::string::npos);
  }
}

TEST_CASE("An account name is escaped in its label") {
  MetricsRegistry metrics;
  AccountCounters counters(&metrics);
  counters.OnAnswered("a\"b\\c");
  CHECK(HasCounter(metrics, "answered", "a\\\"b\\\\c", 1));
}

}  // namespace
}  // namespace indigolead
