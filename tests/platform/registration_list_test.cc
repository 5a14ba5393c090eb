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

TEST_CASE("Registrations are decoded, and damage does not lose a target") {
  int logged = 0;
  RegistrationList list(
      [&](const EventInfo&, const EventFields&) { ++logged; });
  REQUIRE(list.Take(Listed(kGood, 5)).size() == 1);
  CHECK(list.targets()[0].id == "i-1");
  CHECK(list.targets()[0].service == "salon-app");
  CHECK_FALSE(list.targets()[0].leaving);

  SECTION("a newer one replaces it") {
    REQUIRE(list.Take(Listed(kLeaving, 6)).size() == 1);
    CHECK(list.targets()[0].leaving);
    CHECK(logged == 0);
  }
  SECTION("a damaged one is logged once, and what was known stays") {
    list.Take(Listed("{\"service\":", 6));
    REQUIRE(list.Take(Listed("{\"service\":", 6)).size() == 1);
    CHECK(list.targets()[0].address == "10.1.64.9:8080");
    CHECK(logged == 1);
  }
  SECTION("one that is gone is gone") { CHECK(list.Take({}).empty()); }
}

}  // namespace
}  // namespace indigolead::platform
