// Conformance tests that every implementation of `ObjectStore` must pass.

#include <catch2/catch.hpp>

#include "tests/support/store_fixture.h"

namespace indigolead {
namespace {

using standins::PlatformFaults;
using testing::MakeStoreFixture;
using testing::StoreFixture;

constexpr std::chrono::milliseconds kShortDeadline{300};

CallOptions ShortCall() { return {CallPriority::kOrder, kShortDeadline}; }
CallOptions LongCall() {
  return {CallPriority::kOrder, std::chrono::seconds(20)};
}

Result<std::uint64_t> Put(StoreFixture* world, const std::string& value,
                          ExpectedVersion expected,
                          const CallOptions& options = LongCall()) {
  return world->Ask<std::uint64_t>([&](auto done) {
    world->store().Put("a/b", value, expected, options, done);
  });
}

Result<std::optional<StoredObject>> Get(
    StoreFixture* world, const CallOptions& options = LongCall()) {
  return world->Ask<std::optional<StoredObject>>(
      [&](auto done) { world->store().Get("a/b", options, done); });
}

Result<ObjectStore::Listing> List(StoreFixture* world,
                                  const CallOptions& options = LongCall()) {
  return world->Ask<ObjectStore::Listing>(
      [&](auto done) { world->store().List("a/", options, done); });
}

template <typename T>
std::string Outcome(const Result<T>& result) {
  return IsOk(result) ? "ok" : std::string(ErrorCodeName(ErrorOf(result).code));
}

/// Watch that records its events and errors.
struct RecordedWatch {
  RecordedWatch(StoreFixture* world, std::uint64_t from)
      : watch(world->store().StartWatch(
            "a/", from,
            [this](const std::vector<WatchEvent>& new_events) {
              events.insert(events.end(), new_events.begin(), new_events.end());
            },
            [this](const Error& error) { ends.push_back(error.code); })) {}

  std::vector<WatchEvent> events;
  std::vector<ErrorCode> ends;
  std::unique_ptr<ObjectStore::Watch> watch;
};

TEST_CASE("ObjectStore reads and writes versioned objects") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http", "platform"));

  SECTION("reading an absent object is not an error") {
    CHECK(ValueOf(Get(world.get())) == std::nullopt);
  }

  SECTION("a write must state the current version") {
    const auto first = ValueOf(Put(world.get(), "one", 0));
    CHECK(ValueOf(Get(world.get())) == StoredObject{"a/b", "one", first});
    const auto conflict = Put(world.get(), "two", 0);
    REQUIRE(Outcome(conflict) == "conflict");
    CHECK(ErrorOf(conflict).detail == std::to_string(first));
    CHECK(ValueOf(Put(world.get(), "two", first)) > first);
  }

  SECTION("values may hold arbitrary bytes") {
    const std::string bytes("\0\xff\n{\"", 5);
    Put(world.get(), bytes, 0);
    CHECK(ValueOf(Get(world.get()))->value == bytes);
    CHECK(ValueOf(List(world.get())).objects.at(0).value == bytes);
  }

  SECTION("a delete must state the current version and removes the object") {
    const auto version = ValueOf(Put(world.get(), "one", 0));
    const auto remove = [&](ExpectedVersion expected) {
      return world->Ask<Unit>([&](auto done) {
        world->store().Delete("a/b", expected, LongCall(), done);
      });
    };
    CHECK(Outcome(remove(version + 1)) == "conflict");
    CHECK(Outcome(remove(version)) == "ok");
    CHECK(ValueOf(Get(world.get())) == std::nullopt);
  }

  SECTION("a write to a deleted object conflicts with version 0") {
    const auto version = ValueOf(Put(world.get(), "one", 0));
    world->Ask<Unit>([&](auto done) {
      world->store().Delete("a/b", version, LongCall(), done);
    });
    const auto conflict = Put(world.get(), "two", version);
    REQUIRE(Outcome(conflict) == "conflict");
    CHECK(ErrorOf(conflict).detail == "0");
    const auto remove = world->Ask<Unit>([&](auto done) {
      world->store().Delete("a/b", version, LongCall(), done);
    });
    CHECK(Outcome(remove) == "conflict");
    CHECK(Outcome(Put(world.get(), "three", 0)) == "ok");
  }

