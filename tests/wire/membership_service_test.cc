#include "wire/membership_service.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using namespace std::chrono_literals;

/// Membership service of one process; records what it sends and dials.
struct Node {
  Node(const std::string& name, MemberKind kind)
      : service(
            MakeOptions(name, kind), MakeHooks(), [this] { return now; },
            MakeNullEventLog()) {}

  static Membership::Options MakeOptions(const std::string& name,
                                         MemberKind kind) {
    Settings settings;
    settings.instance.name = name;
    settings.links.seeds = {"10.0.0.1:1"};
    return MakeMembershipOptions(settings, kind, 1);
  }

  MembershipService::Hooks MakeHooks() {
    MembershipService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      sent[link.value].push_back(message);
      return true;
    };
    hooks.connect = [this](const std::string& it) { dialled.push_back(it); };
    hooks.disconnect = [this](const std::string& it) {
      disconnects.push_back(it);
    };
    return hooks;
  }

  /// Advances the time by `span`, with a tick every 100 ms.
  void Advance(Duration span) {
    for (Duration t = 0s; t < span; t += 100ms) {
      now += 100ms;
      service.Tick(now);
    }
  }

  TimePoint now = TimePoint(1000s);
  std::map<std::uint64_t, std::vector<wire::Envelope>> sent;
  std::vector<std::string> dialled;
  std::vector<std::string> disconnects;
  MembershipService service;
};

InstanceRecord Entry(const std::string& name, const std::string& address) {
  return {name, "entry", "bilbao-a", "norte", address, InstanceState::kLive};
}

wire::Hello HelloOf(const std::string& name, wire::ProcessKind kind) {
  wire::Hello hello;
  hello.set_instance(name);
  hello.set_kind(kind);
  return hello;
}

// Guards against an entry without targets after its predecessor was replaced at
// another address. Sides do not read the platform's list, so without a notice
// from another entry they would not connect to the new one, which would refuse
// every caller.
TEST_CASE("A side learns of new entries from the entries that it knows") {
  Node entry("entry-1", MemberKind::kEntry);
  Node side("side-1", MemberKind::kSide);
  side.Advance(100ms);
  CHECK(side.dialled == std::vector<std::string>{"10.0.0.1:1"});

  entry.service.OnInstances({1, {Entry("entry-1", "10.0.0.1:1")}});
  entry.service.OnLinkUp(LinkId{7}, HelloOf("side-1", wire::PROCESS_SIDE));
  REQUIRE(entry.sent[7].size() == 1);
  CHECK(side.service.HandleMessage(LinkId{1}, entry.sent[7][0]));
  side.Advance(1s);
  CHECK(side.dialled.size() == 1);

  entry.service.OnInstances(
      {2, {Entry("entry-1", "10.0.0.1:1"), Entry("entry-2", "10.0.0.2:1")}});
  REQUIRE(entry.sent[7].size() == 2);
  CHECK(side.service.HandleMessage(LinkId{1}, entry.sent[7][1]));
  side.Advance(1s);
  CHECK(side.dialled.back() == "10.0.0.2:1");

  SECTION("an older list from a lagging entry is ignored") {
    CHECK(side.service.HandleMessage(LinkId{1}, entry.sent[7][0]));
    side.Advance(60s);
    CHECK(side.disconnects.empty());
  }
  SECTION("a change of targets only is not sent to sides") {
    InstanceList list{
        3,
        {Entry("entry-1", "10.0.0.1:1"), Entry("entry-2", "10.0.0.2:1"),
         Entry("side-9", "10.0.0.9:1")}};
    list.instances.back().kind = "target";
    entry.service.OnInstances(list);
    CHECK(entry.sent[7].size() == 2);
  }
  SECTION("an entry ignores lists from its peers") {
    entry.Advance(1s);
    REQUIRE(entry.dialled.back() == "10.0.0.2:1");
    wire::Envelope newer = entry.sent[7][0];
    newer.mutable_instances()->set_version(9);
    CHECK(entry.service.HandleMessage(LinkId{9}, newer));
    entry.Advance(60s);
    // Only the seed, which is its own address, is disconnected.
    CHECK(entry.disconnects == std::vector<std::string>{"10.0.0.1:1"});
  }
}

}  // namespace
}  // namespace indigolead
