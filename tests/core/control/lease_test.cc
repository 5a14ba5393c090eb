#include "core/control/lease.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "tests/support/hostile_json.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(double s) {
  return TimePoint{} +
         milliseconds(static_cast<std::int64_t>(s * 1000) + 1000000);
}

Lease MakeLease(const std::string& holder, std::uint64_t seed) {
  Lease::Options options;
  options.holder = holder;
  options.incarnation = Incarnation{{seed, seed}};
  return Lease(
      options,
      [n = seed * 1000]() mutable {
        return Id128{1, ++n};
      },
      [] { return 0.0; });
}

template <typename T>
std::optional<T> Find(const Lease::Actions& actions) {
  for (const auto& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      return *found;
    }
  }
  return std::nullopt;
}

LeaseView ViewOf(LeaseRecord record, std::uint64_t version) {
  if (record.fencing_number == 0) {
    record.fencing_number = version;
  }
  return LeaseView{record, version};
}

/// Takes the free lease at time 0 under number 7.
Lease::Write Take(Lease* lease) {
  lease->Tick(At(0));
  lease->OnRead(LeaseView{}, At(0));
  const auto write = Find<Lease::Write>(lease->Tick(At(0)));
  REQUIRE(write);
  lease->OnWritten(write->record.nonce, std::uint64_t{7}, At(0.5));
  return *write;
}

/// Ticks often enough not to appear paused; answers no action.
Lease::Actions TickUntil(Lease* lease, double from, double to) {
  Lease::Actions all;
  for (double t = from; t <= to; t += 0.25) {
    for (auto& action : lease->Tick(At(t))) {
      all.push_back(std::move(action));
    }
  }
  return all;
}

TEST_CASE("Lease is taken, renewed and lost") {
  Lease lease = MakeLease("entry-a", 1);
  const Lease::Write taken = Take(&lease);

  SECTION("the fencing number is the version of the write that took it") {
    CHECK(taken.expected == 0);
    CHECK(lease.Authority(At(0.5)) == FencingNumber{7});
  }

  SECTION("a renewal keeps the number and counts from before it was sent") {
    const auto renewal = Find<Lease::Write>(TickUntil(&lease, 0.75, 2));
    REQUIRE(renewal);
    CHECK(renewal->record.fencing_number == 7);
    CHECK(renewal->expected == 7);
    // Sent at 1.5 s (jitter 0), answered at 3 s: lasts until 1.5 + 6 - 0.6.
    TickUntil(&lease, 2.25, 3);
    lease.OnWritten(renewal->record.nonce, std::uint64_t{9}, At(3));
    TickUntil(&lease, 3.25, 6.75);
    CHECK(lease.Authority(At(6.85)) == FencingNumber{7});
    CHECK_FALSE(lease.Authority(At(6.95)));
  }

  SECTION("authority ends when no renewal is answered") {
    const auto actions = TickUntil(&lease, 0.75, 5.5);
    REQUIRE(Find<Lease::Lost>(actions));
    CHECK(Find<Lease::Lost>(actions)->reason == LeaseLoss::kLapsed);
    CHECK_FALSE(lease.Authority(At(5.5)));
  }

  SECTION("another holder's record ends it at once") {
    LeaseRecord other;
    other.holder = "entry-b";
    const auto actions = lease.OnWatched(ViewOf(other, 12), At(1));
    REQUIRE(Find<Lease::Lost>(actions));
    CHECK(Find<Lease::Lost>(actions)->reason == LeaseLoss::kTaken);
    CHECK_FALSE(lease.Authority(At(1)));
  }

  SECTION("a stale read of an earlier lease neither ends nor restores it") {
    LeaseRecord earlier;
    earlier.holder = "entry-z";
    lease.OnRead(ViewOf(earlier, 3), At(1));
    CHECK(lease.Authority(At(1)) == FencingNumber{7});
    CHECK(lease.newest().version == 7);
  }

  SECTION("resigning ends it and frees the object under the same number") {
    const auto actions = lease.Resign(At(1));
    CHECK_FALSE(lease.Authority(At(1)));
    REQUIRE(Find<Lease::Write>(actions));
    CHECK(Find<Lease::Write>(actions)->record.holder.empty());
    CHECK(Find<Lease::Write>(actions)->record.fencing_number == 7);
  }

  // The write that took the lease has just been sent. The minimum interval
  // between take attempts must not delay the resignation.
  SECTION("resigning right after taking it frees it too") {
    CHECK(Find<Lease::Write>(lease.Resign(At(0.5))));
  }

  SECTION("a renewal in flight completes before the lease is given up") {
    const auto renewal = Find<Lease::Write>(TickUntil(&lease, 0.75, 2));
    REQUIRE(renewal);
    CHECK_FALSE(Find<Lease::Write>(lease.Resign(At(2))));
    lease.OnWritten(renewal->record.nonce, std::uint64_t{9}, At(2.1));
    CHECK_FALSE(lease.Authority(At(2.1)));
    const auto resigned = Find<Lease::Write>(lease.Resign(At(2.2)));
    REQUIRE(resigned);
    CHECK(resigned->expected == 9);
  }
}

