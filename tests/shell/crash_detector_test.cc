#include "entry/crash_detector.h"

#include <catch2/catch.hpp>
#include <functional>
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

}  // namespace
}  // namespace indigolead
