#include "core/request/api_keys.h"

#include <catch2/catch.hpp>
#include <string>

#include "core/request/route_table.h"

namespace indigolead {
namespace {

using Headers = std::vector<HeaderField>;

TEST_CASE("A bearer key is read from a single Authorization field") {
  SECTION("the scheme name is case-insensitive") {
    CHECK(FindBearerKey({{"Authorization", "Bearer k-1"}}) == "k-1");
    CHECK(FindBearerKey({{"authorization", "bEARER k-1"}}) == "k-1");
  }
  SECTION("any other form yields no key") {
    CHECK(FindBearerKey(Headers{}).empty());
    CHECK(FindBearerKey({{"Authorization", "Bearer "}}).empty());
    CHECK(FindBearerKey({{"Authorization", "Bearer"}}).empty());
    CHECK(FindBearerKey({{"Authorization", "Basic k-1"}}).empty());
    CHECK(FindBearerKey({{"Authorization", "k-1"}}).empty());
  }
  SECTION("two Authorization fields yield no key") {
    CHECK(FindBearerKey({{"Authorization", "Bearer k-1"},
                         {"authorization", "Bearer k-2"}})
              .empty());
  }
}

TEST_CASE("HashKey returns the SHA-256 of the key") {
  // Published test vector for "abc".
  const KeyHash hash = HashKey("abc");
  CHECK(hash.front() == 0xBA);
  CHECK(hash.back() == 0xAD);
}

TEST_CASE("KeyIndex finds all values of a key by its hash") {
  KeyIndex<int> index;
  index.Add(HashKey("k-1"), 1);
  index.Add(HashKey("k-2"), 2);
  index.Add(HashKey("k-1"), 3);
  CHECK(index.size() == 2);
  CHECK(index.Find(HashKey("k-1")) == std::vector<int>{1, 3});
  CHECK(index.Find(HashKey("k-2")) == std::vector<int>{2});
  CHECK(index.Find(HashKey("k-")).empty());
}

ServiceRoute Route(bool open_to_all) {
  ServiceRoute route;
  route.name = open_to_all ? "open" : "keyed";
  route.open_to_all = open_to_all;
  return route;
}

RouteTable TableWith(std::optional<std::vector<RouteAccount>> accounts) {
  RouteConfiguration configuration;
  configuration.version = 1;
  configuration.accounts = std::move(accounts);
  return RouteTable(configuration);
}

std::string AdmittedAs(const RouteTable& table, bool open_to_all,
                       std::string_view key) {
  const auto admitted = table.Admit(Route(open_to_all), key);
  if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
    return "refused with " + std::to_string(refusal->status);
  }
  const auto* account = std::get<const RouteAccount*>(admitted);
  return account ? account->name : "nobody";
}

TEST_CASE("RouteTable admits a request by its API key") {
  const RouteTable table = TableWith(std::vector<RouteAccount>{
      {"salon", {HashKey("k-1"), HashKey("k-2")}, 1}, {"owner", {}, {}}});

  SECTION("a known key admits as the account that holds it") {
    CHECK(AdmittedAs(table, false, "k-1") == "salon");
    CHECK(AdmittedAs(table, false, "k-2") == "salon");
  }
  SECTION("a missing or unknown key is refused") {
    CHECK(AdmittedAs(table, false, "") == "refused with 401");
    CHECK(AdmittedAs(table, false, "k-3") == "refused with 401");
  }
  SECTION("an open route needs no key but recognizes a known one") {
    CHECK(AdmittedAs(table, true, "") == "nobody");
    CHECK(AdmittedAs(table, true, "k-3") == "nobody");
    CHECK(AdmittedAs(table, true, "k-1") == "salon");
  }
}

TEST_CASE("API keys are required only if an account list is configured") {
  SECTION("without a list no request needs a key") {
    CHECK(AdmittedAs(TableWith(std::nullopt), false, "") == "nobody");
    CHECK(AdmittedAs(TableWith(std::nullopt), false, "k-1") == "nobody");
  }
  SECTION("an empty list admits requests of open routes only") {
    const RouteTable table = TableWith(std::vector<RouteAccount>{});
    CHECK(AdmittedAs(table, false, "k-1") == "refused with 401");
    CHECK(AdmittedAs(table, true, "k-1") == "nobody");
  }
}

}  // namespace
}  // namespace indigolead