  SECTION("a listing is limited to its prefix and has the store's version") {
    Put(world.get(), "one", 0);
    const auto other = world->Poke("c", "x", 0);
    const auto listing = ValueOf(List(world.get()));
    CHECK(listing.version == other);
    REQUIRE(listing.objects.size() == 1);
    CHECK(listing.objects[0].key == "a/b");
  }

  SECTION("an invalid key and a value above 1 MiB are rejected") {
    const auto bad = world->Ask<std::uint64_t>([&](auto done) {
      world->store().Put("a b", "x", 0, LongCall(), done);
    });
    CHECK(Outcome(bad) == "invalid-input");
    const std::string large((1U << 20) + 1, 'x');
    CHECK(Outcome(Put(world.get(), large, 0)) == "invalid-input");
  }

  SECTION("a write succeeds after a restart of the store") {
    // Connections from before the restart are broken. A write sent on one of
    // them would be reported as of unknown effect although it had none.
    const auto first = ValueOf(Put(world.get(), "one", 0));
    world->SetDown(true);
    world->SetDown(false);
    CHECK(Outcome(Put(world.get(), "two", first)) == "ok");
  }
}

TEST_CASE("ObjectStore's instance list distinguishes leaving from live") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  world->PutInstance(
      {"t1", "target", "bilbao-a", "norte", "", InstanceState::kLeaving});
  const auto list = world->Ask<InstanceList>(
      [&](auto done) { world->store().ListInstances(LongCall(), done); });
  REQUIRE(ValueOf(list).instances.size() == 1);
  CHECK(ValueOf(list).instances[0].state == InstanceState::kLeaving);
  CHECK(ValueOf(list).instances[0].failure_domain == "bilbao-a");
}

TEST_CASE("ObjectStore watches report each change once and in order") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http", "platform"));
  const auto first = world->Poke("a/b", "one", 0);
  RecordedWatch watched(world.get(), first);
  const auto second = world->Poke("a/b", "two", first);
  REQUIRE(world->RunUntil([&] { return watched.events.size() == 1; }));
  CHECK(watched.events[0] == WatchEvent{"a/b", "two", second});

  SECTION("deletions are reported, other prefixes are not") {
    world->Poke("c", "x", 0);
    world->Ask<Unit>([&](auto done) {
      world->store().Delete("a/b", second, LongCall(), done);
    });
    REQUIRE(world->RunUntil([&] { return watched.events.size() == 2; }));
    CHECK(watched.events[1].value == std::nullopt);
  }

  SECTION("a dropped watch reports its end once") {
    world->DropWatches();
    REQUIRE(world->RunUntil([&] { return !watched.ends.empty(); }));
    CHECK(watched.ends.size() == 1);
  }

  SECTION("an unavailable version ends the watch with not-found") {
    RecordedWatch late(world.get(), second + 100);
    REQUIRE(world->RunUntil([&] { return !late.ends.empty(); }));
    CHECK(late.ends[0] == ErrorCode::kNotFound);
  }

  SECTION("a stopped watch reports nothing more") {
    watched.watch.reset();
    world->Poke("a/b", "three", second);
    Get(world.get());
    CHECK(watched.events.size() == 1);
    CHECK(watched.ends.empty());
  }
}

/// Row of the fault table: the reported outcomes and the actual effect.
struct FaultCase {
  std::string name;
  bool down = false;
  PlatformFaults faults;
  std::string put;
  std::string get;
  std::string list;
  bool takes_effect = false;
};

PlatformFaults Slow() {
  PlatformFaults faults;
  faults.slow_ms = 2 * kShortDeadline.count();
  return faults;
}

PlatformFaults Losing(bool by_silence) {
  PlatformFaults faults;
  faults.lose_answers = 1;
  faults.lose_by_silence = by_silence;
  return faults;
}

PlatformFaults Stale() {
  PlatformFaults faults;
  faults.stale_reads = true;
  return faults;
}

PlatformFaults Refusing() {
  PlatformFaults faults;
  faults.refuse = true;
  return faults;
}

PlatformFaults Resetting() {
  PlatformFaults faults;
  faults.reset = true;
  return faults;
}

