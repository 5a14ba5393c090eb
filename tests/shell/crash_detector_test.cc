#include "entry/crash_detector.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "target/target_client.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Status Failed(ErrorCode code) { return Error{code, "target.call", "i-1", ""}; }

TEST_CASE("A broken connection") {
  TimePoint now{seconds(1000)};
  std::vector<std::function<void(const Status&)>> calls;
  std::vector<Fingerprint> crashed;
  CrashDetector::Hooks hooks;
  hooks.call = [&](const std::string&, std::function<void(const Status&)> it) {
    calls.push_back(std::move(it));
  };
  hooks.on_crash = [&](const TargetCrash& crash,
                       const std::vector<RunningRequest>& running) {
    CHECK(crash == TargetCrash{"i-1", 5});
    for (const RunningRequest& it : running) {
      crashed.push_back(it.fingerprint);
    }
  };
  CrashDetector detector(
      CrashDetector::Options{}, hooks, [&] { return now; }, MakeNullEventLog());
  const TargetCrash run{"i-1", 5};
  detector.OnBroken(run, {1, {}});
  detector.OnBroken(run, {2, {}});
  REQUIRE(calls.size() == 1);

  SECTION("is a crash if the probe is refused") {
    calls[0](Failed(ErrorCode::kUnavailable));
    CHECK(crashed == std::vector<Fingerprint>{1, 2});
    SECTION("later breaks belong to the same crash") {
      detector.OnBroken(run, {3, {}});
      CHECK(calls.size() == 1);
      CHECK(crashed == std::vector<Fingerprint>{1, 2, 3});
    }
    SECTION("a much later break is probed separately") {
      now += seconds(2);
      detector.Tick();
      detector.OnBroken(run, {3, {}});
      CHECK(calls.size() == 2);
      CHECK(crashed.size() == 2);
    }
  }
  // Guards against blaming requests for a target that a network fault cut off.
  SECTION("is no crash if the target cannot be reached in time") {
    calls[0](Error{ErrorCode::kUnavailable, kUnreachedStep, "i-1", ""});
    CHECK(crashed.empty());
  }
  SECTION("is a crash if another run of the target answers the probe") {
    calls[0](Failed(ErrorCode::kConflict));
    CHECK(crashed == std::vector<Fingerprint>{1, 2});
  }
  SECTION("is no crash if the target answers") {
    calls[0](Unit{});
    CHECK(crashed.empty());
    SECTION("and the next break is probed again") {
      detector.OnBroken(run, {3, {}});
      REQUIRE(calls.size() == 2);
      calls[1](Failed(ErrorCode::kUnavailable));
      CHECK(crashed == std::vector<Fingerprint>{3});
    }
  }
  SECTION("is no crash if the probe times out") {
    calls[0](Failed(ErrorCode::kTimeout));
    CHECK(crashed.empty());
  }
  SECTION("is probed again if the probe breaks as well") {
    calls[0](Failed(ErrorCode::kUnknownEffect));
    REQUIRE(calls.size() == 2);
    calls[1](Failed(ErrorCode::kUnavailable));
    CHECK(crashed == std::vector<Fingerprint>{1, 2});
  }
  SECTION("is no crash if every probe breaks") {
    calls[0](Failed(ErrorCode::kUnknownEffect));
    calls[1](Failed(ErrorCode::kUnknownEffect));
    calls[2](Failed(ErrorCode::kUnknownEffect));
    CHECK(calls.size() == 3);
    CHECK(crashed.empty());
  }
  SECTION("is not judged while the target cannot be called") {
    now += seconds(2);
    detector.Tick();
    detector.OnBroken(run, {3, {}});
    CHECK(calls.size() == 2);
    CHECK(crashed.empty());
  }
}

/// A detector with a clock, and what it reports.
struct DetectorFixture {
  DetectorFixture() {
    hooks.call = [this](const std::string&,
                        std::function<void(const Status&)> done) {
      probes.push_back(std::move(done));
    };
    hooks.on_crash = [this](const TargetCrash&,
                            const std::vector<RunningRequest>& running) {
      for (const RunningRequest& it : running) {
        crashed.push_back(it.fingerprint);
      }
    };
    hooks.on_answered = [this](const RunningRequest& it) {
      answered.push_back(it.fingerprint);
    };
    detector.emplace(
        CrashDetector::Options{}, hooks, [this] { return now; },
        MakeNullEventLog());
  }

  void Wait(milliseconds length) {
    now += length;
    detector->Tick();
  }

  using Fingerprints = std::vector<Fingerprint>;

  const TargetCrash run{"i-1", 5};
  TimePoint now{seconds(1000)};
  std::vector<std::function<void(const Status&)>> probes;
  Fingerprints crashed;
  Fingerprints answered;
  CrashDetector::Hooks hooks;
  std::optional<CrashDetector> detector;
};

