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

/// Returns a configuration with two client accounts and the given keys.
Json ConfigurationWith(std::uint64_t version,
                       const std::vector<std::string>& salon,
                       const std::vector<std::string>& owner) {
  Json configuration = MakeConfiguration(version);
  configuration["tenants"] = {{{"name", "salon"}, {"api-keys", salon}},
                              {{"name", "owner"}, {"api-keys", owner}}};
  return configuration;
}

/// Sends requests with new ids until an answer has `status`. Returns false if
/// none has within 5 s: the bound on configuration changes plus time for a slow
/// test machine.
bool StatusBecomes(PlatformScene* scene, const std::string& key, int status) {
  int n = 0;
  return WaitUntil(
      [&] {
        const std::string id = "until-" + std::to_string(++n);
        return scene->SendWithKey(key, "GET", "/desk/1", id).status == status;
      },
      std::chrono::seconds(5));
}

TEST_CASE("Callers are authenticated by key and targets are told the account") {
  PlatformScene scene;
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(StatusBecomes(&scene, "unknown-secret", 401));

  SECTION("each call to a target names the account and omits the key") {
    // Keys were passed on to targets until the accounts took effect.
    const int before = scene.ArrivalsWithKey();
    for (const char* path : {"/desk/1", "/menu/1", "/audit/1"}) {
      const std::string id = std::string("r-") + (path + 1);
      CHECK(scene.SendWithKey(kSalonKey, "GET", path, id).status == 200);
      const auto accounts = scene.Accounts(id);
      CHECK_FALSE(accounts.empty());
      for (const std::string& it : accounts) {
        CHECK(it == "salon");
      }
    }
    CHECK(scene.ArrivalsWithKey() == before);
  }
  SECTION("without a valid key nothing reaches a target") {
    CHECK(scene.Send("GET", "/desk/1", "r-none").status == 401);
    CHECK(scene.SendWithKey("unknown-secret", "GET", "/desk/1", "r-unknown")
              .status == 401);
    CHECK(scene.Accounts("r-none").empty());
    CHECK(scene.Accounts("r-unknown").empty());
  }
  SECTION("logs and metrics contain accounts but no keys") {
    scene.SendWithKey(kSalonKey, "GET", "/desk/1", "r-1");
    scene.SendWithKey(kSalonKey, "GET", "/nowhere/1", "r-2");
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

// Guards against a revoked key that stays valid as long as the entry runs. An
// entry that cannot reach the store keeps its configuration, but must apply the
// revocation once it can.
TEST_CASE("A revoked key is refused once the entry can reach the store") {
  PlatformScene scene;
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(StatusBecomes(&scene, "unknown-secret", 401));
  REQUIRE(scene.SendWithKey(kSalonKey, "GET", "/desk/1", "r-1").status == 200);

  SECTION("promptly without faults") {
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    CHECK(StatusBecomes(&scene, kSalonKey, 401));
    CHECK(scene.SendWithKey(kOwnerKey, "GET", "/desk/1", "r-2").status == 200);

    SECTION("and accepted again once it is restored") {
      scene.store.Put("config", "main",
                      ConfigurationWith(9, {kSalonKey}, {kOwnerKey}));
      CHECK(StatusBecomes(&scene, kSalonKey, 200));
    }
  }
  SECTION("after a partition between entry and store") {
    scene.store_relay.SetPartitioned(true);
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    CHECK(scene.SendWithKey(kSalonKey, "GET", "/desk/1", "r-2").status == 200);
    CHECK(scene.SendWithKey("unknown-secret", "GET", "/desk/1", "r-3").status ==
          401);
    scene.store_relay.SetPartitioned(false);
    CHECK(StatusBecomes(&scene, kSalonKey, 401));
  }
  SECTION("after the entry process was suspended") {
    scene.entry->Pause();
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    std::this_thread::sleep_for(milliseconds(1500));
    scene.entry->Resume();
    CHECK(StatusBecomes(&scene, kSalonKey, 401));
  }
  SECTION("and stays refused when the store serves stale reads") {
    scene.store.Put("config", "main", ConfigurationWith(6, {}, {kOwnerKey}));
    REQUIRE(StatusBecomes(&scene, kSalonKey, 401));
    standins::PlatformFaults faults;
    faults.stale_reads = true;
    scene.store.SetFaults(faults);
    scene.store.DropWatches();
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(scene.SendWithKey(kSalonKey, "GET", "/desk/1", "r-9").status == 401);
  }
  SECTION("and a key moved to another account counts for that account") {
    scene.store.Put("config", "main",
                    ConfigurationWith(6, {}, {kOwnerKey, kSalonKey}));
    CHECK(WaitUntil([&, n = 0]() mutable {
      const std::string id = "moved-" + std::to_string(++n);
      scene.SendWithKey(kSalonKey, "GET", "/desk/1", id);
      return scene.Accounts(id) == std::vector<std::string>{"owner"};
    }));
  }
  SECTION("and an invalid configuration changes nothing") {
    scene.store.Put("config", "main",
                    ConfigurationWith(6, {kOwnerKey}, {kOwnerKey}));
    REQUIRE(WaitUntil([&] {
      return scene.entry->output().find("share a key") != std::string::npos;
    }));
    CHECK(scene.SendWithKey(kSalonKey, "GET", "/desk/1", "r-2").status == 200);
  }
}

/// Sends `n` requests with each of the two keys, all with distinct ids.
void SendWithBothKeys(PlatformScene* scene, const std::string& ids, int n) {
  for (int it = 0; it < n; ++it) {
    const std::string id = ids + std::to_string(it);
    REQUIRE(scene->SendWithKey(kSalonKey, "GET", "/desk/1", id + "s").status ==
            200);
    REQUIRE(scene->SendWithKey(kOwnerKey, "GET", "/audit/1", id + "o").status ==
            200);
  }
}

bool UsageBecomes(PlatformScene* scene, std::uint64_t salon,
                  std::uint64_t owner) {
  return WaitUntil([&] {
    return scene->usage.Requests("salon") == salon &&
           scene->usage.Requests("owner") == owner;
  });
}

// The receiver cannot be asked what it has recorded. An entry that lost the
// answer must therefore repeat the identical report, and the next process must
// do so for an entry that was killed.
TEST_CASE("Usage is counted exactly once despite faults of the receiver") {
  PlatformScene scene(PlatformScene::Options{.reports_usage = true});
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(StatusBecomes(&scene, "unknown-secret", 401));

  const Behaviour behaviour =
      GENERATE(Behaviour::kHealthy, Behaviour::kBusy, Behaviour::kSilent,
               Behaviour::kResets, Behaviour::kSlow);
  scene.usage.SetBehaviour(behaviour);
  SendWithBothKeys(&scene, "a", 5);
  std::this_thread::sleep_for(milliseconds(2500));
  scene.usage.SetBehaviour(Behaviour::kHealthy);
  CHECK(UsageBecomes(&scene, 5, 5));
  CHECK(scene.usage.errors() == std::vector<std::string>{});
}

TEST_CASE("Usage counts survive a restart of the entry") {
  PlatformScene scene(PlatformScene::Options{.reports_usage = true});
  scene.store.Put("config", "main",
                  ConfigurationWith(5, {kSalonKey}, {kOwnerKey}));
  REQUIRE(StatusBecomes(&scene, "unknown-secret", 401));
  SendWithBothKeys(&scene, "a", 5);

  SECTION("a graceful stop loses nothing") {
    scene.entry->Terminate();
    REQUIRE(scene.entry->WaitForExit(std::chrono::seconds(10)) == 0);
  }
  SECTION("a kill loses nothing that was stored") {
    // One and a half windows, by when the counts are in the store.
    std::this_thread::sleep_for(milliseconds(1700));
    scene.entry->Kill();
  }
  scene.StartEntry();
  REQUIRE(WaitUntil([&] { return scene.Ready(); }));
  CHECK(UsageBecomes(&scene, 5, 5));
  CHECK(scene.usage.errors() == std::vector<std::string>{});
}

}  // namespace
}  // namespace indigolead::testing
