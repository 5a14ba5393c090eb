#include "store/idempotent_write.h"

#include <catch2/catch.hpp>

#include "runtime/clock.h"
#include "tests/support/store_fixture.h"

namespace indigolead {
namespace {

using standins::PlatformFaults;
using std::chrono::milliseconds;
using testing::MakeStoreFixture;
using testing::StoreFixture;

IdempotentPut Write(const std::string& nonce, ExpectedVersion expected) {
  IdempotentPut put;
  put.key = "control/lease";
  put.value = "nonce=" + nonce;
  put.expected = expected;
  put.call = {CallPriority::kLease, milliseconds(300)};
  put.is_ours = [value = put.value](const std::string& read) {
    return read == value;
  };
  put.retry_delay = milliseconds(20);
  return put;
}

Result<std::uint64_t> Settle(StoreFixture* world, const IdempotentPut& put) {
  IdempotentWriter writer(&world->store(), BootTimeNow,
                          MakeRunAfter(&world->io()));
  return world->Ask<std::uint64_t>([&](auto done) { writer.Put(put, done); });
}

TEST_CASE("IdempotentWriter determines the outcome after a lost response") {
  // The store performs the write but its response is lost, by a closed
  // connection or by silence. The writer repeats the write, gets a conflict,
  // reads back and recognizes its own nonce, so it reports a single success.
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  const bool by_silence = GENERATE(false, true);
  const auto first = world->Poke("control/lease", "nonce=old", 0);
  PlatformFaults faults;
  faults.lose_answers = 1;
  faults.lose_by_silence = by_silence;
  world->SetFaults(faults);

  const auto result = Settle(world.get(), Write("mine", first));
  REQUIRE(IsOk(result));
  const auto object = world->Peek("control/lease");
  CHECK(object->value == "nonce=mine");
  CHECK(object->version == ValueOf(result));
  CHECK(ValueOf(result) == first + 1);
}

TEST_CASE("IdempotentWriter does not mistake another write for its own") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  const auto first = world->Poke("control/lease", "nonce=other", 0);

  SECTION("a conflict on the first attempt means no effect") {
    const auto result = Settle(world.get(), Write("mine", 0));
    CHECK(ErrorOf(result).code == ErrorCode::kConflict);
    CHECK(world->Peek("control/lease")->version == first);
  }

  SECTION("another writer's value after a lost response means unknown effect") {
    // The write takes effect and its response is lost. Another writer replaces
    // the value before it is read back.
    PlatformFaults faults;
    faults.lose_answers = 1;
    world->SetFaults(faults);
    IdempotentPut put = Write("mine", first);
    put.retry_delay = milliseconds(200);
    IdempotentWriter writer(&world->store(), BootTimeNow,
                            MakeRunAfter(&world->io()));
    std::optional<Result<std::uint64_t>> result;
    writer.Put(put, [&](const auto& answer) { result = answer; });
    REQUIRE(world->RunUntil(
        [&] { return world->Peek("control/lease")->version > first; }));
    REQUIRE(world->Poke("control/lease", "nonce=third", first + 1) != 0);
    REQUIRE(world->RunUntil([&] { return result.has_value(); }));
    CHECK(ErrorOf(*result).code == ErrorCode::kUnknownEffect);
  }

  SECTION("a store that stays silent causes a timeout") {
    PlatformFaults faults;
    faults.stall = true;
    world->SetFaults(faults);
    IdempotentPut put = Write("mine", first);
    put.total_timeout = milliseconds(700);
    CHECK(ErrorOf(Settle(world.get(), put)).code == ErrorCode::kTimeout);
  }

  SECTION("a store that is down fails the write at once") {
    world->SetDown(true);
    CHECK(ErrorOf(Settle(world.get(), Write("mine", first))).code ==
          ErrorCode::kUnavailable);
  }
}

TEST_CASE("IdempotentWriter detects a stale read") {
  // The response is lost and reading back returns the state before the write.
  // The conflict of the repeat proves that the read is stale, so the writer
  // keeps trying until the store returns the current state.
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  const auto first = world->Poke("control/lease", "nonce=old", 0);
  PlatformFaults faults;
  faults.lose_answers = 1;
  faults.stale_reads = true;
  world->SetFaults(faults);
  IdempotentWriter writer(&world->store(), BootTimeNow,
                          MakeRunAfter(&world->io()));
  std::optional<Result<std::uint64_t>> result;
  writer.Put(Write("mine", first),
             [&](const auto& answer) { result = answer; });
  const auto until = std::chrono::steady_clock::now() + milliseconds(300);
  world->RunUntil([&] { return std::chrono::steady_clock::now() > until; });
  CHECK_FALSE(result.has_value());
  world->SetFaults({});
  REQUIRE(world->RunUntil([&] { return result.has_value(); }));
  CHECK(ValueOf(*result) == first + 1);
}

}  // namespace
}  // namespace indigolead
