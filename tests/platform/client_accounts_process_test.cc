#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"

namespace indigolead::testing {
namespace {

using Behaviour = UsageReceiver::Behaviour;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kSalonKey[] = "salon-secret-1";
constexpr char kOwnerKey[] = "owner-secret-1";

/// A configuration with two client accounts and the keys named.
Json ConfigurationWith(std::uint64_t version,
                       const std::vector<std::string>& salon,
                       const std::vector<std::string>& owner) {
  Json configuration = MakeConfiguration(version);
  configuration["tenants"] = {{{"name", "salon"}, {"api-keys", salon}},
                              {{"name", "owner"}, {"api-keys", owner}}};
  return configuration;
}

/// Asks with new ids until the answer has `status`. Returns false if none has
/// within the bound for configurations and some time for the test's machine.
bool BecomesWith(PlatformScene* scene, const std::string& key, int status) {
  int n = 0;
  return WaitUntil(
      [&] {
        const std::string id = "until-" + std::to_string(++n);
        return scene->AskWithKey(key, "GET", "/desk/1", id).status == status;
      },
      std::chrono::seconds(5));
}

TEST_CASE("Callers are let in by their keys, and targets told of whom") {
  PlatformScene scene;
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(BecomesWith(&scene, "unknown-secret", 401));

  SECTION("each call to a target names the account, none has the key") {
    // Before the accounts were in force keys were the targets' affair.
    const int before = scene.KeysSeen();
    for (const char* path : {"/desk/1", "/menu/1", "/audit/1"}) {
      const std::string id = std::string("r-") + (path + 1);
      CHECK(scene.AskWithKey(kSalonKey, "GET", path, id).status == 200);
      const auto accounts = scene.Accounts(id);
      CHECK_FALSE(accounts.empty());
      for (const std::string& it : accounts) {
        CHECK(it == "salon");
      }
    }
    CHECK(scene.KeysSeen() == before);
  }
  SECTION("without a key nothing reaches a target") {
    CHECK(scene.Ask("GET", "/desk/1", "r-none").status == 401);
    CHECK(scene.AskWithKey("unknown-secret", "GET", "/desk/1", "r-unknown")
              .status == 401);
    CHECK(scene.Accounts("r-none").empty());
    CHECK(scene.Accounts("r-unknown").empty());
  }
  SECTION("no log line and no metric has a key, and accounts are counted") {
    scene.AskWithKey(kSalonKey, "GET", "/desk/1", "r-1");
    scene.AskWithKey(kSalonKey, "GET", "/nowhere/1", "r-2");
    const std::string metrics =
        HttpCall(scene.metrics_address, "GET", "/metrics").body;
    CHECK(
        metrics.find(
            "indigolead_account_requests_answered_total{account=\"salon\"}") !=
        std::string::npos);
    CHECK(metrics.find("secret") == std::string::npos);
    CHECK(WaitUntil([&] {
      return scene.entry->output().find("account=salon") != std::string::npos;
    }));
    CHECK(scene.entry->output().find("secret") == std::string::npos);
  }
}

// An operator takes a key away. An entry that cannot hear of it goes on with
// what it knows, and must not once it can: callers who were to be shut out
// would be served as long as the entry lives.
TEST_CASE("A key that was taken away is refused once the entry can know") {
  PlatformScene scene;
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(BecomesWith(&scene, "unknown-secret", 401));
  REQUIRE(scene.AskWithKey(kSalonKey, "GET", "/desk/1", "r-1").status == 200);

  SECTION("at once if nothing is in the way") {
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    CHECK(BecomesWith(&scene, kSalonKey, 401));
    CHECK(scene.AskWithKey(kOwnerKey, "GET", "/desk/1", "r-2").status == 200);

    SECTION("and let in again once it was given back") {
      scene.store.Put("config", "main",
                      ConfigurationWith(9, {kSalonKey}, {kOwnerKey}));
      CHECK(BecomesWith(&scene, kSalonKey, 200));
    }
  }
  SECTION("after the entry was cut off from the store") {
    scene.store_path.SetPartitioned(true);
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    CHECK(scene.AskWithKey(kSalonKey, "GET", "/desk/1", "r-2").status == 200);
    CHECK(scene.AskWithKey("unknown-secret", "GET", "/desk/1", "r-3").status ==
          401);
    scene.store_path.SetPartitioned(false);
    CHECK(BecomesWith(&scene, kSalonKey, 401));
  }
  SECTION("after the entry was frozen") {
    scene.entry->Pause();
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    std::this_thread::sleep_for(milliseconds(1500));
    scene.entry->Resume();
    CHECK(BecomesWith(&scene, kSalonKey, 401));
  }
  SECTION("and does not come back with an older state of the store") {
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    REQUIRE(BecomesWith(&scene, kSalonKey, 401));
    standins::PlatformFaults faults;
    faults.stale_reads = true;
    scene.store.SetFaults(faults);
    scene.store.DropWatches();
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(scene.AskWithKey(kSalonKey, "GET", "/desk/1", "r-9").status == 401);
  }
  SECTION("when it goes to another account") {
    scene.store.Put("config", "main",
                    ConfigurationWith(6, {}, {kOwnerKey, kSalonKey}));
    CHECK(WaitUntil([&, n = 0]() mutable {
      const std::string id = "moved-" + std::to_string(++n);
      scene.AskWithKey(kSalonKey, "GET", "/desk/1", id);
      return scene.Accounts(id) == std::vector<std::string>{"owner"};
    }));
  }
  SECTION("while a document that cannot be used leaves all as it is") {
    scene.store.Put("config", "main",
                    ConfigurationWith(6, {kOwnerKey}, {kOwnerKey}));
    REQUIRE(WaitUntil([&] {
      return scene.entry->output().find("share a key") != std::string::npos;
    }));
    CHECK(scene.AskWithKey(kSalonKey, "GET", "/desk/1", "r-2").status == 200);
  }
}

/// Asks `n` times with each of both keys; an id is not used twice.
void AskOften(PlatformScene* scene, const std::string& ids, int n) {
  for (int it = 0; it < n; ++it) {
    const std::string id = ids + std::to_string(it);
    REQUIRE(scene->AskWithKey(kSalonKey, "GET", "/desk/1", id + "s").status ==
            200);
    REQUIRE(scene->AskWithKey(kOwnerKey, "GET", "/audit/1", id + "o").status ==
            200);
  }
}

bool Reports(PlatformScene* scene, std::uint64_t salon, std::uint64_t owner) {
  return WaitUntil([&] {
    return scene->usage.Requests("salon") == salon &&
           scene->usage.Requests("owner") == owner;
  });
}

// The receiver cannot be asked what it took, so an entry whose answer was lost
// must repeat the same words; a killed one leaves that to the next process.
TEST_CASE(
    "Usage is reported once and exactly, through faults of its receiver") {
  PlatformScene scene(PlatformScene::Options{.reports_usage = true});
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(BecomesWith(&scene, "unknown-secret", 401));

  const Behaviour behaviour =
      GENERATE(Behaviour::kSound, Behaviour::kBusy, Behaviour::kSilent,
               Behaviour::kResets, Behaviour::kSlow);
  scene.usage.SetBehaviour(behaviour);
  AskOften(&scene, "a", 5);
  std::this_thread::sleep_for(milliseconds(2500));
  scene.usage.SetBehaviour(Behaviour::kSound);
  CHECK(Reports(&scene, 5, 5));
  CHECK(scene.usage.broken() == std::vector<std::string>{});
}

TEST_CASE("Usage survives the process that counted it") {
  PlatformScene scene(PlatformScene::Options{.reports_usage = true});
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(BecomesWith(&scene, "unknown-secret", 401));
  AskOften(&scene, "a", 5);

  SECTION("a planned stop loses nothing") {
    scene.entry->Terminate();
    REQUIRE(scene.entry->WaitForExit(std::chrono::seconds(10)) == 0);
  }
  SECTION("a kill loses nothing that was written") {
    // A window and a half: the counts stand in the store by then.
    std::this_thread::sleep_for(milliseconds(1700));
    scene.entry->Kill();
  }
  scene.StartEntry();
  REQUIRE(WaitUntil([&] { return scene.Ready(); }));
  CHECK(Reports(&scene, 5, 5));
  CHECK(scene.usage.broken() == std::vector<std::string>{});
}

}  // namespace
}  // namespace indigolead::testing
