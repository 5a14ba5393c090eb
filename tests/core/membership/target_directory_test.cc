#include "core/membership/target_directory.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = TargetChange::Kind;

TargetRecord Target(const std::string& id, bool leaving = false) {
  TargetRecord record;
  record.id = id;
  record.service = "salon-app";
  record.address = "10.1.0.9:8080";
  record.failure_domain = "oviedo";
  record.leaving = leaving;
  return record;
}

std::vector<Kind> KindsOf(const std::vector<TargetChange>& changes) {
  std::vector<Kind> kinds;
  kinds.reserve(changes.size());
  for (const TargetChange& it : changes) {
    kinds.push_back(it.kind);
  }
  return kinds;
}

TEST_CASE("TargetDirectory reports changes of the list") {
  TargetDirectory directory{TargetDirectory::Options{}};
  TimePoint now{seconds(100)};
  directory.OnStoreFollowed(now);
  REQUIRE(KindsOf(directory.OnListed({Target("a"), Target("b")}, now)) ==
          std::vector<Kind>{Kind::kAdded, Kind::kAdded});

  SECTION("a target listed as leaving is reported once") {
    CHECK(KindsOf(directory.OnListed({Target("a", true), Target("b")}, now)) ==
          std::vector<Kind>{Kind::kUpdated, Kind::kLeaving});
    CHECK(directory.OnListed({Target("a", true), Target("b")}, now).empty());
  }
  SECTION("a target with another run has restarted") {
    TargetRecord first = Target("a");
    first.run = TargetRun{1000};
    REQUIRE(KindsOf(directory.OnListed({first, Target("b")}, now)) ==
            std::vector<Kind>{Kind::kUpdated});
    TargetRecord second = first;
    // The target's clock may be set back, so the later run can have the smaller
    // number.
    second.run = TargetRun{400};
    CHECK(KindsOf(directory.OnListed({second, Target("b")}, now)) ==
          std::vector<Kind>{Kind::kRestarted});
    CHECK(directory.OnListed({second, Target("b")}, now).empty());
    SECTION("also if it was leaving or unlisted before") {
      second.leaving = true;
      directory.OnListed({second, Target("b")}, now);
      CHECK(KindsOf(directory.OnListed({first, Target("b")}, now)) ==
            std::vector<Kind>{Kind::kRestarted, Kind::kReturned});
      directory.OnListed({Target("b")}, now);
      CHECK(KindsOf(directory.OnListed({second, Target("b")}, now)) ==
            std::vector<Kind>{Kind::kRestarted});
    }
    SECTION("a record without a run is only an update") {
      CHECK(KindsOf(directory.OnListed({Target("a"), Target("b")}, now)) ==
            std::vector<Kind>{Kind::kUpdated});
    }
  }
  SECTION("a target that announces that it leaves is reported once") {
    CHECK(KindsOf(directory.OnLeavingNotice("a")) ==
          std::vector<Kind>{Kind::kLeaving});
    CHECK(directory.OnLeavingNotice("a").empty());
    SECTION("later lists do not make it return") {
      CHECK(directory.OnListed({Target("a"), Target("b")}, now).empty());
      directory.OnListed({Target("b")}, now);
      CHECK(directory.OnListed({Target("a"), Target("b")}, now).empty());
    }
    SECTION("another run makes it return") {
      TargetRecord run = Target("a");
      run.run = TargetRun{1};
      directory.OnListed({run, Target("b")}, now);
      run.run = TargetRun{2};
      CHECK(KindsOf(directory.OnListed({run, Target("b")}, now)) ==
            std::vector<Kind>{Kind::kRestarted, Kind::kReturned});
      CHECK(directory.OnListed({run, Target("b")}, now).empty());
    }
    CHECK(directory.OnLeavingNotice("unknown").empty());
  }
  SECTION("an unlisted target is leaving at once") {
    CHECK(KindsOf(directory.OnListed({Target("b")}, now)) ==
          std::vector<Kind>{Kind::kLeaving});
    SECTION("and returns if it is listed again") {
      CHECK(KindsOf(directory.OnListed({Target("a"), Target("b")}, now)) ==
            std::vector<Kind>{Kind::kReturned});
    }
    SECTION("and is removed when no request of it can still run") {
      CHECK(directory.Tick(now + seconds(59)).empty());
      CHECK(KindsOf(directory.Tick(now + seconds(60))) ==
            std::vector<Kind>{Kind::kRemoved});
      CHECK(directory.Find("a") == nullptr);
    }
  }
}

