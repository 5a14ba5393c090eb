#include "platform/documents.h"

#include <catch2/catch.hpp>

namespace indigolead::platform {
namespace {

using std::chrono::milliseconds;

const char* const kConfiguration = R"({
  "version": 7,
  "routes": [
    {"name": "r-1", "host": "a.example", "path-prefix": "/x/",
     "kind": "stream", "timeout-ms": 5000, "target-latency-ms": 1200,
     "priority": 1, "service": "llm", "max-attempts": 2, "sticky": true,
     "can-resume": false, "target-gap-ms": 300},
    {"name": "r-2", "host": "a.example", "path-prefix": "/y/", "kind": "safe",
     "timeout-ms": 1500, "max-attempts": 2, "priority": 2,
     "traffic-split": [{"service": "llm", "weight": 90},
                       {"service": "app", "weight": 10}]},
    {"name": "r-3", "host": "a.example", "path-prefix": "/z/",
     "kind": "unsafe", "service": "app"},
    {"name": "r-4", "host": "a.example", "path-prefix": "/w/",
     "kind": "stream", "service": "llm", "can-resume": true}],
  "services": [
    {"name": "llm", "max-conns": 620,
     "engine": {"slots": 128, "kv-capacity": 532628, "stage-switch-s": 3.0}},
    {"name": "app", "max-conns": 100}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})";

TEST_CASE("A configuration is decoded into routes and services") {
  const auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(IsOk(decoded));
  const RouteConfiguration& configuration = ValueOf(decoded);
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 4);

  SECTION("what may run twice follows from the kind") {
    CHECK(configuration.routes[0].repeatability == Repeatability::kOnce);
    CHECK(configuration.routes[1].repeatability == Repeatability::kIdempotent);
    CHECK(configuration.routes[2].repeatability == Repeatability::kOnce);
    CHECK(configuration.routes[3].repeatability == Repeatability::kIdempotent);
  }
  SECTION("times, attempts and shares") {
    CHECK(configuration.routes[0].timeout == milliseconds(5000));
    CHECK(configuration.routes[0].answer_target == milliseconds(1200));
    CHECK(configuration.routes[0].max_attempts == 2);
    CHECK(configuration.routes[1].services ==
          std::vector<WeightedService>{{"llm", 90}, {"app", 10}});
    CHECK(configuration.limits.idle_timeout == milliseconds(15000));
  }
  SECTION("engines are told from plain services") {
    REQUIRE(configuration.services[0].engine);
    CHECK(configuration.services[0].engine->slots == 128);
    CHECK_FALSE(configuration.services[1].engine);
  }
}

TEST_CASE("A configuration that cannot be read whole is not used in part") {
  for (const char* bad :
       {"", "[]", "{", R"({"version":"7","routes":[],"services":[]})",
        R"({"version":7,"routes":[{"name":"r"}],"services":[]})",
        R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/",
            "kind":"safe","service":"a","timeout-ms":"soon"}],
            "services":[]})"}) {
    INFO(bad);
    const auto decoded = DecodeConfiguration(bad);
    REQUIRE_FALSE(IsOk(decoded));
    CHECK(ErrorOf(decoded).step == "configuration.decode");
  }
}

TEST_CASE("A registration tells where a target is and whether it leaves") {
  const auto decoded = DecodeTarget(
      "i-7",
      R"({"service":"llm","address":"10.128.0.9:8080","zone":"bilbao-a",
          "version":"v1","slots":128,"state":"ready","stage":"decode",
          "models":[],"seq":4})");
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).id == "i-7");
  CHECK(ValueOf(decoded).failure_domain == "bilbao-a");
  CHECK(ValueOf(decoded).role == EngineRole::kDecode);
  CHECK_FALSE(ValueOf(decoded).leaving);

  SECTION("any state but ready is leaving") {
    const auto leaving = DecodeTarget(
        "i-7",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"gone"})");
    REQUIRE(IsOk(leaving));
    CHECK(ValueOf(leaving).leaving);
  }
  SECTION("one without an address is none") {
    CHECK_FALSE(IsOk(DecodeTarget("i-7", R"({"service":"s","zone":"z"})")));
  }
}

}  // namespace
}  // namespace indigolead::platform
