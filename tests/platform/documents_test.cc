#include "platform/documents.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/hostile_json.h"

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
          "version":"v1","slots":128,"state":"ready","cold-remaining-ms":0,
          "stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],
          "seq":4})");
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
// Guards against requests to a process that is no target.
TEST_CASE("A registration with a missing or invalid field is rejected") {
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state",
        "cold-remaining-ms", "stage", "models", "seq"}) {
    INFO(field);
    const std::string name = field;
    auto document = Registration();
    document.erase(field);
    CHECK_FALSE(IsOk(DecodeTarget("i-7", document.dump())));
    for (const nlohmann::json& strange :
         {nlohmann::json(nullptr), nlohmann::json(1.5), nlohmann::json(-3),
          nlohmann::json(true), nlohmann::json::array(),
          nlohmann::json::object(), nlohmann::json("half-ready"),
          nlohmann::json(""), nlohmann::json(std::string(100'000, 'x'))}) {
      INFO(strange.dump().substr(0, 20));
      const bool is_free_text =
          name == "service" || name == "zone" || name == "version";
      const bool holds = (strange == "half-ready" && is_free_text) ||
                         (strange == 1.5 && name == "cold-remaining-ms") ||
                         (strange.is_array() && name == "models");
      const auto decoded = DecodeTarget("i-7", Changed(field, strange));
      CHECK(IsOk(decoded) == holds);
      if (!IsOk(decoded)) {
        CHECK(ErrorOf(decoded).detail.size() < 200);
      }
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

// Guards against requests to an address that no target can have.
TEST_CASE("A registration's address is an IPv4 address and a port") {
  CHECK(IsOk(DecodeTarget("i-7", Changed("address", "10.0.0.9:1"))));
  CHECK(IsOk(DecodeTarget("i-7", Changed("address", "127.0.0.1:65535"))));
  for (const char* address : {"10.0.0.9",
                              "10.0.0.9:",
                              ":80",
                              "10.0.0.9:0",
                              "10.0.0.9:65536",
                              "10.0.0.9:-1",
                              "10.0.0.9:+80",
                              "10.0.0.9:080",
                              "10.0.0.9:80 ",
                              " 10.0.0.9:80",
                              "10.0.0.9:99999999999999999999",
                              "[10.0.0.9]:80",
                              "[::1]:80",
                              "::1:80",
                              "[]:80",
                              "[:80",
                              "]:80",
                              "10.0.0:80",
                              "10.0.0.256:80",
                              "0.0.0.0:80",
                              "255.255.255.255:80",
                              "224.0.0.1:80",
                              "localhost:80",
                              "http://10.0.0.9:80",
                              "10.0.0.9:80/x"}) {
    INFO(address);
    CHECK_FALSE(IsOk(DecodeTarget("i-7", Changed("address", address))));
  }
}

// Guards against an id that ends a header and begins another.
TEST_CASE("A target's id can stand in a header") {
  const std::string registration = Registration().dump();
  for (const std::string& id :
       {std::string(), std::string("i 7"), std::string("i\r\nHost: x"),
        std::string("i\0", 2), std::string("\xc3\xa9"),
        std::string(257, 'i')}) {
    INFO(id);
    CHECK_FALSE(IsOk(DecodeTarget(id, registration)));
  }
}

// Guards against a prompt to an engine that does not state what it holds.
TEST_CASE("An engine's registration lists its models") {
  using Json = nlohmann::json;
  const Json model = {{"name", "m"}, {"version", 1}, {"adapters", {"a"}}};
  CHECK(IsOk(DecodeTarget("i-7", Changed("models", {model, model}))));
  for (const char* field : {"name", "version", "adapters"}) {
    INFO(field);
    Json partial = model;
    partial.erase(field);
    CHECK_FALSE(
        IsOk(DecodeTarget("i-7", Changed("models", Json::array({partial})))));
    partial[field] = nullptr;
    CHECK_FALSE(
        IsOk(DecodeTarget("i-7", Changed("models", Json::array({partial})))));
  }
  CHECK_FALSE(IsOk(DecodeTarget("i-7", Changed("models", Json::array({1})))));
}

// Guards against numbers that wrap around or are truncated into valid ones.
TEST_CASE("A registration's numbers are in their ranges") {
  for (const char* field : {"slots", "cold-remaining-ms", "seq"}) {
    for (const char* value :
         {"-1", "1e400", "-1e400", "99999999999999999999999", "\"1\""}) {
      INFO(field << " " << value);
      std::string text = Changed(field, "@");
      text.replace(text.find("\"@\""), 3, value);
      const bool holds = std::string(field) == "cold-remaining-ms" &&
                         std::string(value).substr(0, 3) == "999";
      CHECK(IsOk(DecodeTarget("i-7", text)) == holds);
    }
  }
  CHECK_FALSE(IsOk(DecodeTarget("i-7", Changed("slots", 0))));
  CHECK_FALSE(IsOk(DecodeTarget("i-7", Changed("slots", 1LL << 32))));
}

TEST_CASE("A shared limit applies only to the run that it was recorded for") {
  const auto decode = [](const std::string& born, const std::string& status) {
    return ValueOf(DecodeTarget(
        "i-7",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"oviedo",)"
        R"("version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,)"
        R"("seq":0,"stage":"decode","models":[])" +
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

// Guards against documents of other writers that overflow the stack, are
// applied with a number that wrapped around, or are quoted by the log.
TEST_CASE("Hostile documents of the store are values or bounded errors") {
  const auto configuration = nlohmann::json::parse(kConfiguration);
  CheckHostileDocuments(configuration, [](const std::string& text) {
    return DecodeConfiguration(text);
  });
  CheckHostileDocuments(Registration(), [](const std::string& text) {
    return DecodeTarget("i-7", text);
  });
  auto with_accounts = configuration;
  with_accounts["tenants"] = {
      {{"name", "salon"}, {"api-keys", {"k-1"}}, {"priority", 1}}};
  CheckHostileDocuments(with_accounts, [](const std::string& text) {
    return DecodeConfiguration(text);
  });
}

// Guards against a time or a count that wraps around to another one.
TEST_CASE("A configuration's numbers are in their ranges") {
  const auto decode = [](const std::string& pointer, const std::string& raw) {
    return DecodeConfiguration(WithRaw(nlohmann::json::parse(kConfiguration),
                                       nlohmann::json::json_pointer(pointer),
                                       raw));
  };
  for (const char* pointer :
       {"/version", "/routes/0/timeout-ms", "/routes/0/target-latency-ms",
        "/routes/0/priority", "/routes/0/max-attempts",
        "/routes/1/traffic-split/0/weight", "/services/0/max-conns",
        "/services/0/engine/slots", "/services/0/engine/kv-capacity",
        "/services/0/engine/stage-switch-s",
        "/services/0/engine/token-kv-bytes", "/services/0/engine/link-mbps",
        "/limits/max-header-bytes", "/limits/max-body-bytes",
        "/limits/header-timeout-ms", "/limits/idle-timeout-ms"}) {
    for (const char* raw : {"-1", "true", "null", "\"1\"", "[]"}) {
      INFO(pointer << " " << raw);
      CHECK_FALSE(IsOk(decode(pointer, raw)));
    }
  }
  for (const char* pointer :
       {"/routes/0/priority", "/routes/0/max-attempts",
        "/routes/1/traffic-split/0/weight", "/services/0/max-conns",
        "/services/0/engine/slots"}) {
    for (const char* raw : {"4294967296", "1.5", "1e300"}) {
      INFO(pointer << " " << raw);
      CHECK_FALSE(IsOk(decode(pointer, raw)));
    }
  }

  SECTION("a time of more than a year is a year") {
    for (const char* raw :
         {"31536000000", "31536000001", "9223372036854775807", "1e300"}) {
      INFO(raw);
      const auto decoded = decode("/routes/0/timeout-ms", raw);
      REQUIRE(IsOk(decoded));
      CHECK(ValueOf(decoded).routes[0].timeout == std::chrono::hours(24 * 365));
    }
  }
  SECTION("shares that add up to too much are rejected") {
    CHECK_FALSE(IsOk(decode("/routes/1/traffic-split/0/weight", "4294967290")));
  }
}

}  // namespace
}  // namespace indigolead::platform
