#include "entry/target_follower.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Store whose answers the test gives. Its watches are relayed: they prove
/// nothing about the store itself.
class AnsweredStore : public ObjectStore {
 public:
  void Get(const std::string&, const CallOptions&,
           Callback<std::optional<StoredObject>>) override {}
  void List(const std::string&, const CallOptions&,
            Callback<Listing> done) override {
    listed = std::move(done);
  }
  void ListInParts(const std::string& prefix, const CallOptions& options,
                   OnPart on_part, Callback<Listing> done) override {
    part = std::move(on_part);
    List(prefix, options, std::move(done));
  }
  void ReadChanges(const std::string&, std::uint64_t, const CallOptions&,
                   Callback<WatchBatch> done) override {
    reads.push_back(std::move(done));
  }
  void Put(const std::string&, const std::string&, ExpectedVersion,
           const CallOptions&, Callback<std::uint64_t>) override {}
  void Delete(const std::string&, ExpectedVersion, const CallOptions&,
              Callback<Unit>) override {}
  std::unique_ptr<Watch> StartWatch(
      const std::string&, std::uint64_t, OnWatchEvents on_events,
      std::function<void(const Error&)>) override {
    events = std::move(on_events);
    return std::make_unique<Watch>();
  }
  void ListInstances(const CallOptions&, Callback<InstanceList>) override {}

  Callback<Listing> listed;
  OnPart part;
  OnWatchEvents events;
  std::vector<Callback<WatchBatch>> reads;
};

/// Follower whose first list, of the target "a", was read at `kStart`.
class Scene {
 public:
  Scene() { follower.Start(); }

  void AnswerList() {
    store.listed(ObjectStore::Listing{1, {{"targets/a", "v1", 1}}});
  }
  void Ask(TimePoint needed_at) {
    follower.Confirm(needed_at,
                     [this](bool confirmed) { answers.push_back(confirmed); });
  }
  /// Lets time pass, in ticks.
  void Pass(Duration length) {
    for (const TimePoint end = now + length; now < end;) {
      now += milliseconds(25);
      follower.Tick();
    }
  }

  AnsweredStore store;
  TimePoint now{seconds(1000)};
  std::vector<bool> answers;
  int reads = 0;
  std::vector<std::string> reported;  ///< What the hooks were told.
  TargetFollower follower{&store,
                          Options(),
                          Hooks(),
                          [this] { return now; },
                          [](Duration, std::function<void()>) {},
                          MakeNullEventLog()};

 private:
  static ListWatcher::Options Options() {
    ListWatcher::Options options;
    options.prefix = "targets/";
    return options;
  }
  static std::string KeysOf(const ListWatcher::State& state) {
    std::string keys;
    for (const auto& [key, object] : state) {
      keys += " " + key;
    }
    return keys;
  }

  TargetFollower::Hooks Hooks() {
    TargetFollower::Hooks hooks;
    hooks.on_listed = [this](const ListWatcher::State& state) {
      reported.push_back("list" + KeysOf(state));
    };
    hooks.on_part = [this](const ListWatcher::State& state) {
      reported.push_back("part" + KeysOf(state));
    };
    hooks.on_passed = [this](const StoredObject& object) {
      reported.push_back("passed " + object.key + " " + object.value);
    };
    hooks.on_lost = [](TimePoint) {};
    hooks.on_followed = [] {};
    hooks.on_known_until = [](TimePoint) {};
    hooks.list_needed_at = [] { return std::optional<TimePoint>(); };
    hooks.jitter = [] { return 0.5; };
    return hooks;
  }
};

