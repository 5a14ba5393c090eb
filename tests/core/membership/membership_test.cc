#include "core/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1000s);

ListedInstance Entry(const std::string& name, bool leaving = false) {
  return {name, MemberKind::kEntry, "bilbao-a", "norte", name + ":1", leaving};
}

MemberHello HelloOf(const std::string& name) {
  return {name, MemberKind::kEntry, "bilbao-a", "norte", false};
}

Membership::Options SideOptions() {
  Membership::Options options;
  options.plan.self_name = "side-1";
  return options;
}

bool Has(const std::vector<MembershipAction>& actions,
         const MembershipAction& wanted) {
  return std::count(actions.begin(), actions.end(), wanted) > 0;
}

// Each row is a sequence of timed events for one instance and the state that
// must result.
TEST_CASE("Membership derives the state from the list and the links") {
  enum class Step {
    kListed,
    kUnlisted,
    kListLeaving,
    kUp,
    kDown,
    kSaysLeaving
  };
  struct TimedStep {
    Duration at;
    Step step;
  };
  struct Row {
    std::string name;
    std::vector<TimedStep> steps;
    Duration checked_at;
    MemberState expected;
  };
  const std::vector<Row> rows = {
      {"listed, never linked",
       {{0s, Step::kListed}},
       60s,
       MemberState::kSuspect},
      {"linked before the list shows it",
       {{0s, Step::kUp}},
       60s,
       MemberState::kLive},
      {"asymmetric loss: listed, but the link is lost",
       {{0s, Step::kListed}, {1s, Step::kUp}, {5s, Step::kDown}},
       60s,
       MemberState::kSuspect},
      {"dead, and removed from the list late",
       {{0s, Step::kListed},
        {1s, Step::kUp},
        {5s, Step::kDown},
        {30s, Step::kUnlisted}},
       60s,
       MemberState::kGone},
      {"unlisted, but the link is up: the list lags",
       {{0s, Step::kListed}, {1s, Step::kUp}, {5s, Step::kUnlisted}},
       60s,
       MemberState::kLive},
      {"neither linked nor listed, before the timeout",
       {{0s, Step::kUp}, {5s, Step::kDown}},
       14s,
       MemberState::kSuspect},
      {"neither linked nor listed for the timeout",
       {{0s, Step::kUp}, {5s, Step::kDown}},
       15s,
       MemberState::kGone},
      {"leaving by the list",
       {{0s, Step::kUp}, {1s, Step::kListLeaving}},
       2s,
       MemberState::kLeaving},
      {"leaving by its own notice, not yet by the list",
       {{0s, Step::kListed}, {1s, Step::kUp}, {2s, Step::kSaysLeaving}},
       3s,
       MemberState::kLeaving},
      {"left and restarted",
       {{0s, Step::kListed},
        {1s, Step::kUp},
        {2s, Step::kSaysLeaving},
        {3s, Step::kDown},
        {4s, Step::kUp}},
       5s,
       MemberState::kLive},
      {"flapping: three losses, just up again",
       {{0s, Step::kUp},
        {1s, Step::kDown},
        {2s, Step::kUp},
        {3s, Step::kDown},
        {4s, Step::kUp},
        {5s, Step::kDown},
        {6s, Step::kUp}},
       10s,
       MemberState::kSuspect},
      {"flapping, then stable",
       {{0s, Step::kUp},
        {1s, Step::kDown},
        {2s, Step::kUp},
        {3s, Step::kDown},
        {4s, Step::kUp},
        {5s, Step::kDown},
        {6s, Step::kUp}},
       11s,
       MemberState::kLive},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.name) {
      Membership membership(SideOptions(), {});
      std::uint64_t link = 0;
      for (Duration t = 0s; t <= row.checked_at; t += 500ms) {
        const TimePoint now = kStart + t;
        membership.Tick(now);
        for (const TimedStep& timed_step : row.steps) {
          if (timed_step.at != t) {
            continue;
          }
          switch (timed_step.step) {
            case Step::kListed:
              membership.OnInstanceList({Entry("x")}, now);
              break;
            case Step::kUnlisted:
              membership.OnInstanceList({}, now);
              break;
            case Step::kListLeaving:
              membership.OnInstanceList({Entry("x", true)}, now);
              break;
            case Step::kUp:
              ++link;
              membership.OnLinkUp(link, HelloOf("x"), now);
              break;
            case Step::kDown:
              membership.OnLinkDown(link, now);
              break;
            case Step::kSaysLeaving:
              membership.OnLeaving("x", true, now);
              break;
          }
        }
        membership.Tick(now);
      }
      INFO("state: " << MemberStateName(membership.StateOf("x")));
      CHECK(membership.StateOf("x") == row.expected);
    }
  }
}

TEST_CASE("An instance stays live while one of its links is up") {
  Membership membership(SideOptions(), {});
  membership.OnLinkUp(1, HelloOf("x"), kStart);
  membership.OnLinkUp(2, HelloOf("x"), kStart);
  CHECK(membership.OnLinkDown(1, kStart + 1s).empty());
  CHECK(membership.StateOf("x") == MemberState::kLive);
  CHECK(Has(membership.OnLinkDown(2, kStart + 2s),
            MemberChanged{"x", MemberState::kLive, MemberState::kSuspect}));
}

