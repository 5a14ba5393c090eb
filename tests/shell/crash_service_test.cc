#include "entry/crash_service.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "entry/crash_report_json.h"
#include "runtime/clock.h"
#include "tests/support/fuzz.h"
#include "tests/support/hostile_json.h"
#include "tests/support/store_fixture.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using testing::MakeStoreFixture;
using testing::StoreFixture;

constexpr Fingerprint kBad = 7;

TargetCrash Crash(int n) { return {"i-" + std::to_string(n), 5}; }

/// Crash service of one entry, on a store shared with other entries.
class Entry {
 public:
  Entry(StoreFixture* world, const std::string& name)
      : service_(&world->store(), &world->store(), MakeOptions(name),
                 {.on_reported =
                      [this](const TargetCrash& it) { reported.push_back(it); },
                  .jitter = [] { return 0.5; }},
                 BootTimeNow, MakeRunAfter(&world->io()), MakeNullEventLog(),
                 &metrics_) {
    service_.Start();
  }

  CrashService& operator*() { return service_; }
  CrashService* operator->() { return &service_; }
  bool Stops(Fingerprint request) {
    return service_.BlockOf({request, {}}).has_value();
  }

  std::vector<TargetCrash> reported;  ///< By other entries.

 private:
  static CrashService::Options MakeOptions(const std::string& name) {
    CrashService::Options options;
    options.instance = name;
    options.watch.list = {CallPriority::kConfig, std::chrono::seconds(2)};
    options.watch.min_backoff = milliseconds(20);
    options.watch.max_backoff = milliseconds(100);
    options.write.deadline = milliseconds(300);
    options.write_retry_delay = milliseconds(50);
    options.clear_batch_delay = milliseconds(100);
    return options;
  }

  MetricsRegistry metrics_;
  CrashService service_;
};

/// Guards against an entry that learns of a crash only when the list of targets
/// drops the target, seconds later.
TEST_CASE("An entry is notified once of each crash that others report") {
  auto world = MakeStoreFixture(GENERATE("fake", "platform"));
  Entry a(world.get(), "front-1");
  Entry b(world.get(), "front-2");
  REQUIRE(world->RunUntil([&] { return a->listed() && b->listed(); }));
  a->OnCrash(Crash(1), {{kBad, {}}});
  REQUIRE(world->RunUntil([&] { return b.reported.size() == 1; }));
  a->OnCrash(Crash(2), {{kBad, {}}});
  REQUIRE(world->RunUntil([&] { return b.reported.size() >= 2; }));
  CHECK(b.reported == std::vector<TargetCrash>{Crash(1), Crash(2)});
  CHECK(a.reported.empty());

  SECTION("but not of those that it reads at its start") {
    Entry c(world.get(), "front-3");
    REQUIRE(world->RunUntil([&] { return c->listed(); }));
    CHECK(c.reported.empty());
  }
}

/// Guards against entries that count crashes only locally, and against counts
/// that are lost when a process restarts.
TEST_CASE("Entries block a request by the crashes that all of them reported") {
  auto world = MakeStoreFixture(GENERATE("fake", "platform"));
  Entry a(world.get(), "front-1");
  Entry b(world.get(), "front-2");
  REQUIRE(world->RunUntil([&] { return a->listed() && b->listed(); }));
  a->OnCrash(Crash(1), {{kBad, {}}, {11, {}}});
  b->OnCrash(Crash(2), {{kBad, {}}, {12, {}}});

  SECTION("also an entry that starts later, and one that restarts") {
    b->OnCrash(Crash(3), {{kBad, {}}});
    CHECK(world->RunUntil([&] { return a.Stops(kBad) && b.Stops(kBad); }));
    Entry c(world.get(), "front-3");
    CHECK(world->RunUntil([&] { return c.Stops(kBad); }));
    Entry restarted(world.get(), "front-1");
    CHECK(world->RunUntil([&] { return restarted.Stops(kBad); }));

    SECTION("the restarted entry keeps the report of its previous process") {
      restarted->OnCrash(Crash(4), {{11, {}}});
      restarted->OnCrash(Crash(5), {{11, {}}});
      CHECK(world->RunUntil([&] { return b.Stops(11); }));
      CHECK(b.Stops(kBad));
    }
  }
  SECTION("also if the store is down during a crash") {
    world->SetDown(true);
    a->OnCrash(Crash(3), {{kBad, {}}});
    world->SetDown(false);
    CHECK(world->RunUntil([&] { return a.Stops(kBad) && b.Stops(kBad); }));
  }
  SECTION("but not a request that was answered in between") {
    REQUIRE(world->RunUntil([&] {
      const auto other = world->Peek("crashes/front-2");
      return other && other->value.find("i-2") != std::string::npos;
    }));
    a->OnAnswered({kBad, {}});
    REQUIRE(world->RunUntil([&] {
      a->Tick();
      const auto own = world->Peek("crashes/front-1");
      return own && own->value.find("\"cleared\":[]") == std::string::npos;
    }));
    b->OnCrash(Crash(3), {{kBad, {}}});
    Entry c(world.get(), "front-3");
    CHECK(world->RunUntil([&] { return c->listed(); }));
    CHECK_FALSE(c.Stops(kBad));
  }
}