PlatformFaults Stalled() {
  PlatformFaults faults;
  faults.stall = true;
  return faults;
}

TEST_CASE("ObjectStore reports the outcome of calls under each fault") {
  // Makes a write and two reads with short deadlines under one fault. Each call
  // must end by its deadline with one result. A write may report "unavailable"
  // only if it had no effect. It reports "timeout" or "unknown-effect" if the
  // effect is open: a slow store performs the write after the caller has given
  // up, and a lost response proves nothing.
  const auto world = MakeStoreFixture(GENERATE("fake", "http", "platform"));
  const FaultCase fault = GENERATE(values<FaultCase>({
      {"down", true, {}, "unavailable", "unavailable", "unavailable", false},
      {"refusing", false, Refusing(), "unavailable", "unavailable",
       "unavailable", false},
      {"resetting", false, Resetting(), "unknown-effect", "unavailable",
       "unavailable", false},
      {"stalled", false, Stalled(), "timeout", "timeout", "timeout", false},
      {"slow", false, Slow(), "timeout", "timeout", "timeout", true},
      {"answer lost", false, Losing(false), "unknown-effect", "ok", "ok", true},
      {"answer silent", false, Losing(true), "timeout", "ok", "ok", true},
      {"stale read", false, Stale(), "ok", "ok", "ok", true},
  }));
  INFO("fault: " << fault.name);
  const auto before = world->Poke("a/b", "before", 0);
  CHECK(Outcome(Get(world.get())) == "ok");  // Opens a connection.
  world->SetFaults(fault.faults);
  world->SetDown(fault.down);

  CHECK(Outcome(Put(world.get(), "after", before, ShortCall())) == fault.put);
  const auto read = Get(world.get(), ShortCall());
  CHECK(Outcome(read) == fault.get);
  CHECK(Outcome(List(world.get(), ShortCall())) == fault.list);
  if (fault.faults.stale_reads) {
    CHECK(ValueOf(read)->value == "before");
  }

  const std::string expected = fault.takes_effect ? "after" : "before";
  CHECK(world->RunUntil([&] { return world->Peek("a/b")->value == expected; }));

  world->SetDown(false);
  world->SetFaults({});
  CHECK(ValueOf(Get(world.get()))->value == expected);
}

// A delete whose response is lost has an unknown effect, like any write.
// Treated as a read, it would be reported as certainly not done.
TEST_CASE("ObjectStore reports unknown effect for a delete without response") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http", "platform"));
  const auto version = world->Poke("a/b", "one", 0);
  world->SetFaults(Losing(false));
  const auto remove = world->Ask<Unit>([&](auto done) {
    world->store().Delete("a/b", version, LongCall(), done);
  });
  CHECK(Outcome(remove) == "unknown-effect");
  CHECK(ValueOf(Get(world.get())) == std::nullopt);
}

TEST_CASE("ObjectStore ends a watch that goes silent or loses its store") {
  // The connection of a watch is lost silently, or the store goes down. Unless
  // the watch ends, the caller would keep an outdated state forever.
  const auto world = MakeStoreFixture(GENERATE("fake", "http", "platform"));
  const auto version = world->Poke("a/b", "one", 0);
  RecordedWatch watched(world.get(), version);
  const auto second = world->Poke("a/b", "two", version);
  REQUIRE(world->RunUntil([&] { return watched.events.size() == 1; }));

  SECTION("a silent watch times out") {
    PlatformFaults faults;
    faults.silence_watches = true;
    world->SetFaults(faults);
    world->Poke("a/b", "three", second);
    REQUIRE(world->RunUntil([&] { return !watched.ends.empty(); }));
    CHECK(watched.ends[0] == ErrorCode::kTimeout);
    CHECK(watched.events.size() == 1);
  }

  SECTION("a store that is down ends the watch and rejects the next") {
    world->SetDown(true);
    REQUIRE(world->RunUntil([&] { return !watched.ends.empty(); }));
    RecordedWatch next(world.get(), second);
    REQUIRE(world->RunUntil([&] { return !next.ends.empty(); }));
    CHECK(next.ends[0] == ErrorCode::kUnavailable);
  }
}

}  // namespace
}  // namespace indigolead
