#include "platform/documents.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

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
     "engine": {"slots": 128, "kv-capacity": 532628, "stage-switch-s": 3.0,
                "token-kv-bytes": 35136, "link-mbps": 390000.0}},
    {"name": "app", "max-conns": 100}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})";

TEST_CASE("A configuration is decoded into routes and services") {
  const auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(IsOk(decoded));
  const RouteConfiguration& configuration = ValueOf(decoded);
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 4);

  SECTION("the kind determines whether a request may run twice") {
    CHECK(configuration.routes[0].repeatability == Repeatability::kOnce);
    CHECK(configuration.routes[1].repeatability == Repeatability::kIdempotent);
    CHECK(configuration.routes[2].repeatability == Repeatability::kOnce);
    CHECK(configuration.routes[3].repeatability == Repeatability::kIdempotent);
  }
  SECTION("timeouts, attempts and shares") {
    CHECK(configuration.routes[0].timeout == milliseconds(5000));
    CHECK(configuration.routes[0].answer_target == milliseconds(1200));
    CHECK(configuration.routes[0].max_attempts == 2);
    CHECK(configuration.routes[1].services ==
          std::vector<WeightedService>{{"llm", 90}, {"app", 10}});
    CHECK(configuration.limits.idle_timeout == milliseconds(15000));
  }
  SECTION("engines are distinguished from plain services") {
    REQUIRE(configuration.services[0].engine);
    CHECK(configuration.services[0].engine->slots == 128);
    CHECK(configuration.services[0].engine->kv_capacity_tokens == 532628);
    CHECK(configuration.services[0].engine->kv_bytes_per_token == 35136);
    CHECK(configuration.services[0].engine->link_bits_per_s == 390e9);
    CHECK_FALSE(configuration.services[1].engine);
  }
}

TEST_CASE("A partly invalid configuration is rejected as a whole") {
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

nlohmann::json Registration() {
  return nlohmann::json::parse(
      R"({"service":"llm","address":"10.128.0.9:8080","zone":"bilbao-a",
          "version":"v1","slots":128,"state":"ready","stage":"decode",
          "models":[],"seq":4})");
}

/// Returns the registration above with one field changed.
std::string Changed(const char* field, const nlohmann::json& value) {
  auto document = Registration();
  document[field] = value;
  return document.dump();
}

TEST_CASE(
    "A registration states a target's address and whether it is leaving") {
  const auto decoded = DecodeTarget("i-7", Registration().dump());
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).id == "i-7");
  CHECK(ValueOf(decoded).failure_domain == "bilbao-a");
  CHECK(ValueOf(decoded).role == EngineRole::kDecode);
  CHECK_FALSE(ValueOf(decoded).leaving);

  SECTION("a draining target is leaving") {
    const auto leaving = DecodeTarget("i-7", Changed("state", "draining"));
    REQUIRE(IsOk(leaving));
    CHECK(ValueOf(leaving).leaving);
  }
  SECTION("it may state the target's run") {
    CHECK_FALSE(ValueOf(decoded).run);
    const auto named = DecodeTarget("i-7", Changed("born", 1796087303123));
    REQUIRE(IsOk(named));
    CHECK(ValueOf(named).run == TargetRun{1796087303123});
  }
  SECTION("a plain service has no stage") {
    auto plain = Registration();
    plain.erase("stage");
    plain.erase("models");
    const auto target = DecodeTarget("i-7", plain.dump());
    REQUIRE(IsOk(target));
    CHECK(ValueOf(target).role == EngineRole::kMixed);
  }
}

// An invalid registration of another writer must not be used: it would send
// callers to an address where no target listens, or a prompt to an engine that
// cannot process it.
TEST_CASE("A registration with a missing or invalid field is rejected") {
  for (const char* field :
       {"service", "address", "zone", "slots", "state", "stage"}) {
    INFO(field);
    auto document = Registration();
    document.erase(field);
    CHECK_FALSE(IsOk(DecodeTarget("i-7", document.dump())));
    for (const nlohmann::json& strange :
         {nlohmann::json(nullptr), nlohmann::json(1.5), nlohmann::json(-3),
          nlohmann::json::array(), nlohmann::json::object(),
          nlohmann::json("half-ready")}) {
      INFO(strange.dump());
      const bool text_holds =
          strange.is_string() &&
          (std::string(field) == "service" || std::string(field) == "zone");
      CHECK(IsOk(DecodeTarget("i-7", Changed(field, strange))) == text_holds);
    }
  }
  for (const nlohmann::json& strange :
       {nlohmann::json(nullptr), nlohmann::json(1.5), nlohmann::json("1"),
        nlohmann::json(std::uint64_t{1} << 63U), nlohmann::json(true)}) {
    INFO(strange.dump());
    CHECK_FALSE(IsOk(DecodeTarget("i-7", Changed("born", strange))));
  }
  for (const char* other : {"", "null", "7", "[]", "\"text\"", "{", "\xff"}) {
    INFO(other);
    CHECK_FALSE(IsOk(DecodeTarget("i-7", other)));
  }
}

TEST_CASE("A shared limit applies only to the run that it was recorded for") {
  const auto decode = [](const std::string& born, const std::string& status) {
    return ValueOf(DecodeTarget(
        "i-7",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"oviedo","slots":8,)"
        R"("state":"ready","stage":"decode")" +
            born + R"(,"status":)" + status + "}"));
  };
  TargetRecord target = decode("", "null");
  CHECK(target.shared_limit == std::nullopt);
  CHECK(decode("", EncodeSharedLimit(target, 5.4)).shared_limit == 5.4);
  CHECK(decode("", EncodeSharedLimit(target, std::nullopt)).shared_limit ==
        std::nullopt);

  SECTION("a later run with the same id has no limit") {
    target = decode(R"(,"born":17)", "null");
    const std::string status = EncodeSharedLimit(target, 5.4);
    CHECK(decode(R"(,"born":17)", status).shared_limit == 5.4);
    CHECK(decode(R"(,"born":18)", status).shared_limit == std::nullopt);
  }
  SECTION("an invalid limit is ignored and the target stays usable") {
    const std::string status =
        GENERATE("7", "[]", "\"5\"", R"({"limit-per-s":"5"})",
                 R"({"limit-per-s":-1})", R"({"other":5})");
    INFO(status);
    CHECK(decode("", status).shared_limit == std::nullopt);
    CHECK(decode("", status).address == "10.0.0.9:80");
  }
}

}  // namespace
}  // namespace indigolead::platform
