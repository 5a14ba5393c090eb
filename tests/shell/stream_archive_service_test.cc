#include "entry/stream_archive_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/events.h"
#include "entry/stream_archive_json.h"
#include "runtime/clock.h"
#include "tests/support/fuzz.h"
#include "tests/support/hostile_json.h"
#include "tests/support/store_fixture.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using testing::MakeStoreFixture;
using testing::StoreFixture;

const StreamOrigin kOld{"llm", "v1"};
const StreamOrigin kNew{"llm", "v2"};

/// Archive service of one entry, on a store shared with other entries.
class Entry {
 public:
  Entry(StoreFixture* world, const std::string& name)
      : service_(&world->store(), MakeOptions(name),
                 {[this](const std::string&) { return several_; },
                  [] { return 0.0; }},
                 BootTimeNow,
                 [this](const EventInfo& event, const EventFields&) {
                   events_.push_back(event.number);
                 }) {
    service_.Start();
    service_.SetEntries(4);
  }

  StreamArchiveService* operator->() { return &service_; }
  void SetSeveralVersions(bool several) { several_ = several; }
  int Logged(const EventInfo& event) const {
    return static_cast<int>(
        std::count(events_.begin(), events_.end(), event.number));
  }

 private:
  static StreamArchiveService::Options MakeOptions(const std::string& name) {
    StreamArchiveService::Options options;
    options.instance = name;
    options.archive.min_interval = milliseconds(50);
    options.archive.fleet_write_gap = milliseconds(1);
    options.archive.retention = milliseconds(2000);
    options.read.deadline = milliseconds(300);
    options.write.deadline = milliseconds(300);
    options.read_retry_delay = milliseconds(50);
    options.min_read_interval = milliseconds(50);
    options.fleet_read_gap = milliseconds(1);
    return options;
  }

  bool several_ = true;
  std::vector<int> events_;
  StreamArchiveService service_;
};

/// Returns the origin that the entry finds; fails if it does not answer.
std::optional<StreamOrigin> FindAt(StoreFixture* world, Entry* entry,
                                   const std::string& id) {
  std::optional<std::optional<StreamOrigin>> found;
  (*entry)->Find(id, [&found](const std::optional<StreamOrigin>& it) {
    REQUIRE_FALSE(found);
    found = it;
  });
  REQUIRE(world->RunUntil([&] {
    (*entry)->Tick();
    return found.has_value();
  }));
  return *found;
}

/// Returns what the entry `name` has archived about the stream `id`.
bool IsArchived(StoreFixture* world, const std::string& name,
                const std::string& id) {
  const auto object = world->Peek("streams/" + name);
  if (!object) {
    return false;
  }
  const auto report = DecodeStreamArchive(name, object->value);
  REQUIRE(IsOk(report));
  for (const ArchivedStreams& it : ValueOf(report)) {
    for (const StreamIdHash hash : it.ids) {
      if (hash == HashStreamId(id)) {
        return true;
      }
    }
  }
  return false;
}

/// Guards against origins that are lost when all entries are killed.
TEST_CASE("Origins of streams outlast all entries") {
  auto world = MakeStoreFixture(GENERATE("fake", "platform"));
  auto a = std::make_unique<Entry>(world.get(), "front-1");
  auto b = std::make_unique<Entry>(world.get(), "front-2");
  const auto archived = [&](std::unique_ptr<Entry>* entry,
                            const std::string& name, const std::string& id) {
    return world->RunUntil([&] {
      (**entry)->Tick();
      return IsArchived(world.get(), name, id);
    });
  };
  (*a)->OnStreamPlaced("sa", kOld);
  (*b)->OnStreamPlaced("sb", kNew);
  REQUIRE(archived(&a, "front-1", "sa"));
  REQUIRE(archived(&b, "front-2", "sb"));
  CHECK_FALSE(FindAt(world.get(), a.get(), "never-seen"));
  a.reset();
  b.reset();

  SECTION("an entry that starts knows them") {
    Entry c(world.get(), "front-3");
    CHECK(FindAt(world.get(), &c, "sa") == kOld);
    CHECK(FindAt(world.get(), &c, "sb") == kNew);
    CHECK_FALSE(FindAt(world.get(), &c, "never-seen"));
    CHECK(c.Logged(kStreamArchiveRead) > 0);

    SECTION("also those that were written after its start") {
      b = std::make_unique<Entry>(world.get(), "front-2");
      (*b)->OnStreamPlaced("later", kNew);
      REQUIRE(archived(&b, "front-2", "later"));
      CHECK(world->RunUntil(
          [&] { return FindAt(world.get(), &c, "later") == kNew; }));
    }
  }
  SECTION("one that starts again does not erase them") {
    a = std::make_unique<Entry>(world.get(), "front-1");
    (*a)->OnStreamPlaced("new", kNew);
    REQUIRE(archived(&a, "front-1", "new"));
    CHECK(IsArchived(world.get(), "front-1", "sa"));
  }
  SECTION("nor does a write of its former process that comes late") {
    a = std::make_unique<Entry>(world.get(), "front-1");
    REQUIRE(world->RunUntil([&] { return (*a)->has_read(); }));
    REQUIRE(world->Poke("streams/front-1",
                        EncodeStreamArchive({{kOld, {HashStreamId("late")}}}),
                        world->Peek("streams/front-1")->version) != 0);
    (*a)->OnStreamPlaced("new", kNew);
    REQUIRE(archived(&a, "front-1", "new"));
    CHECK(IsArchived(world.get(), "front-1", "late"));
  }
  SECTION("one that starts while the store is away reads them later") {
    world->SetDown(true);
    Entry c(world.get(), "front-3");
    CHECK_FALSE(FindAt(world.get(), &c, "sa"));
    world->SetDown(false);
    CHECK(
        world->RunUntil([&] { return FindAt(world.get(), &c, "sa") == kOld; }));
  }
}

