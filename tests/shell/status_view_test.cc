#include "cli/status_view.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/control/status.h"
#include "tests/support/hostile_json.h"

namespace indigolead::cli {
namespace {

using Catch::Matchers::Contains;

constexpr WallMicros kWallNow = 1'700'000'000'000'000;  // 2023-11-14T22:13:20Z
constexpr TimePoint kNow{std::chrono::seconds(1000)};

/// Returns the tables for `status` at `kNow`, or the error text.
std::string RenderStatus(const SystemStatus& status) {
  const auto text = StatusText(EncodeStatus(status, kNow, kWallNow));
  return IsOk(text) ? ValueOf(text) : ToString(ErrorOf(text));
}

TargetStatus MakeTarget() {
  TargetStatus target;
  target.name = "engine-1";
  target.deployment = "tarifa-llm";
  target.health = Timestamped<std::string>::Seen("up", kNow);
  target.role = Timestamped<std::string>::Seen(
      "mixed", kNow - std::chrono::milliseconds(1500));
  target.load = Timestamped<TargetLoadStatus>::Seen({3, 2, 0, 0, 0}, kNow);
  return target;
}

TEST_CASE("The status shows each value with its age") {
  SystemStatus status;
  status.entry = "entry-1";
  status.targets = {MakeTarget()};

  SECTION("a current value is shown with its age") {
    CHECK_THAT(RenderStatus(status),
               Contains("mixed (1.5s ago)") &&
                   Contains("3 running, 2 waiting (0.0s ago)"));
  }
  SECTION("a value that is no longer updated is shown as unknown") {
    status.targets[0].role.unknown_since = kNow - std::chrono::seconds(20);
    CHECK_THAT(
        RenderStatus(status),
        Contains("unknown since 2023-11-14T22:13:00Z") && !Contains("mixed"));
  }
  SECTION("a value that was never reported is shown as never seen") {
    CHECK_THAT(RenderStatus(status),
               Contains("object API answers: never seen"));
  }
  SECTION("a deployment lists the targets it waits for") {
    DeploymentStatus deployment;
    deployment.name = "tarifa-llm";
    deployment.waiting_for = {"engine-1", "engine-2"};
    status.deployments = {deployment};
    CHECK_THAT(RenderStatus(status),
               Contains("waiting for engine-1, engine-2"));
  }
}

TEST_CASE("A malformed status is an error") {
  CHECK_FALSE(IsOk(StatusText("not JSON")));
  CHECK_FALSE(IsOk(StatusText(R"({"targets":[{"role":{"value":1}}]})")));
}

// Guards against a status that overflows the stack of the command.
TEST_CASE("A hostile status is a text or a bounded error") {
  SystemStatus status;
  status.targets = {MakeTarget()};
  const auto document =
      nlohmann::json::parse(EncodeStatus(status, kNow, kWallNow));
  CheckHostileDocuments(
      document, [](const std::string& text) { return StatusText(text); });
}

}  // namespace
}  // namespace indigolead::cli
