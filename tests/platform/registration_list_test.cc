#include "platform/registration_list.h"

#include <catch2/catch.hpp>

namespace indigolead::platform {
namespace {

constexpr char kGood[] =
    R"({"service":"salon-app","address":"10.1.64.9:8080","zone":"oviedo",)"
    R"("version":"1.0","slots":6,"state":"ready","cold-remaining-ms":0,)"
    R"("seq":0})";
constexpr char kLeaving[] =
    R"({"service":"salon-app","address":"10.1.64.9:8080","zone":"oviedo",)"
    R"("version":"1.0","slots":6,"state":"draining","cold-remaining-ms":0,)"
    R"("seq":0})";

ListWatcher::State Listed(const std::string& value, std::uint64_t version) {
  return {{"servers/i-1", {"servers/i-1", value, version}}};
}

// Another writer makes a known target's registration invalid, and valid again
// later. Callers of other targets must not be affected. The target gets no new
// requests meanwhile, but keeps its open ones, since it may be healthy.
TEST_CASE("A target with an invalid registration gets no new requests") {
  int logged = 0;
  std::size_t logged_bytes = 0;
  MetricsRegistry metrics;
  RegistrationList list(
      [&](const EventInfo&, const EventFields& fields) {
        ++logged;
        for (const auto& [name, value] : fields) {
          logged_bytes += value.size();
        }
      },
      &metrics);
  const auto unreadable = [&] {
    return metrics.ToPrometheusText().find(
               "indigolead_registrations_unreadable 1") != std::string::npos;
  };
  REQUIRE(list.Update(Listed(kGood, 5)).size() == 1);
  CHECK(list.targets()[0].id == "i-1");
  CHECK(list.targets()[0].service == "salon-app");
  CHECK_FALSE(list.targets()[0].leaving);

  SECTION("a newer version replaces it") {
    REQUIRE(list.Update(Listed(kLeaving, 6)).size() == 1);
    CHECK(list.targets()[0].leaving);
    CHECK(logged == 0);
  }
  SECTION("an invalid one takes the target out of use and is logged once") {
    list.Update(Listed("{\"service\":", 6));
    REQUIRE(list.Update(Listed("{\"service\":", 7)).size() == 1);
    CHECK(list.targets()[0].address == "10.1.64.9:8080");
    CHECK(list.targets()[0].leaving);
    CHECK(unreadable());
    CHECK(logged == 1);
    SECTION("until it is valid again") {
      REQUIRE(list.Update(Listed(kGood, 8)).size() == 1);
      CHECK_FALSE(list.targets()[0].leaving);
      CHECK_FALSE(unreadable());
    }
    SECTION("and a later invalid one is logged again") {
      list.Update(Listed(kGood, 8));
      list.Update(Listed("[]", 9));
      CHECK(list.targets()[0].leaving);
      CHECK(logged == 2);
    }
  }
  SECTION("one that was never valid gives no target, and the others stay") {
    auto state = Listed(kGood, 5);
    state["servers/x"] = {"servers/x", "\xff\xfe", 6};
    REQUIRE(list.Update(state).size() == 1);
    CHECK(list.targets()[0].id == "i-1");
    CHECK_FALSE(list.targets()[0].leaving);
    CHECK(unreadable());
  }
  // Guards against a log that another writer can fill.
  SECTION("one that was never valid is logged once, however often it changes") {
    const std::string long_key = "servers/" + std::string(100'000, 'x');
    for (std::uint64_t version = 6; version < 16; ++version) {
      auto state = Listed(kGood, 5);
      state["servers/x"] = {"servers/x", "[]", version};
      state[long_key] = {long_key, kGood, version};
      list.Update(state);
    }
    CHECK(logged == 2);
    CHECK(logged_bytes < 2000);
  }
  SECTION("one that lacks fields gives no target, and the others stay") {
    auto state = Listed(kGood, 5);
    state["servers/x"] = {
        "servers/x",
        R"({"service":"salon-app","address":"10.1.64.8:80","zone":"oviedo",)"
        R"("slots":6,"state":"ready"})",
        6};
    REQUIRE(list.Update(state).size() == 1);
    CHECK(list.targets()[0].id == "i-1");
    CHECK_FALSE(list.targets()[0].leaving);
    CHECK(unreadable());
    CHECK(logged == 1);
  }
  SECTION("one without an id gives no target, and the others stay") {
    auto state = Listed(kGood, 5);
    state["servers/"] = {"servers/", kGood, 6};
    REQUIRE(list.Update(state).size() == 1);
    CHECK(list.targets()[0].id == "i-1");
    CHECK(unreadable());
  }
  SECTION("a removed one is removed from the list") {
    CHECK(list.Update({}).empty());
  }
}

}  // namespace
}  // namespace indigolead::platform
