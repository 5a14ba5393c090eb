#include "core/request/route_table.h"

#include <catch2/catch.hpp>
#include <map>

#include "core/base/random.h"

namespace indigolead {
namespace {

ServiceRoute RouteAt(const std::string& name, const std::string& prefix) {
  ServiceRoute route;
  route.name = name;
  route.host = "menus.example";
  route.path_prefix = prefix;
  route.services = {{"salon-app", 1}};
  return route;
}

std::string NameAt(const RouteTable& table, std::string_view host,
                   std::string_view path) {
  const ServiceRoute* route = table.Find(host, path);
  return route ? route->name : "none";
}

TEST_CASE("RouteTable finds the longest matching prefix of the host") {
  RouteConfiguration configuration;
  configuration.version = 7;
  configuration.routes = {RouteAt("whole", "/menus/"),
                          RouteAt("part", "/menus/print/"),
                          RouteAt("other", "/desk/")};
  const RouteTable table(configuration);

  SECTION("a longer prefix takes precedence") {
    CHECK(NameAt(table, "menus.example", "/menus/print/2f") == "part");
    CHECK(NameAt(table, "menus.example", "/menus/2f") == "whole");
  }
  SECTION("a prefix matches only paths that contain its trailing slash") {
    CHECK(NameAt(table, "menus.example", "/menus/printed") == "whole");
    CHECK(NameAt(table, "menus.example", "/menu") == "none");
    CHECK(NameAt(table, "menus.example", "/menus") == "none");
  }
  SECTION("the query is ignored") {
    CHECK(NameAt(table, "menus.example", "/desk?back=/menus/") == "none");
    CHECK(NameAt(table, "menus.example", "/desk/?a=1") == "other");
  }
  SECTION("the host matches without its port and in any case") {
    CHECK(NameAt(table, "Menus.Example:8080", "/desk/1") == "other");
    CHECK(NameAt(table, "desk.example", "/desk/1") == "none");
  }
}

TEST_CASE("RouteTable knows the services of a route by its name") {
  RouteConfiguration configuration;
  configuration.routes = {RouteAt("menus", "/menus/"),
                          RouteAt("split", "/desk/")};
  configuration.routes[1].services = {{"a", 90}, {"b", 10}};
  const RouteTable table(configuration);
  CHECK(table.Allows("menus", "salon-app"));
  CHECK_FALSE(table.Allows("menus", "a"));
  CHECK(table.Allows("split", "b"));
  CHECK_FALSE(table.Allows("gone", "a"));
  REQUIRE(table.ServicesOf("split"));
  CHECK(table.ServicesOf("split")->size() == 2);
  CHECK_FALSE(table.ServicesOf("gone"));
}

TEST_CASE("PickService distributes requests by weight") {
  ServiceRoute route = RouteAt("split", "/");
  route.services = {{"a", 90}, {"b", 10}};
  RandomSource random = MakeSeededRandom(7);
  std::map<std::string, int> picked;
  for (int n = 0; n < 2000; ++n) {
    ++picked[RouteTable::PickService(route, random())];
  }
  CHECK(picked["a"] > 1700);
  CHECK(picked["b"] > 120);

  SECTION("a service of weight 0 gets no requests") {
    route.services = {{"a", 0}, {"b", 1}};
    for (int n = 0; n < 100; ++n) {
      CHECK(RouteTable::PickService(route, random()) == "b");
    }
  }
}

}  // namespace
}  // namespace indigolead