/// Guards against requests to a target that is gone, sent for seconds because
/// one call to the store went unanswered before.
TEST_CASE("A short outage of the store does not delay the removal of targets") {
  TargetDirectory::Options options;
  options.return_grace = milliseconds(2300);
  options.min_outage = milliseconds(2400);
  TargetDirectory directory{options};
  TimePoint now{seconds(100)};
  directory.OnStoreFollowed(now);
  directory.OnListed({Target("a"), Target("b")}, now);
  now += seconds(20);
  directory.OnStoreLost(/*heard_at=*/now - milliseconds(1750));

  SECTION("absence counts at once after a short outage") {
    now += milliseconds(160);
    directory.OnStoreFollowed(now);
    CHECK(directory.OnListed({Target("a"), Target("b")}, now).empty());
    now += milliseconds(100);
    CHECK(KindsOf(directory.OnListed({Target("b")}, now)) ==
          std::vector<Kind>{Kind::kLeaving});
  }
  SECTION("absence waits after an outage that may have dropped a live target") {
    now += milliseconds(400);
    directory.OnStoreLost(now);  // Reading a list has failed as well.
    now += milliseconds(300);
    directory.OnStoreFollowed(now);
    CHECK(directory.OnListed({Target("b")}, now).empty());
    CHECK(directory.Tick(now + milliseconds(2200)).empty());
    CHECK(KindsOf(directory.Tick(now + milliseconds(2300))) ==
          std::vector<Kind>{Kind::kLeaving});
  }
}

