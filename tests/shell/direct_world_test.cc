#include "tests/support/direct_world.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace indigolead::testing {
namespace {

/// Returns the number in the environment variable, or `otherwise`.
std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// What callers and operators are promised, whatever fails and in what order:
// - a request that may run once runs once at most, and is never told that it
//   has not run, or never will, if it has or does; nor that it may have run if
//   it was not sent;
// - an answer is that of its request and whole; a stream's events come in
//   order, each once, and a stream that ends as whole is;
// - each caller gets one final answer, by its deadline;
// - nothing goes to a target that the entry knows to be leaving, or for a
//   caller that has left, and no target goes on working for one;
// - attempts keep to the route's number and to the retry budget;
// - a target that names a limit gets no more calls than that, of any kind, from
//   the entries that it has told;
// - nothing stays behind.
// More worlds by hand: INDIGOLEAD_FIRST_WORLD and INDIGOLEAD_WORLDS.
TEST_CASE("The direct path keeps its promises in random worlds") {
  const std::uint64_t first = NumberFrom("INDIGOLEAD_FIRST_WORLD", 1);
  const std::uint64_t count = NumberFrom("INDIGOLEAD_WORLDS", 150);
  DirectWorldReport total;
  int broken = 0;
  for (std::uint64_t seed = first; seed < first + count && broken < 10;
       ++seed) {
    const DirectWorldReport report = PlayDirectWorld(seed);
    INFO("world " << seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
    broken += report.violations.empty() ? 0 : 1;
    total.requests += report.requests;
    total.answered += report.answered;
    total.refused += report.refused;
    total.unknown += report.unknown;
    total.cut += report.cut;
    total.retries += report.retries;
    total.resumed += report.resumed;
  }
  INFO(total.requests << " requests: " << total.answered << " answered, "
                      << total.refused << " refused, " << total.unknown
                      << " unknown, " << total.cut << " cut; " << total.retries
                      << " retries, " << total.resumed << " resumed");
  // The worlds are such that most is served, and every way is taken.
  CHECK(total.answered > total.requests / 3);
  CHECK(total.refused > 0);
  CHECK(total.unknown > 0);
  CHECK(total.retries > 0);
  CHECK(total.resumed > 0);
}

/// Guards against requests for a target that is gone, which reach the target in
/// need that has its address now, beyond what that one takes.
TEST_CASE("Calls for an earlier holder of an address count for its limit") {
  for (const std::uint64_t seed :
       {1049, 1255, 1363, 2458, 2583, 2808, 3214, 3537, 3636, 3644}) {
    INFO("world " << seed);
    const DirectWorldReport report = PlayDirectWorld(seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
  }
}

}  // namespace
}  // namespace indigolead::testing