/// Guards against a list that is taken as current since it is followed, however
/// old the last answer of the store itself is.
TEST_CASE("TargetFollower confirms its list by a read of the store") {
  Scene scene;
  scene.AnswerList();
  scene.now += seconds(2);
  const TimePoint needed_at = scene.now;

  SECTION("not for a time before the last one") {
    scene.Ask(needed_at - seconds(2));
    CHECK(scene.answers == std::vector<bool>{true});
    CHECK(scene.store.reads.empty());
  }
  SECTION("that was asked for when the question came or later") {
    scene.Ask(needed_at);
    REQUIRE(scene.store.reads.size() == 1);
    CHECK(scene.answers.empty());
    scene.store.reads[0](WatchBatch{{{"targets/b", "v2", 2}}, 2});
    CHECK(scene.reported.back() == "list targets/a targets/b");
    scene.Pass(milliseconds(25));
    CHECK(scene.answers == std::vector<bool>{true});
  }
  SECTION("not by one that was asked for earlier") {
    scene.Ask(needed_at);
    scene.now += milliseconds(50);
    scene.Ask(scene.now);
    scene.store.reads[0](WatchBatch{{}, 1});
    scene.Pass(milliseconds(25));
    CHECK(scene.answers == std::vector<bool>{true});
    scene.Pass(milliseconds(100));
    REQUIRE(scene.store.reads.size() == 2);
    scene.store.reads[1](WatchBatch{{}, 1});
    scene.Pass(milliseconds(25));
    CHECK(scene.answers == std::vector<bool>{true, true});
  }
  SECTION("and does not without an answer") {
    scene.Ask(needed_at);
    scene.Pass(TargetFollower::kConfirmWithin - milliseconds(25));
    CHECK(scene.answers.empty());
    scene.Pass(milliseconds(25));
    CHECK(scene.answers == std::vector<bool>{false});
    CHECK(scene.store.reads.size() == 1);
  }
  SECTION("nor after an error") {
    scene.Ask(needed_at);
    scene.store.reads[0](
        Error{ErrorCode::kTimeout, "store.changes", "", "no answer"});
    scene.Pass(milliseconds(150));
    CHECK(scene.answers.empty());
    REQUIRE(scene.store.reads.size() == 2);
    scene.store.reads[1](WatchBatch{{}, 1});
    scene.Pass(milliseconds(25));
    CHECK(scene.answers == std::vector<bool>{true});
  }
}

/// Guards against reads of the store that grow with the questions or with the
/// entries.
TEST_CASE("TargetFollower bounds the reads that confirm its list") {
  constexpr int kQuestions = 200;
  Scene scene;
  scene.AnswerList();
  const auto ask_for_two_seconds = [&] {
    for (int n = 0; n < kQuestions; ++n) {
      scene.now += milliseconds(10);
      scene.Ask(scene.now);
      scene.follower.Tick();
      for (const auto& it : std::exchange(scene.store.reads, {})) {
        ++scene.reads;
        it(WatchBatch{{}, 1});
      }
    }
  };
  SECTION("in a small fleet") {
    ask_for_two_seconds();
    CHECK(scene.reads <= 21);
    scene.Pass(milliseconds(200));
    CHECK(scene.answers.size() >= kQuestions - 12);
  }
  SECTION("in a large one") {
    scene.follower.SetEntries(400);
    ask_for_two_seconds();
    CHECK(scene.reads <= 6);
    // Guards against a large fleet that refuses most streams taken up. The
    // questions since the last read are still open.
    CHECK(scene.answers.size() >= kQuestions - 36);
    CHECK(scene.answers == std::vector<bool>(scene.answers.size(), true));
  }
}

/// Guards against a part of the first list that is taken for the whole.
TEST_CASE("TargetFollower tells parts of the first list from the list") {
  Scene scene;
  scene.store.part(ObjectStore::Listing{1, {{"targets/a", "v1", 1}}});
  CHECK(scene.follower.listed());
  scene.store.listed(ObjectStore::Listing{
      1, {{"targets/a", "v1", 1}, {"targets/b", "v2", 1}}});
  CHECK(scene.reported ==
        std::vector<std::string>{"part targets/a", "list targets/a targets/b"});
}

/// Guards against a target that joins and leaves unseen while the process
/// stands still.
TEST_CASE("TargetFollower reports what one response adds and takes away") {
  Scene scene;
  scene.AnswerList();
  scene.store.events({{"targets/b", "v2", 2},
                      {"targets/b", "v3", 3},
                      {"targets/b", std::nullopt, 4},
                      {"targets/a", "v4", 5}});
  CHECK(scene.reported ==
        std::vector<std::string>{"list targets/a", "passed targets/b v2",
                                 "passed targets/b v3", "list targets/a"});
}

}  // namespace
}  // namespace indigolead
