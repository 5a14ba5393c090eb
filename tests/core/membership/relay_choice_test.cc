#include "core/membership/relay_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

std::vector<RelayCandidate> Entries(int n) {
  std::vector<RelayCandidate> entries;
  for (int it = 0; it < n; ++it) {
    const std::string number = std::to_string(it);
    entries.push_back({"entry-" + number, "bilbao",
                       "10.0.0." + number + ":7380", it < 2 ? 1.0 : 0.1});
    entries.push_back(
        {"other-" + number, "oviedo", "10.1.0." + number + ":7380", 4.0});
  }
  return entries;
}

RelayChoice ChoiceOf(const std::string& own_name) {
  RelayChoice::Options options;
  options.own_name = own_name;
  options.failure_domain = "bilbao";
  return RelayChoice(options);
}

TEST_CASE("The entries of a failure domain select the same relay") {
  RelayChoice choice = ChoiceOf("entry-5");
  CHECK_FALSE(choice.SelectRelay(kStart));
  choice.OnEntries(Entries(8));
  const auto best = choice.SelectRelay(kStart);
  REQUIRE(best);
  CHECK(best->failure_domain == "bilbao");
  CHECK(best->processor == 1.0);
  RelayChoice another = ChoiceOf("entry-7");
  auto reversed = Entries(8);
  std::reverse(reversed.begin(), reversed.end());
  another.OnEntries(reversed);
  CHECK(another.SelectRelay(kStart) == best);

  SECTION("none if there are too few entries") {
    choice.OnEntries(Entries(7));
    CHECK_FALSE(choice.SelectRelay(kStart));
  }
  SECTION("never one without an address") {
    auto entries = Entries(8);
    for (RelayCandidate& it : entries) {
      it.address = it.name == best->name ? "" : it.address;
    }
    entries.push_back({"entry-8", "bilbao", "10.0.0.8:7380", 0.1});
    choice.OnEntries(entries);
    CHECK(choice.SelectRelay(kStart)->name != best->name);
  }
  SECTION("the next one after a failure, for longer each time") {
    choice.OnFailed(best->name, kStart);
    const auto next = choice.SelectRelay(kStart);
    REQUIRE(next);
    CHECK(next->name != best->name);
    CHECK(next->processor == 1.0);
    CHECK(choice.SelectRelay(kStart + seconds(10)) == best);
    choice.OnFailed(best->name, kStart + seconds(10));
    CHECK(choice.SelectRelay(kStart + seconds(29)) == next);
    CHECK(choice.SelectRelay(kStart + seconds(30)) == best);
    choice.OnAnswered(best->name);
    choice.OnFailed(best->name, kStart + seconds(40));
    CHECK(choice.SelectRelay(kStart + seconds(50)) == best);
  }
  SECTION("several requests lost at once count as one failure") {
    choice.OnFailed(best->name, kStart);
    choice.OnFailed(best->name, kStart + seconds(1));
    CHECK(choice.SelectRelay(kStart + seconds(10)) == best);
  }
  SECTION("none if all have failed") {
    for (const RelayCandidate& it : Entries(8)) {
      choice.OnFailed(it.name, kStart);
    }
    CHECK_FALSE(choice.SelectRelay(kStart));
  }
}

/// Guards against an entry with little CPU that relays to so many others that
/// it cannot serve callers.
TEST_CASE("No entry relays to more entries than its CPU allows") {
  constexpr double kCpuShare = 0.09;
  constexpr std::size_t kMaxFollowers = 90;  // 1000 per core.
  for (const std::size_t entries : {8, 50, 90, 100, 200, 400, 1000}) {
    for (const bool has_whole_core : {false, true}) {
      INFO(entries << " entries, one with a whole core: " << has_whole_core);
      std::vector<RelayCandidate> listed;
      for (std::size_t it = 0; it < entries; ++it) {
        listed.push_back({"entry-" + std::to_string(it), "bilbao",
                          "10.0.0.1:7380",
                          it == 0 && has_whole_core ? 1.0 : kCpuShare});
      }
      std::map<std::string, std::size_t> followers;
      for (const RelayCandidate& it : listed) {
        RelayChoice choice = ChoiceOf(it.name);
        choice.OnEntries(listed);
        const auto best = choice.SelectRelay(kStart);
        REQUIRE(best);
        ++followers[best->name];
      }
      // As few relays as needed, none with more than twice its even share.
      const std::size_t relays =
          has_whole_core ? 1 : (entries + kMaxFollowers - 1) / kMaxFollowers;
      CHECK(followers.size() == relays);
      for (const auto& [name, n] : followers) {
        CHECK(n <= 2 * entries / relays);
        // A relay uses no other relay.
        RelayChoice choice = ChoiceOf(name);
        choice.OnEntries(listed);
        CHECK(choice.SelectRelay(kStart)->name == name);
      }
    }
  }
}

}  // namespace
}  // namespace indigolead
