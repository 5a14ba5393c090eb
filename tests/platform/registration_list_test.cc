#include "platform/registration_list.h"

#include <catch2/catch.hpp>

namespace indigolead::platform {
namespace {

constexpr char kGood[] =
    R"({"service":"salon-app","address":"10.1.64.9:8080","zone":"oviedo",)"
    R"("slots":6,"state":"ready"})";
constexpr char kLeaving[] =
    R"({"service":"salon-app","address":"10.1.64.9:8080","zone":"oviedo",)"
    R"("slots":6,"state":"draining"})";

ListWatcher::State Listed(const std::string& value, std::uint64_t version) {
  return {{"servers/i-1", {"servers/i-1", value, version}}};
}

// Another writer changes a known target's registration into something that
// names no target, and back. Callers of the other targets see nothing of it;
// the target gets no new request meanwhile, and keeps those that it has, since
// it may be sound.
TEST_CASE("A registration that cannot be read names no target to use") {
  int logged = 0;
  MetricsRegistry metrics;
  RegistrationList list([&](const EventInfo&, const EventFields&) { ++logged; },
                        &metrics);
  const auto unreadable = [&] {
    return metrics.ToPrometheusText().find(
               "indigolead_registrations_unreadable 1") != std::string::npos;
  };
  REQUIRE(list.Take(Listed(kGood, 5)).size() == 1);
  CHECK(list.targets()[0].id == "i-1");
  CHECK(list.targets()[0].service == "salon-app");
  CHECK_FALSE(list.targets()[0].leaving);

  SECTION("a newer one replaces it") {
    REQUIRE(list.Take(Listed(kLeaving, 6)).size() == 1);
    CHECK(list.targets()[0].leaving);
    CHECK(logged == 0);
  }
  SECTION("a damaged one takes the target out of use, and is logged once") {
    list.Take(Listed("{\"service\":", 6));
    REQUIRE(list.Take(Listed("{\"service\":", 7)).size() == 1);
    CHECK(list.targets()[0].address == "10.1.64.9:8080");
    CHECK(list.targets()[0].leaving);
    CHECK(unreadable());
    CHECK(logged == 1);
    SECTION("until it can be read again") {
      REQUIRE(list.Take(Listed(kGood, 8)).size() == 1);
      CHECK_FALSE(list.targets()[0].leaving);
      CHECK_FALSE(unreadable());
    }
    SECTION("and is logged again after that") {
      list.Take(Listed(kGood, 8));
      list.Take(Listed("[]", 9));
      CHECK(list.targets()[0].leaving);
      CHECK(logged == 2);
    }
  }
  SECTION("one that never could be read names nothing, and the others hold") {
    auto state = Listed(kGood, 5);
    state["servers/x"] = {"servers/x", "\xff\xfe", 6};
    REQUIRE(list.Take(state).size() == 1);
    CHECK(list.targets()[0].id == "i-1");
    CHECK_FALSE(list.targets()[0].leaving);
    CHECK(unreadable());
  }
  SECTION("one that is gone is gone") { CHECK(list.Take({}).empty()); }
}

}  // namespace
}  // namespace indigolead::platform