/// Guards against prompt parts that each entry counts alone, and against blocks
/// that an answer at one entry does not lift at the others.
TEST_CASE(
    "Entries block a prompt part by the crashes that all of them reported") {
  constexpr PromptPartId kBadPart = 0xbad;
  constexpr PromptPartId kCommonPart = 0x5c;
  auto world = MakeStoreFixture(GENERATE("fake", "platform"));
  Entry a(world.get(), "front-1");
  Entry b(world.get(), "front-2");
  REQUIRE(world->RunUntil([&] { return a->listed() && b->listed(); }));
  a->OnCrash(Crash(1), {{21, {kCommonPart, kBadPart}}, {22, {kCommonPart}}});
  b->OnCrash(Crash(2), {{23, {kCommonPart, kBadPart}}});
  const auto blocks = [](Entry* entry, std::vector<PromptPartId> parts) {
    const auto block = (*entry)->BlockOf({99, std::move(parts)});
    return block && block->part ? block->part->part : 0;
  };
  b->OnCrash(Crash(3), {{24, {kCommonPart, kBadPart}}});
  CHECK(world->RunUntil([&] {
    return blocks(&a, {kCommonPart, kBadPart}) != 0 &&
           blocks(&b, {kCommonPart, kBadPart}) != 0;
  }));
  CHECK(blocks(&a, {kCommonPart, 0x77}) == 0);
  CHECK(blocks(&b, {kCommonPart, 0x77}) == 0);

  SECTION("also at an entry that starts later") {
    Entry c(world.get(), "front-3");
    CHECK(world->RunUntil([&] {
      return blocks(&c, {kCommonPart, kBadPart}) != 0;
    }));
    CHECK(blocks(&c, {kCommonPart, 0x77}) == 0);
  }
  SECTION("until one of them sees an answer") {
    a->OnAnswered({25, {kCommonPart, kBadPart}});
    CHECK(world->RunUntil([&] {
      a->Tick();
      return blocks(&b, {kCommonPart, kBadPart}) == 0;
    }));
  }
  SECTION("until one of them sees a long stream") {
    a->OnOutlived({25, {kCommonPart, kBadPart}});
    CHECK(world->RunUntil([&] {
      a->Tick();
      return blocks(&b, {kCommonPart, kBadPart}) == 0;
    }));
  }
}

TEST_CASE("A crash report") {
  const EntryCrashReport report{
      {{{Crash(1), {kBad, ~Fingerprint{0}}}, {Crash(2), {}}},
       {{11, {Crash(1)}}}},
      {{{Crash(1), {0xbad, ~PromptPartId{0}}, {0x5c}}},
       {Crash(2), Crash(1)},
       {{0x5c, 1}}}};
  const std::string text = EncodeCrashReport(report);

  SECTION("decodes to the encoded report") {
    CHECK(ValueOf(DecodeCrashReport("front-1", text)) == report);
  }
  SECTION(
      "with a fault decodes to an error that names the writer and the fault") {
    const auto read = DecodeCrashReport(
        "front-1",
        R"({"crashes":[{"target":"i-1","run":5,"running":["x"]}],"cleared":[]})");
    REQUIRE_FALSE(IsOk(read));
    CHECK(ErrorOf(read).peer == "front-1");
    CHECK(ErrorOf(read).detail ==
          R"(a text in "running" of crash 0 is not a fingerprint)");
  }
  SECTION("of an older version has no prompt parts") {
    const auto read =
        DecodeCrashReport("front-1", R"({"crashes":[],"cleared":[]})");
    REQUIRE(IsOk(read));
    CHECK(ValueOf(read) == EntryCrashReport{});
  }
  SECTION("names a prompt part that is none") {
    const auto read = DecodeCrashReport(
        "front-1",
        R"({"crashes":[],"cleared":[],"prompt_parts":{"crashes":[],"known":[],)"
        R"("answered":[{"part":"x","known_crashes":1}]}})");
    REQUIRE_FALSE(IsOk(read));
    CHECK(ErrorOf(read).detail ==
          R"(a text in "answered" is not a prompt part)");
  }
  SECTION("of arbitrary bytes decodes to an error or to a valid report") {
    Fuzz({text}, [](const std::string& bytes) {
      const auto read = DecodeCrashReport("front-1", bytes);
      CHECK((!IsOk(read) || IsOk(DecodeCrashReport(
                                "front-1", EncodeCrashReport(ValueOf(read))))));
    });
  }
}

// Guards against a report of another writer that overflows the stack or makes
// the log as long as it likes.
TEST_CASE("Hostile crash reports are values or bounded errors") {
  const EntryCrashReport report{
      {{{Crash(1), {kBad}}, {Crash(2), {}}}, {{11, {Crash(1)}}}},
      {{{Crash(1), {0xbad}, {0x5c}}}, {Crash(2), Crash(1)}, {{0x5c, 1}}}};
  const auto document = nlohmann::json::parse(EncodeCrashReport(report));
  CheckHostileDocuments(document, [](const std::string& text) {
    return DecodeCrashReport("front-1", text);
  });
  for (const char* raw : {"1e300", "18446744073709551615", "1.5", "true"}) {
    INFO(raw);
    const nlohmann::json::json_pointer run("/crashes/0/run");
    CHECK_FALSE(
        IsOk(DecodeCrashReport("front-1", WithRaw(document, run, raw))));
  }
}

}  // namespace
}  // namespace indigolead