// Guards against callers refused for seconds after an outage of the store. The
// store could not receive the targets' heartbeats and dropped all targets, so
// its first list is empty; the targets register again within two seconds.
TEST_CASE("Targets stay usable after an outage of the store") {
  TargetDirectory::Options options;
  options.return_grace = milliseconds(2300);
  TargetDirectory directory{options};
  TimePoint now{seconds(100)};
  directory.OnStoreFollowed(now);
  directory.OnListed({Target("a"), Target("b")}, now);
  now += seconds(20);
  directory.OnStoreLost(now);
  now += seconds(5);
  CHECK(directory.Tick(now).empty());
  directory.OnStoreFollowed(now);
  REQUIRE(directory.OnListed({}, now).empty());

  SECTION("targets that register again are never reported as leaving") {
    now += milliseconds(1900);
    CHECK(directory.OnListed({Target("a"), Target("b")}, now).empty());
    CHECK(directory.Tick(now + seconds(5)).empty());
  }
  SECTION("a target still missing after the grace is leaving") {
    now += milliseconds(1900);
    CHECK(directory.OnListed({Target("b")}, now).empty());
    CHECK(directory.Tick(now + milliseconds(300)).empty());
    CHECK(KindsOf(directory.Tick(now + milliseconds(400))) ==
          std::vector<Kind>{Kind::kLeaving});
  }
  // The watch pauses between two calls, so the list may date from before the
  // end of the grace. A target that returned during the pause would be marked
  // as leaving, and its callers refused, until the next call.
  SECTION("a target that returned during a pause of the watch is kept") {
    const TimePoint last_answer = now + milliseconds(1000);
    directory.OnKnownUntil(last_answer);
    CHECK(directory.Tick(now + milliseconds(2900)).empty());
    now += milliseconds(3000);
    directory.OnKnownUntil(now);
    CHECK(directory.OnListed({Target("a"), Target("b")}, now).empty());
    CHECK(directory.Tick(now + seconds(5)).empty());
  }
  SECTION("a target still missing in the watch's next answer is leaving") {
    directory.OnKnownUntil(now + milliseconds(1000));
    CHECK(directory.OnListed({Target("b")}, now + milliseconds(1000)).empty());
    CHECK(directory.Tick(now + milliseconds(2900)).empty());
    now += milliseconds(3000);
    directory.OnKnownUntil(now);
    CHECK(KindsOf(directory.Tick(now)) == std::vector<Kind>{Kind::kLeaving});
  }
  SECTION("a target listed as leaving is leaving at once") {
    CHECK(KindsOf(directory.OnListed({Target("a", true)}, now)) ==
          std::vector<Kind>{Kind::kUpdated, Kind::kLeaving});
  }
  SECTION("an answer from before the end of the grace decides nothing") {
    REQUIRE(directory.AbsenceDue() == now + milliseconds(2300));
    directory.OnKnownUntil(now + milliseconds(2299));
    CHECK(directory.Tick(now + seconds(4)).empty());
    directory.OnKnownUntil(*directory.AbsenceDue());
    CHECK(directory.Tick(now + seconds(4)).size() == 2);
    CHECK_FALSE(directory.AbsenceDue());
  }
  SECTION("missing targets may have left until that is decided") {
    directory.OnListed({Target("b")}, now);
    CHECK(directory.undecided());
    CHECK(directory.MayHaveLeft("a"));
    CHECK_FALSE(directory.MayHaveLeft("b"));
    directory.OnListed({Target("a"), Target("b")}, now);
    CHECK_FALSE(directory.undecided());
  }
}

/// Guards against callers refused after an outage of the store that dropped
/// most targets: the few listed ones cannot take the work of all.
TEST_CASE("At most a quarter of the targets may have left together") {
  CHECK(TargetDirectory::MayHaveLeftTogether(0, 0));
  CHECK(TargetDirectory::MayHaveLeftTogether(1, 4));
  CHECK_FALSE(TargetDirectory::MayHaveLeftTogether(2, 4));
  CHECK_FALSE(TargetDirectory::MayHaveLeftTogether(3, 4));
}

/// Guards against new work for a target that was removed from the list while
/// the list was followed, because of an outage of the store shortly before.
TEST_CASE("A target removed after the store's return is leaving within 2 s") {
  constexpr milliseconds kBound{2000};
  TargetDirectory directory{TargetDirectory::Options{}};
  TimePoint now{seconds(100)};
  directory.OnStoreFollowed(now);
  directory.OnListed({Target("a"), Target("b")}, now);
  directory.OnStoreLost(now);
  now += seconds(5);
  directory.OnStoreFollowed(now);
  directory.OnKnownUntil(now);
  REQUIRE(directory.OnListed({Target("a"), Target("b")}, now).empty());
  // Removed right after this answer; the watch pauses for a second between
  // answers.
  const TimePoint removed = now;
  std::vector<Kind> reported;
  while (now < removed + kBound) {
    now += seconds(1);
    directory.OnKnownUntil(now);
    const auto changes = KindsOf(directory.OnListed({Target("a")}, now));
    reported.insert(reported.end(), changes.begin(), changes.end());
  }
  CHECK(reported == std::vector<Kind>{Kind::kLeaving});
}

TEST_CASE("TargetDirectory ignores targets beyond max_targets") {
  TargetDirectory::Options options;
  options.max_targets = 2;
  TargetDirectory directory(options);
  const TimePoint now{seconds(1)};
  CHECK(
      directory.OnListed({Target("a"), Target("b"), Target("c")}, now).size() ==
      2);
  CHECK(directory.size() == 2);
}

}  // namespace
}  // namespace indigolead
