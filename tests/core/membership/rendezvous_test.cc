#include "core/membership/rendezvous.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/membership/connection_plan.h"

namespace indigolead {
namespace {

std::vector<RendezvousCandidate> MakeEntries(std::size_t count,
                                             std::size_t domains) {
  std::vector<RendezvousCandidate> entries;
  for (std::size_t n = 0; n < count; ++n) {
    entries.push_back({"entry-" + std::to_string(n),
                       "domain-" + std::to_string(n % domains)});
  }
  return entries;
}

std::set<std::string> ChosenNames(
    const std::string& key, const std::vector<RendezvousCandidate>& candidates,
    std::size_t count) {
  std::set<std::string> names;
  for (const std::size_t n : ChooseByRendezvous(key, candidates, count)) {
    names.insert(candidates[n].name);
  }
  return names;
}

std::string SideName(std::size_t n) { return "side-" + std::to_string(n); }

TEST_CASE("ChooseByRendezvous keeps its properties for any fleet") {
  SECTION("the wanted count, without duplicates, for any order of candidates") {
    CHECK(rc::check([](std::uint8_t count, std::uint8_t domains,
                       std::uint8_t wanted, std::uint32_t side) {
      auto entries = MakeEntries(count, std::max<std::size_t>(1, domains));
      const auto names = ChosenNames(SideName(side), entries, wanted);
      RC_ASSERT(names.size() == std::min<std::size_t>(count, wanted));
      std::reverse(entries.begin(), entries.end());
      RC_ASSERT(names == ChosenNames(SideName(side), entries, wanted));
    }));
  }

  // Guards against the loss of a whole failure domain that contained all
  // entries of a healthy target, which would then get no requests.
  SECTION("the loss of one failure domain loses at most its share") {
    CHECK(rc::check([](std::uint8_t more, std::uint32_t side) {
      const std::size_t domains = 2 + more % 4;
      const std::size_t wanted = 2 + more % 7;
      const auto entries = MakeEntries(domains * wanted, domains);
      std::map<std::string, std::size_t> lost_with;
      for (const std::size_t n :
           ChooseByRendezvous(SideName(side), entries, wanted)) {
        ++lost_with[entries[n].failure_domain];
      }
      for (const auto& [domain, lost] : lost_with) {
        RC_ASSERT(lost <= (wanted + domains - 1) / domains);
        RC_ASSERT(wanted - lost >= 1U);
      }
    }));
  }

  SECTION("removing one entry changes at most one selection of a side") {
    CHECK(rc::check([](std::uint32_t side, std::uint8_t removed) {
      auto entries = MakeEntries(30, 3);
      const auto before = ChosenNames(SideName(side), entries, 6);
      const std::string gone = entries[removed % 30].name;
      entries.erase(entries.begin() + removed % 30);
      auto after = ChosenNames(SideName(side), entries, 6);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(),
                            after.end(), std::back_inserter(kept));
      RC_ASSERT(kept.size() == (before.count(gone) > 0 ? 5U : 6U));
    }));
  }
}

TEST_CASE("Sides are spread evenly over the entries of a large fleet") {
  // 84 entries of one region in 3 failure domains; 5,000 sides select 2 each.
  constexpr std::size_t kSides = 5000;
  constexpr std::size_t kEntries = 84;
  constexpr std::size_t kChosen = 2;
  const auto entries = MakeEntries(kEntries, 3);
  std::map<std::string, int> load;
  for (std::size_t side = 0; side < kSides; ++side) {
    for (const auto& name : ChosenNames(SideName(side), entries, kChosen)) {
      ++load[name];
    }
  }
  const double mean = static_cast<double>(kSides * kChosen) / kEntries;
  for (const auto& [name, n] : load) {
    INFO("expected about " << mean << " sides, " << name << " has " << n);
    CHECK(n > mean * 0.65);
    CHECK(n < mean * 1.35);
  }
  CHECK(load.size() == kEntries);
}

TEST_CASE("PlanConnections selects addresses from the list") {
  std::vector<ListedInstance> list;
  list.reserve(6);
  for (int n = 0; n < 6; ++n) {
    list.push_back({"entry-" + std::to_string(n), MemberKind::kEntry,
                    n % 2 == 0 ? "a" : "b", n < 4 ? "north" : "south",
                    "10.0.0." + std::to_string(n) + ":1", false});
  }
  list.push_back({"side-0", MemberKind::kSide, "a", "north", "10.0.1.0:1"});

  SECTION("a side in a small fleet connects to every entry and to no side") {
    const auto plan = PlanConnections({"side-0", MemberKind::kSide}, list);
    CHECK(plan.size() == 6);
    CHECK(plan.count("10.0.1.0:1") == 0);
  }
  SECTION("a side in a large fleet connects to some in each region") {
    const auto plan =
        PlanConnections({"side-0", MemberKind::kSide, 2, 64}, list);
    CHECK(plan.size() == 4);
    CHECK(plan.count("10.0.0.4:1") == 1);
    CHECK(plan.count("10.0.0.5:1") == 1);
  }
  SECTION("a leaving entry is not selected") {
    list[4].leaving = true;
    const auto plan =
        PlanConnections({"side-0", MemberKind::kSide, 2, 64}, list);
    CHECK(plan.count("10.0.0.4:1") == 0);
  }
  SECTION("at most one of two entries opens a connection") {
    for (const std::uint32_t peers : {64U, 2U}) {
      std::map<std::string, std::set<std::string>> plans;
      for (int n = 0; n < 6; ++n) {
        plans[list[n].link_address] = PlanConnections(
            {list[n].name, MemberKind::kEntry, 64, peers}, list);
      }
      for (const auto& [address, plan] : plans) {
        CHECK(plan.count(address) == 0);
        for (const std::string& other : plan) {
          CHECK(plans[other].count(address) == 0);
        }
      }
    }
  }
}

}  // namespace
}  // namespace indigolead
