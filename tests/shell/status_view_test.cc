#include "cli/status_view.h"

#include <catch2/catch.hpp>

#include "core/control/status.h"

namespace indigolead::cli {
namespace {

using Catch::Matchers::Contains;

constexpr WallMicros kNoon = 1'700'000'000'000'000;  // 2023-11-14T22:13:20Z
constexpr TimePoint kNow{std::chrono::seconds(1000)};

/// Returns the table for `status` as it is shown at `kNow`.
std::string Shown(const SystemStatus& status) {
  const auto text = StatusText(EncodeStatus(status, kNow, kNoon));
  return IsOk(text) ? ValueOf(text) : ToString(ErrorOf(text));
}

TargetStatus SomeTarget() {
  TargetStatus target;
  target.name = "engine-1";
  target.deployment = "tarifa-llm";
  target.health = Timestamped<std::string>::Seen("up", kNow);
  target.role = Timestamped<std::string>::Seen(
      "mixed", kNow - std::chrono::milliseconds(1500));
  target.load = Timestamped<TargetLoadStatus>::Seen({3, 2, 0, 0, 0}, kNow);
  return target;
}

TEST_CASE("The status shows each figure with its age") {
  SystemStatus status;
  status.entry = "entry-1";
  status.targets = {SomeTarget()};

  SECTION("a fresh one has its value and age") {
    CHECK_THAT(Shown(status), Contains("mixed (1.5s ago)") &&
                                  Contains("3 running, 2 waiting (0.0s ago)"));
  }
  SECTION("one that nobody keeps up reads unknown, without its last value") {
    status.targets[0].role.unknown_since = kNow - std::chrono::seconds(20);
    CHECK_THAT(Shown(status), Contains("unknown since 2023-11-14T22:13:00Z") &&
                                  !Contains("mixed"));
  }
  SECTION("one that was never seen says so") {
    CHECK_THAT(Shown(status), Contains("object API answers: never seen"));
  }
  SECTION("a deployment names whom it waits for") {
    DeploymentStatus deployment;
    deployment.name = "tarifa-llm";
    deployment.waiting_for = {"engine-1", "engine-2"};
    status.deployments = {deployment};
    CHECK_THAT(Shown(status), Contains("waiting for engine-1, engine-2"));
  }
}

TEST_CASE("A status that is not understood is an error") {
  CHECK_FALSE(IsOk(StatusText("not JSON")));
  CHECK_FALSE(IsOk(StatusText(R"({"targets":[{"role":{"value":1}}]})")));
}

}  // namespace
}  // namespace indigolead::cli
