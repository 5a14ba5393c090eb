#include "core/control/orders.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/control/status.h"
#include "tests/support/hostile_json.h"

namespace indigolead {
namespace {

using std::chrono::seconds;

TargetOrder Order(FencingNumber number) {
  return {"engine-1",
          "brief-llm",
          number,
          3,
          {EngineRole::kDecode, "small", "2", {"night"}, false},
          4,
          0,
          "edit",
          Id128{1, 2}};
}

TEST_CASE("An order round-trips through JSON") {
  CHECK(ValueOf(DecodeOrder(EncodeOrder(Order(17)))) == Order(17));
  CHECK(ErrorOf(DecodeOrder("{\"role\":\"x\"}")).code == ErrorCode::kProtocol);
}

// A holder decides on an order and is paused. Its write takes effect after
// another entry took the lease with version 100. The order carries fencing
// number 90, so whoever forwards orders must see from the versions that it was
// written too late.
TEST_CASE(
    "An order is valid only if written before its number was superseded") {
  LeaseRecord lease;
  lease.fencing_number = 100;
  lease.earlier = {80, 90};

  SECTION("an order written before another entry took the lease is valid") {
    CHECK(WrittenUnderAuthority({Order(90), 95}, lease));
  }
  SECTION("an order written under an old number after that is not valid") {
    CHECK_FALSE(WrittenUnderAuthority({Order(90), 101}, lease));
  }
  SECTION("it stays invalid after the lease was taken again") {
    CHECK_FALSE(WrittenUnderAuthority({Order(80), 95}, lease));
  }
  SECTION("an order under a number that is no longer listed is not valid") {
    CHECK_FALSE(WrittenUnderAuthority({Order(70), 75}, lease));
  }
  SECTION("an order under the newest number is valid") {
    CHECK(WrittenUnderAuthority({Order(100), 101}, lease));
  }
}

TEST_CASE("The status shows only values that are kept up to date") {
  SystemStatus status;
  status.entry = "entry-a";
  status.lease_holder =
      Timestamped<std::string>::Seen("entry-b", TimePoint{seconds(4)});

  SECTION("a value that is kept up to date has its age") {
    const std::string json = EncodeStatus(status, TimePoint{seconds(10)}, 1000);
    CHECK(json.find(R"("lease_holder":{"age_s":6.0,"value":"entry-b"})") !=
          std::string::npos);
  }
  SECTION("a value that is not kept up to date is hidden") {
    status.lease_holder.unknown_since = TimePoint{seconds(7)};
    const std::string json =
        EncodeStatus(status, TimePoint{seconds(10)}, 5'000'000);
    CHECK(json.find("entry-b") == std::string::npos);
    CHECK(json.find(R"("unknown_since":2000000)") != std::string::npos);
  }
}

// Guards against an order of another writer that overflows the stack.
TEST_CASE("Hostile orders are values or bounded errors") {
  CheckHostileDocuments(
      nlohmann::json::parse(EncodeOrder(Order(17))),
      [](const std::string& text) { return DecodeOrder(text); });
}

}  // namespace
}  // namespace indigolead