// The holder is paused between its decision and its action, and no event has
// told it that its lease ended. The clock read just before the action shows the
// gap, so the holder has no authority until the store has confirmed the lease
// again.
TEST_CASE("Lease holder that was paused has no authority") {
  Lease lease = MakeLease("entry-a", 1);
  const Lease::Write taken = Take(&lease);

  SECTION("authority is gone before any event is handled") {
    CHECK_FALSE(lease.Authority(At(2.75)));
  }
  SECTION("after the lease ended, a read shows the other holder") {
    const auto actions = lease.Tick(At(30));
    CHECK(Find<Lease::Lost>(actions));
    CHECK_FALSE(Find<Lease::Write>(actions));
    CHECK_FALSE(lease.Authority(At(30)));
  }
  SECTION("a short pause only suspends it until a read confirms it") {
    CHECK(Find<Lease::Read>(lease.Tick(At(3))));
    CHECK_FALSE(lease.Authority(At(3)));
    LeaseRecord record = taken.record;
    lease.OnRead(ViewOf(record, 7), At(3.1));
    CHECK(lease.Authority(At(3.1)) == FencingNumber{7});
    CHECK_FALSE(lease.Authority(At(5.4)));
  }
}

TEST_CASE("Lease of another holder is taken only after its end") {
  Lease lease = MakeLease("entry-b", 2);
  LeaseRecord other;
  other.holder = "entry-a";
  other.duration = seconds(6);
  lease.Tick(At(0));
  lease.OnRead(ViewOf(other, 7), At(1));

  SECTION("the wait counts from when the last change was seen") {
    CHECK_FALSE(Find<Lease::Write>(TickUntil(&lease, 1.25, 7.5)));
    const auto write = Find<Lease::Write>(lease.Tick(At(7.6)));
    REQUIRE(write);
    CHECK(write->expected == 7);
    CHECK(write->record.fencing_number == 0);
    CHECK(write->record.earlier == std::vector<FencingNumber>{7});
  }
  SECTION("a renewal seen by the watch restarts the wait") {
    TickUntil(&lease, 1.25, 4);
    lease.OnWatched(ViewOf(other, 8), At(4));
    CHECK_FALSE(Find<Lease::Write>(TickUntil(&lease, 4.25, 10.5)));
    CHECK(Find<Lease::Write>(lease.Tick(At(10.6))));
  }
  SECTION("a lost race gives no authority") {
    TickUntil(&lease, 1.25, 7.5);
    const auto write = Find<Lease::Write>(lease.Tick(At(7.6)));
    REQUIRE(write);
    lease.OnWritten(write->record.nonce,
                    Error{ErrorCode::kConflict, "store.put", "store", "12"},
                    At(7.7));
    CHECK_FALSE(lease.Authority(At(7.7)));
    LeaseRecord winner;
    winner.holder = "entry-c";
    winner.duration = seconds(6);
    lease.OnRead(ViewOf(winner, 12), At(7.8));
    CHECK_FALSE(Find<Lease::Write>(TickUntil(&lease, 8, 14)));
  }
}

// The write takes effect in the store but its answer is lost. The writer reads
// back its own nonce, so it neither waits for its own lease to lapse nor
// assumes a lease that it did not get.
TEST_CASE("Lease settles a write whose answer was lost") {
  Lease lease = MakeLease("entry-a", 1);
  lease.Tick(At(0));
  lease.OnRead(LeaseView{}, At(0));
  const auto write = Find<Lease::Write>(lease.Tick(At(0)));
  REQUIRE(write);
  const auto reads = lease.OnWritten(
      write->record.nonce, Error{ErrorCode::kTimeout, "store.put", "store", ""},
      At(1));
  REQUIRE(Find<Lease::Read>(reads));
  CHECK_FALSE(lease.Authority(At(1)));

  SECTION("the write took effect: authority counts from the send") {
    lease.OnRead(ViewOf(write->record, 7), At(2));
    CHECK(lease.Authority(At(2)) == FencingNumber{7});
    TickUntil(&lease, 2.25, 5);
    CHECK_FALSE(lease.Authority(At(5.4)));
  }
  SECTION("no effect yet: the same write is repeated, with the same nonce") {
    lease.OnRead(LeaseView{}, At(2));
    const auto again = Find<Lease::Write>(lease.Tick(At(2.25)));
    REQUIRE(again);
    CHECK(*again == *write);
    // The first copy may have taken effect, so the end still counts from its
    // send.
    lease.OnWritten(again->record.nonce, std::uint64_t{7}, At(2.5));
    CHECK(lease.Authority(At(2.5)) == FencingNumber{7});
    TickUntil(&lease, 2.75, 5.25);
    CHECK_FALSE(lease.Authority(At(5.45)));
  }
  SECTION("another write took effect first: no authority, no repeat") {
    LeaseRecord other;
    other.holder = "entry-b";
    other.duration = seconds(6);
    lease.OnRead(ViewOf(other, 7), At(2));
    CHECK_FALSE(lease.Authority(At(2)));
    CHECK_FALSE(Find<Lease::Write>(TickUntil(&lease, 2.25, 8)));
  }
}