// This process is paused for a minute just after it lost a link. After the
// pause the loss looks a minute old, but the instance could not have reached
// this process in that time and must not be declared gone.
TEST_CASE("A pause or a clock jump does not make instances gone") {
  Membership membership(SideOptions(), {});
  membership.Tick(kStart);
  membership.OnLinkUp(1, HelloOf("x"), kStart);
  membership.OnLinkDown(1, kStart);

  SECTION("a tick long after the last event") {
    membership.Tick(kStart + 60s);
    CHECK(membership.StateOf("x") == MemberState::kSuspect);
    for (Duration t = 61s; t <= 71s; t += 1s) {
      membership.Tick(kStart + t);
    }
    CHECK(membership.StateOf("x") == MemberState::kGone);
  }
  SECTION("a tick earlier than the last event") {
    membership.Tick(kStart - 60s);
    CHECK(membership.StateOf("x") == MemberState::kSuspect);
    for (Duration t = -59s; t <= -49s; t += 1s) {
      membership.Tick(kStart + t);
    }
    CHECK(membership.StateOf("x") == MemberState::kGone);
  }
}

TEST_CASE("Membership connects by plan and disconnects after a delay") {
  Membership::Options options = SideOptions();
  options.seeds = {"seed:1"};
  bool may_disconnect = true;
  Membership membership(options,
                        {[&](const std::string&) { return may_disconnect; }});
  CHECK(Has(membership.Tick(kStart), ConnectTo{"seed:1"}));
  CHECK(membership.Tick(kStart + 1s).empty());

  std::vector<ListedInstance> list = {Entry("x"), Entry("y")};
  membership.OnInstanceList(list, kStart + 1s);
  const auto dialled = membership.Tick(kStart + 1s + 2ms);
  CHECK(Has(dialled, ConnectTo{"x:1"}));
  CHECK(Has(dialled, ConnectTo{"y:1"}));

  SECTION("two instances listed at one address are dialed once") {
    list.push_back(Entry("z"));
    list.back().link_address = "x:1";
    membership.OnInstanceList(list, kStart + 2s);
    CHECK_FALSE(Has(membership.Tick(kStart + 3s), ConnectTo{"x:1"}));
  }
  SECTION("an address out of the plan is kept for the delay and while in use") {
    membership.OnInstanceList({Entry("x")}, kStart + 2s);
    for (Duration t = 3s; t < 12s; t += 1s) {
      CHECK_FALSE(Has(membership.Tick(kStart + t), DisconnectFrom{"y:1"}));
    }
    may_disconnect = false;
    CHECK_FALSE(Has(membership.Tick(kStart + 12s), DisconnectFrom{"y:1"}));
    may_disconnect = true;
    CHECK(Has(membership.Tick(kStart + 13s), DisconnectFrom{"y:1"}));
  }
  SECTION("an entry that is unlisted for a short time stays connected") {
    membership.OnInstanceList({Entry("x")}, kStart + 2s);
    membership.OnInstanceList(list, kStart + 5s);
    for (Duration t = 5s; t < 30s; t += 1s) {
      const auto actions = membership.Tick(kStart + t);
      CHECK_FALSE(Has(actions, DisconnectFrom{"y:1"}));
      CHECK_FALSE(Has(actions, ConnectTo{"y:1"}));
    }
  }
  SECTION("a list without entries closes no connection") {
    membership.OnInstanceList({}, kStart + 2s);
    for (Duration t = 3s; t < 30s; t += 1s) {
      CHECK_FALSE(Has(membership.Tick(kStart + t), DisconnectFrom{"x:1"}));
    }
  }
}

TEST_CASE("Dials to a long list are spread over time") {
  Membership::Options options = SideOptions();
  options.plan.entries_per_region = 1000;
  Membership membership(options, {});
  std::vector<ListedInstance> list;
  list.reserve(1000);
  for (int n = 0; n < 1000; ++n) {
    list.push_back(Entry("entry-" + std::to_string(n)));
  }
  membership.OnInstanceList(list, kStart);
  std::size_t dialled = 0;
  for (Duration t = 100ms; t <= 1s; t += 100ms) {
    const std::size_t n = membership.Tick(kStart + t).size();
    CHECK(n > 50);
    CHECK(n < 200);
    dialled += n;
  }
  CHECK(dialled == 1000);
}

TEST_CASE("Membership ignores instances beyond max_instances") {
  Membership::Options options = SideOptions();
  options.max_instances = 10;
  Membership membership(options, {});
  for (std::uint64_t n = 0; n < 50; ++n) {
    membership.OnLinkUp(n, HelloOf("x" + std::to_string(n)), kStart);
  }
  CHECK(membership.member_count() == 10);
  CHECK(membership.ignored_count() == 40);
}

}  // namespace
}  // namespace indigolead
