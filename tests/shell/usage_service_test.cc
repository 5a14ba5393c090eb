#include "entry/usage_service.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_object_store.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallMicros kSecond = 1'000'000;
constexpr UsageWindow kWindow = 353'445'120;
constexpr char kFinalizedKey[] = "control/usage";

/// Answers reports at once, or withholds the answers.
class Receiver : public TargetClient {
 public:
  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override {
    if (hooks.on_before_write && !hooks.on_before_write()) {
      ++stopped;
      hooks.on_end(Error{ErrorCode::kUnavailable, "usage", "receiver", ""});
      return std::make_unique<SilentCall>();
    }
    bodies.push_back(request.body);
    if (silent) {
      return std::make_unique<SilentCall>();
    }
    hooks.on_head(status, {});
    hooks.on_end(Unit{});
    return std::make_unique<SilentCall>();
  }

  int status = 200;
  bool silent = false;
  int stopped = 0;
  std::vector<std::string> bodies;

 private:
  struct SilentCall : Call {
    void PauseReading(bool) override {}
  };
};

std::string TextOf(const WindowCounts& report) {
  std::string text = "window " + std::to_string(report.window - kWindow) + ":";
  for (const auto& [account, n] : report.requests) {
    text += " " + account + "=" + std::to_string(n);
  }
  return text;
}

UsageDialect Dialect() {
  UsageDialect dialect;
  dialect.report = [](const WindowCounts& report, const std::string& holder,
                      FencingNumber number) {
    TargetRequest call;
    call.body =
        TextOf(report) + " by " + holder + " under " + std::to_string(number);
    return call;
  };
  dialect.read_outcome = [](const TargetAnswer& answer) {
    return answer.status == 200 ? ReportOutcome::kDelivered
                                : ReportOutcome::kUnknown;
  };
  return dialect;
}

/// Entries with one store and one receiver, with a manual clock.
class Fixture {
 public:
  struct Entry {
    Entry(Fixture* fixture, const std::string& name, std::uint64_t run)
        : store(&fixture->io, &fixture->platform),
          service(
              &store, &fixture->receiver, Options(name, run), Dialect(),
              {[this] { return number; }, [] { return 0.5; }},
              [fixture] { return fixture->now; },
              [fixture] { return fixture->Calendar() + fixture->step; },
              MakeNullEventLog(), &fixture->metrics) {}

    static UsageService::Options Options(const std::string& name,
                                         std::uint64_t run) {
      UsageService::Options options;
      options.instance = name;
      options.incarnation = Incarnation{{1, run}};
      options.entries_prefix = "usage/";
      options.finalized_key = kFinalizedKey;
      options.meter.window = seconds(5);
      options.reporter.window = seconds(5);
      options.reporter.due_after = seconds(10);
      options.reporter.collector.window = seconds(5);
      options.reporter.collector.silent_after = seconds(10);
      return options;
    }

    std::optional<FencingNumber> number;
    FakeObjectStore store;
    UsageService service;
  };

  Entry& Start(const std::string& name) {
    entries.push_back(std::make_unique<Entry>(this, name, ++runs));
    return *entries.back();
  }

  /// Destroys the entry without a planned stop, as a kill does.
  void Kill(const Entry& entry) {
    std::erase_if(entries, [&](const auto& it) { return it.get() == &entry; });
  }

  void Run(Duration length) {
    const TimePoint end = now + length;
    while (now < end) {
      now += milliseconds(200);
      for (const auto& it : entries) {
        it->service.Tick();
      }
      io.restart();
      io.poll();
    }
  }

  WallMicros Calendar() const {
    return kWindow * 5 * kSecond +
           std::chrono::duration_cast<std::chrono::microseconds>(now - kBegin)
               .count();
  }

  static constexpr TimePoint kBegin{seconds(1000)};
  TimePoint now = kBegin;
  WallMicros step = 0;  ///< Added to the time of day of every machine.
  std::uint64_t runs = 0;
  boost::asio::io_context io;
  FakePlatform platform{&io};
  MetricsRegistry metrics;
  Receiver receiver;
  std::vector<std::unique_ptr<Entry>> entries;
};

using Bodies = std::vector<std::string>;

TEST_CASE("The holder reports what all entries counted") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Start("front-1");
  Fixture::Entry& second = fixture.Start("front-2");
  first.number = 7;
  fixture.Run(seconds(1));
  first.service.Count("salon", fixture.now);
  second.service.Count("salon", fixture.now);
  second.service.Count("owner", fixture.now);
  fixture.Run(seconds(3));
  CHECK(fixture.receiver.bodies.empty());
  fixture.Run(seconds(5));
  CHECK(fixture.receiver.bodies ==
        Bodies{"window 0: owner=1 salon=2 by front-1 under 7"});

  SECTION("once for each window, also without requests") {
    fixture.Run(seconds(10));
    CHECK(fixture.receiver.bodies ==
          Bodies{"window 0: owner=1 salon=2 by front-1 under 7",
                 "window 1: by front-1 under 7",
                 "window 2: by front-1 under 7"});
  }
  SECTION("a step of the time of day moves no request to another window") {
    fixture.step = 20 * kSecond;
    second.service.Count("salon", fixture.now);
    fixture.Run(seconds(6));
    CHECK(fixture.receiver.bodies.back() ==
          "window 1: salon=1 by front-1 under 7");
  }
  SECTION("only the holder reports") {
    CHECK(fixture.platform.calls().at("put") > 0);
    for (const std::string& it : fixture.receiver.bodies) {
      CHECK(it.find("front-2") == std::string::npos);
    }
  }
}