TEST_CASE("LeaseRecord as JSON") {
  const LeaseRecord record{"entry-a",   Incarnation{{1, 2}}, 0,
                           Id128{3, 4}, seconds(6),          {}};
  SECTION("a number of 0 reads as the version of the write") {
    LeaseRecord expected = record;
    expected.fencing_number = 41;
    CHECK(ValueOf(DecodeLease(EncodeLease(record), 41)) == expected);
  }
  SECTION("a renewal keeps its number") {
    LeaseRecord renewed = record;
    renewed.fencing_number = 41;
    CHECK(ValueOf(DecodeLease(EncodeLease(renewed), 50)) == renewed);
  }
  SECTION("malformed JSON is an error") {
    CHECK(ErrorOf(DecodeLease("{}", 1)).code == ErrorCode::kProtocol);
    CHECK(ErrorOf(DecodeLease("x", 1)).code == ErrorCode::kProtocol);
  }
}

// The store is unavailable for longer than the lease, so the holder's authority
// ends and nobody can take over. When the store returns, the record is still
// the holder's own. Waiting for it as for another holder's lease would leave
// nobody to give orders for another full duration.
TEST_CASE("A holder retakes its own lapsed lease at once") {
  Lease lease = MakeLease("entry-a", 1);
  const Lease::Write taken = Take(&lease);
  TickUntil(&lease, 0.75, 6);
  REQUIRE_FALSE(lease.Authority(At(6)));

  SECTION("if the store still holds it") {
    lease.OnRead(ViewOf(taken.record, 7), At(6.25));
    // The unanswered renewal is settled first. It was sent too long ago to give
    // authority.
    const auto renewal = Find<Lease::Write>(TickUntil(&lease, 6.25, 6.75));
    REQUIRE(renewal);
    CHECK(renewal->record.fencing_number == 7);
    lease.OnWritten(renewal->record.nonce, std::uint64_t{20}, At(7.5));
    CHECK_FALSE(lease.Authority(At(7.5)));
    const auto write = Find<Lease::Write>(TickUntil(&lease, 7.75, 8.5));
    REQUIRE(write);
    CHECK(write->record.fencing_number == 0);
    CHECK(write->expected == 20);
    lease.OnWritten(write->record.nonce, std::uint64_t{30}, At(8.6));
    CHECK(lease.Authority(At(8.6)) == FencingNumber{30});
  }
  SECTION("not if another process holds it now, even under the same name") {
    LeaseRecord other = taken.record;
    other.incarnation = Incarnation{{9, 9}};
    lease.OnRead(ViewOf(other, 12), At(6.25));
    CHECK_FALSE(Find<Lease::Write>(TickUntil(&lease, 6.25, 9)));
  }
}

/// Guards against hundreds of expensive reads of the newest state when a fleet
/// starts.
TEST_CASE("Only a standby needs the newest lease on its first read") {
  Lease lease(
      {},
      [] {
        return Id128{1, 1};
      },
      [] { return 0.5; });
  CHECK(lease.needs_newest());
  lease.SetReserve(true);
  CHECK_FALSE(lease.needs_newest());
  lease.SetReserve(false);
  CHECK(lease.needs_newest());
}

// Guards against a lease of another writer that overflows the stack, or that
// no entry takes because its duration never ends.
TEST_CASE("Hostile leases are values or bounded errors") {
  LeaseRecord record{"front-1",   Incarnation{{1, 2}}, 17,
                     Id128{1, 2}, seconds(3),          {15, 16}};
  const auto document = nlohmann::json::parse(EncodeLease(record));
  CheckHostileDocuments(
      document, [](const std::string& text) { return DecodeLease(text, 20); });
  for (const char* raw : {"-1", "1.5e300", "9223372036854775807",
                          "18446744073709551615", "86400001", "true"}) {
    INFO(raw);
    const nlohmann::json::json_pointer duration("/duration_ms");
    CHECK_FALSE(IsOk(DecodeLease(WithRaw(document, duration, raw), 20)));
  }
}

}  // namespace
}  // namespace indigolead