/// Guards against an archive that grows with every release.
TEST_CASE("An entry removes its archive of streams once it is not needed") {
  auto world = MakeStoreFixture(GENERATE("fake", "platform"));
  Entry a(world.get(), "front-1");
  a->OnStreamPlaced("s", kOld);
  REQUIRE(world->RunUntil([&] {
    a->Tick();
    return IsArchived(world.get(), "front-1", "s");
  }));
  a.SetSeveralVersions(false);
  CHECK(world->RunUntil([&] {
    a->Tick();
    return !world->Peek("streams/front-1");
  }));
}

/// Guards against a foreign or damaged object that stops an entry, or that it
/// drops without a word.
TEST_CASE("An archive of streams that cannot be read is logged and ignored") {
  auto world = MakeStoreFixture("fake");
  const std::string garbage = GENERATE(
      "", "{", "[]", "{\"streams\":7}", "{\"streams\":[7]}",
      "{\"streams\":[{\"service\":\"llm\",\"software\":\"v1\",\"ids\":\"?\"}]}",
      "{\"streams\":[{\"service\":\"llm\",\"software\":\"v1\","
      "\"ids\":\"AAAA\"}]}",
      "{\"streams\":[{\"service\":\"llm\",\"software\":\"\",\"ids\":\"\"}]}");
  CAPTURE(garbage);
  world->Poke("streams/front-1", garbage, 0);
  world->Poke("streams/front-2",
              EncodeStreamArchive({{kOld, {HashStreamId("s")}}}), 0);
  Entry a(world.get(), "front-1");
  CHECK(FindAt(world.get(), &a, "s") == kOld);
  CHECK(a.Logged(kStreamArchiveUnreadable) == 1);
  a->OnStreamPlaced("new", kNew);
  CHECK(world->RunUntil([&] {
    a->Tick();
    const auto own = world->Peek("streams/front-1");
    return own && own->value != garbage;
  }));
  CHECK(IsArchived(world.get(), "front-1", "new"));
}

TEST_CASE("Archives of streams are read as they were written") {
  const StreamArchiveReport report = {
      {kOld, {0, 1, 0x0123456789abcdef, ~StreamIdHash{0}}}, {kNew, {2}}};
  const auto decoded =
      DecodeStreamArchive("front-1", EncodeStreamArchive(report));
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded) == report);

  SECTION("whatever else is in them is an error that names them") {
    const auto error = DecodeStreamArchive("front-1", "{}");
    REQUIRE_FALSE(IsOk(error));
    CHECK(ErrorOf(error).peer == "front-1");
    Fuzz({EncodeStreamArchive(report)}, [](const std::string& text) {
      (void)DecodeStreamArchive("front-1", text);
    });
  }
  SECTION("the largest is below 64 KiB") {
    const StreamOriginArchive::Options options;
    StreamArchiveReport largest;
    for (std::size_t n = 0; n < options.max_origins; ++n) {
      const std::string name(options.max_name_bytes, 'x');
      largest.push_back({{name, name},
                         std::vector<StreamIdHash>(
                             options.max_streams / options.max_origins, n)});
    }
    CHECK(EncodeStreamArchive(largest).size() < 64U << 10);
  }
}

// Guards against an archive of another writer that overflows the stack or makes
// the log as long as it likes.
TEST_CASE("Hostile archives of streams are values or bounded errors") {
  const StreamArchiveReport report = {{kOld, {0, 1}}, {kNew, {2}}};
  const auto document = nlohmann::json::parse(EncodeStreamArchive(report));
  CheckHostileDocuments(document, [](const std::string& text) {
    return DecodeStreamArchive("front-1", text);
  });
  nlohmann::json long_name = document;
  long_name["streams"][0]["service"] = "secret" + std::string(100'000, 'x');
  long_name["streams"][0]["ids"] = "?";
  const auto read = DecodeStreamArchive("front-1", long_name.dump());
  REQUIRE_FALSE(IsOk(read));
  CheckError(ErrorOf(read));
}

}  // namespace
}  // namespace indigolead