// A fleet may start long before its traffic, and some entries never get any.
TEST_CASE(
    "An entry that has counted nothing writes once and delays no report") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Start("front-1");
  Fixture::Entry& second = fixture.Start("front-2");
  first.number = 7;
  fixture.Run(seconds(20));
  CHECK(fixture.platform.calls().at("put") == 2);
  first.service.Count("salon", fixture.now);
  fixture.Run(seconds(8));
  CHECK(fixture.receiver.bodies ==
        Bodies{"window 4: salon=1 by front-1 under 7"});

  SECTION("its first request is reported") {
    second.service.Count("owner", fixture.now);
    fixture.Run(seconds(5));
    CHECK(fixture.receiver.bodies.back() ==
          "window 5: owner=1 by front-1 under 7");
  }
}

// An entry is killed in the middle of a window. The requests before its last
// write must stay counted, and the holder must not wait for it beyond its
// limit.
TEST_CASE("What a killed entry had written is reported") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Start("front-1");
  Fixture::Entry& second = fixture.Start("front-2");
  first.number = 7;
  fixture.Run(milliseconds(1000));
  second.service.Count("salon", fixture.now);
  fixture.Run(milliseconds(3000));
  second.service.Count("salon", fixture.now);
  fixture.Kill(second);

  SECTION("without the requests after its last write") {
    fixture.Run(seconds(10));
    CHECK(fixture.receiver.bodies ==
          Bodies{"window 0: salon=1 by front-1 under 7"});
  }
  SECTION("its successor adds to it and does not wait") {
    Fixture::Entry& again = fixture.Start("front-2");
    again.service.Count("salon", fixture.now);
    fixture.Run(seconds(5));
    CHECK(fixture.receiver.bodies ==
          Bodies{"window 0: salon=2 by front-1 under 7"});
  }
}

TEST_CASE("A planned stop leaves no request uncounted") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Start("front-1");
  Fixture::Entry& second = fixture.Start("front-2");
  first.number = 7;
  fixture.Run(seconds(4));
  second.service.Count("salon", fixture.now);
  second.service.Close();
  fixture.io.restart();
  fixture.io.poll();
  CHECK(second.service.closed());
  fixture.Kill(second);
  fixture.Run(seconds(4));
  CHECK(fixture.receiver.bodies ==
        Bodies{"window 0: salon=1 by front-1 under 7"});
}

// The holder has finalized and sent a report, but is killed before an answer
// arrives. Another entry takes over, which has counted more meanwhile.
TEST_CASE("A new holder repeats the report that the previous one settled") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Start("front-1");
  Fixture::Entry& second = fixture.Start("front-2");
  first.number = 7;
  fixture.receiver.silent = true;
  fixture.Run(seconds(1));
  first.service.Count("salon", fixture.now);
  fixture.Run(seconds(7));
  REQUIRE(fixture.receiver.bodies ==
          Bodies{"window 0: salon=1 by front-1 under 7"});
  second.service.Count("owner", Fixture::kBegin + seconds(2));
  fixture.Kill(first);
  fixture.receiver.silent = false;
  second.number = 9;
  fixture.Run(seconds(1));
  REQUIRE(fixture.receiver.bodies.size() == 2);
  CHECK(fixture.receiver.bodies.back() ==
        "window 0: salon=1 by front-2 under 9");
}

TEST_CASE("A report is not written under an authority that has ended") {
  Fixture fixture;
  Fixture::Entry& only = fixture.Start("front-1");
  only.number = 7;
  fixture.Run(seconds(1));
  only.service.Count("salon", fixture.now);
  fixture.Run(seconds(4));
  only.number.reset();
  fixture.Run(seconds(10));
  CHECK(fixture.receiver.bodies.empty());
}

// The store is down for longer than a window, so no report can be finalized.
// The counts must be kept and reported afterwards, in order.
TEST_CASE("Reports catch up after an outage of the store") {
  Fixture fixture;
  Fixture::Entry& only = fixture.Start("front-1");
  only.number = 7;
  fixture.Run(seconds(1));
  only.service.Count("salon", fixture.now);
  fixture.platform.SetDown(true);
  fixture.Run(seconds(8));
  only.service.Count("owner", fixture.now);
  fixture.Run(seconds(4));
  CHECK(fixture.receiver.bodies.empty());
  fixture.platform.SetDown(false);
  fixture.Run(seconds(7));
  CHECK(fixture.receiver.bodies ==
        Bodies{"window 0: salon=1 by front-1 under 7",
               "window 1: owner=1 by front-1 under 7",
               "window 2: by front-1 under 7"});
}

}  // namespace
}  // namespace indigolead::testing
