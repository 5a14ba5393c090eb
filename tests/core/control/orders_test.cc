#include "core/control/orders.h"

#include <catch2/catch.hpp>

#include "core/control/status.h"

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

TEST_CASE("TargetOrder as JSON reads back") {
  CHECK(ValueOf(DecodeOrder(EncodeOrder(Order(17)))) == Order(17));
  CHECK(ErrorOf(DecodeOrder("{\"role\":\"x\"}")).code == ErrorCode::kProtocol);
}

// A holder decides on an order, sleeps, and its write lands after another
// entry won the lease with version 100. The order carries 90, so whoever
// passes orders on must see from the versions that it came too late.
TEST_CASE("WrittenUnderAuthority") {
  LeaseRecord lease;
  lease.fencing_number = 100;
  lease.earlier = {80, 90};

  SECTION("an order written before the lease moved is still in force") {
    CHECK(WrittenUnderAuthority({Order(90), 95}, lease));
  }
  SECTION("an old number written after the lease moved is not") {
    CHECK_FALSE(WrittenUnderAuthority({Order(90), 101}, lease));
  }
  SECTION("not even if the lease has moved on again since") {
    CHECK_FALSE(WrittenUnderAuthority({Order(80), 95}, lease));
  }
  SECTION("a number that is no longer listed is not trusted") {
    CHECK_FALSE(WrittenUnderAuthority({Order(70), 75}, lease));
  }
  SECTION("the newest number is") {
    CHECK(WrittenUnderAuthority({Order(100), 101}, lease));
  }
}

TEST_CASE("EncodeStatus") {
  SystemStatus status;
  status.entry = "entry-a";
  status.lease_holder =
      Aged<std::string>::Seen("entry-b", TimePoint{seconds(4)});

  SECTION("a kept figure has its age") {
    const std::string json = EncodeStatus(status, TimePoint{seconds(10)}, 1000);
    CHECK(json.find(R"("lease_holder":{"age_s":6.0,"value":"entry-b"})") !=
          std::string::npos);
  }
  SECTION("a figure that nothing keeps hides its value") {
    status.lease_holder.unknown_since = TimePoint{seconds(7)};
    const std::string json =
        EncodeStatus(status, TimePoint{seconds(10)}, 5'000'000);
    CHECK(json.find("entry-b") == std::string::npos);
    CHECK(json.find(R"("unknown_since":2000000)") != std::string::npos);
  }
}

}  // namespace
}  // namespace indigolead