/// Guards against crashes behind an address that accepts connections while the
/// target is down.
TEST_CASE("A break whose first probes prove nothing is judged later") {
  DetectorFixture it;
  it.detector->OnBroken(it.run, {1, {}});
  SECTION("by a further probe that another run answers") {
    for (std::size_t n = 0; n < 3; ++n) {
      it.probes[n](Failed(ErrorCode::kUnknownEffect));
    }
    CHECK(it.probes.size() == 3);
    it.Wait(milliseconds(500));
    REQUIRE(it.probes.size() == 4);
    it.probes[3](Failed(ErrorCode::kConflict));
    CHECK(it.crashed == DetectorFixture::Fingerprints{1});
  }
  SECTION("by a further probe if the first is not answered") {
    it.Wait(milliseconds(500));
    REQUIRE(it.probes.size() == 2);
    it.probes[1](Failed(ErrorCode::kUnavailable));
    CHECK(it.crashed == DetectorFixture::Fingerprints{1});
    it.probes[0](Unit{});
    CHECK(it.crashed.size() == 1);
  }
  SECTION("by a further probe that the same run answers") {
    it.probes[0](Failed(ErrorCode::kTimeout));
    it.Wait(milliseconds(500));
    REQUIRE(it.probes.size() == 2);
    it.probes[1](Unit{});
    it.detector->OnRunEnded(it.run, {}, "test");
    CHECK(it.crashed.empty());
  }
  SECTION("by a list with another run, with what is open there") {
    it.detector->OnRunEnded(it.run, {{2, {}}}, "test");
    CHECK(it.crashed == DetectorFixture::Fingerprints{1, 2});
    SECTION("and what breaks shortly after belongs to it") {
      it.detector->OnBroken(it.run, {3, {}});
      CHECK(it.crashed.size() == 3);
    }
  }
  SECTION("by a list without the target") {
    it.detector->OnUnlisted(it.run);
    CHECK(it.crashed == DetectorFixture::Fingerprints{1});
  }
  SECTION("not if the target announces that it leaves") {
    it.detector->OnLeavingAnnounced(it.run);
    it.detector->OnUnlisted(it.run);
    it.detector->OnRunEnded(it.run, {}, "test");
    CHECK(it.crashed.empty());
  }
  SECTION("not after the evidence window") {
    it.Wait(seconds(5));
    it.detector->OnRunEnded(it.run, {}, "test");
    CHECK(it.crashed.empty());
  }
}

/// Guards against a crash that clears the request which caused it.
TEST_CASE("A doubtful end is an answer only if the target survived it") {
  DetectorFixture it;
  it.detector->OnDoubtfulEnd(it.run, {1, {}});
  CHECK(it.probes.empty());
  it.Wait(milliseconds(100));
  it.detector->OnDoubtfulEnd(it.run, {2, {}});
  it.Wait(milliseconds(200));
  REQUIRE(it.probes.size() == 1);
  it.now += milliseconds(5);
  it.detector->OnDoubtfulEnd(it.run, {3, {}});
  SECTION("the same run answers a later probe") {
    it.probes[0](Unit{});
    CHECK(it.answered == DetectorFixture::Fingerprints{1, 2});
    it.Wait(milliseconds(300));
    REQUIRE(it.probes.size() == 2);
    it.probes[1](Unit{});
    CHECK(it.answered == DetectorFixture::Fingerprints{1, 2, 3});
  }
  SECTION("the probe is refused") {
    it.probes[0](Failed(ErrorCode::kUnavailable));
    CHECK(it.answered.empty());
    CHECK(it.crashed == DetectorFixture::Fingerprints{1, 2, 3});
  }
  SECTION("a target that is only off the list may have survived") {
    it.detector->OnUnlisted(it.run);
    CHECK(it.crashed.empty());
  }
  SECTION("without evidence it counts as an answer in the end") {
    it.Wait(seconds(5));
    CHECK(it.answered == DetectorFixture::Fingerprints{1, 2, 3});
    CHECK(it.crashed.empty());
  }
}

/// Guards against crashes under a request whose caller has left.
TEST_CASE("An abandoned request counts in a crash shortly after") {
  DetectorFixture it;
  it.detector->OnAbandoned(it.run, {1, {}});
  it.Wait(milliseconds(500));
  CHECK(it.probes.empty());
  SECTION("that breaks another request") {
    it.detector->OnBroken(it.run, {2, {}});
    REQUIRE(it.probes.size() == 1);
    it.probes[0](Failed(ErrorCode::kUnavailable));
    CHECK(it.crashed == DetectorFixture::Fingerprints{1, 2});
  }
  SECTION("that follows a break without a crash") {
    it.detector->OnBroken(it.run, {2, {}});
    it.probes[0](Unit{});
    it.detector->OnBroken(it.run, {3, {}});
    REQUIRE(it.probes.size() == 2);
    it.probes[1](Failed(ErrorCode::kUnavailable));
    CHECK(it.crashed == DetectorFixture::Fingerprints{1, 3});
  }
  SECTION("not in a later one") {
    it.Wait(seconds(5));
    it.detector->OnRunEnded(it.run, {}, "test");
    CHECK(it.crashed.empty());
  }
}

TEST_CASE("The suspects of one run are bounded") {
  DetectorFixture it;
  for (Fingerprint n = 1; n <= 600; ++n) {
    it.detector->OnBroken(it.run, {n, {}});
  }
  it.detector->OnRunEnded(it.run, {}, "test");
  CHECK(it.crashed.size() == CrashDetector::Options{}.max_suspects);
  CHECK(it.crashed.back() == 600);
}

}  // namespace
}  // namespace indigolead
