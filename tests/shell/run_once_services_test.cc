#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "entry/claim_service.h"
#include "entry/slot_map_manager.h"
#include "observe/metrics.h"
#include "runtime/clock.h"
#include "side/claim_home_service.h"
#include "tests/support/fake_object_store.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDeployment[] = "tarifa-llm";

/// Two entries and two sides with their real services, a fake platform, and a
/// message queue in place of the links. Time is simulated.
class FakeCluster {
 public:
  struct Side {
    std::unique_ptr<testing::FakeObjectStore> store;
    std::unique_ptr<MetricsRegistry> metrics;
    std::unique_ptr<ClaimHomeService> home;
  };
  struct Entry {
    Incarnation incarnation;
    std::unique_ptr<testing::FakeObjectStore> store;
    std::unique_ptr<MetricsRegistry> metrics;
    std::unique_ptr<ClaimService> claims;
    std::unique_ptr<SlotMapManager> keeper;
  };

  FakeCluster() : platform_(&io_) {
    for (std::size_t it = 0; it < 2; ++it) {
      StartEntry(it);
    }
    for (std::size_t it = 0; it < 2; ++it) {
      StartSide(it);
    }
    entries[0].keeper->SetLease(7);
  }

  void StartEntry(std::size_t n) {
    Entry& entry = entries[n];
    entry.incarnation = Incarnation{NextId()};
    entry.store = std::make_unique<testing::FakeObjectStore>(&io_, &platform_);
    entry.metrics = std::make_unique<MetricsRegistry>();
    SlotMapManager::Hooks keeper_hooks;
    keeper_hooks.on_map = [this, n](const std::string& deployment,
                                    const SlotMap& map) {
      entries[n].claims->OnSlotMap(deployment, map);
    };
    keeper_hooks.jitter = [] { return 0.5; };
    entry.keeper = std::make_unique<SlotMapManager>(
        entry.store.get(), SlotMapManager::Options{}, keeper_hooks, Now(),
        [this](Duration delay, std::function<void()> run) {
          timers_.emplace(now_ + delay, std::move(run));
        },
        MakeNullEventLog());
    ClaimService::Hooks hooks;
    hooks.send = [this, n](LinkId link, const wire::Envelope& message) {
      ToSide(n, link.value, message);
      return true;
    };
    hooks.granted = [this](const RequestId& id, TimePoint) {
      verdicts[id] = "granted";
    };
    hooks.answered = [this](const RequestId& id, WholeAnswer answer,
                            TimePoint) {
      verdicts[id] = "answered " + answer.body;
    };
    hooks.refused = [this](const RequestId& id, Refusal refusal, TimePoint) {
      verdicts[id] =
          std::string(RunStateName(refusal.run)) + " " + refusal.code;
    };
    hooks.on_home = [this, n](const std::string& deployment,
                              const HomeState& state) {
      entries[n].keeper->OnHome(deployment, state);
    };
    hooks.on_home_down = [this, n](const std::string& instance) {
      entries[n].keeper->OnHomeDown(instance);
    };
    entry.claims = std::make_unique<ClaimService>(ClaimService::Options{},
                                                  entry.incarnation, hooks,
                                                  Now(), entry.metrics.get());
    entry.keeper->Start();
  }

  void StartSide(std::size_t n) {
    Side& side = sides[n];
    side.store = std::make_unique<testing::FakeObjectStore>(&io_, &platform_);
    side.metrics = std::make_unique<MetricsRegistry>();
    ClaimHomeService::Options options;
    options.instance = NameOf(n);
    options.deployment = kDeployment;
    side.home = std::make_unique<ClaimHomeService>(
        options, side.store.get(),
        [this, n](LinkId link, const wire::Envelope& message) {
          ToEntry(n, link.value, message);
          return true;
        },
        Now(), [this] { return NextId(); }, MakeNullEventLog(),
        side.metrics.get());
    for (std::size_t it = 0; it < 2; ++it) {
      if (entries[it].claims) {
        Connect(it, n);
      }
    }
  }

  void KillSide(std::size_t n) {
    sides[n].home.reset();
    sides[n].store.reset();
    for (Entry& it : entries) {
      if (it.claims) {
        it.claims->OnLinkDown(LinkId{n});
      }
    }
  }

  void KillEntry(std::size_t n) {
    entries[n].keeper.reset();
    entries[n].claims.reset();
    entries[n].store.reset();
    for (Side& it : sides) {
      if (it.home) {
        it.home->OnLinkDown(LinkId{n});
      }
    }
  }

  /// Advances the simulated time by `time`.
  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(10);
      while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto run = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        run();
      }
      for (Entry& it : entries) {
        if (it.claims) {
          it.claims->Tick(now_);
          it.keeper->Tick();
        }
      }
      for (Side& it : sides) {
        if (it.home) {
          it.home->Tick(now_);
        }
      }
      for (int round = 0; round < 4; ++round) {
        io_.restart();
        io_.poll();
        Deliver();
      }
    }
  }

  /// Claims `key` through an entry and returns the verdict.
  std::string SendKeyedRequest(std::size_t entry, const std::string& key,
                               const std::string& body = "price list") {
    CallerRequest request;
    request.id = RequestId{NextId()};
    request.client_account = "oviedo";
    request.deployment = kDeployment;
    request.repeatability = Repeatability::kKeyed;
    request.idempotency_key = key;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body;
    request.deadline = now_ + seconds(20);
    entries[entry].claims->Claim(request, now_);
    for (int it = 0; it < 2500 && verdicts.count(request.id) == 0; ++it) {
      Run(milliseconds(10));
    }
    last = request;
    return verdicts[request.id];
  }

  void Finish(std::size_t entry, const std::string& body) {
    WholeAnswer answer;
    answer.status = 200;
    answer.body = body;
    entries[entry].claims->Settle(last, ClaimSettlement::kFinished, &answer,
                                  now_);
    Run(milliseconds(300));
  }

  std::size_t ReadySlots() const {
    std::size_t n = 0;
    for (const Side& it : sides) {
      n += it.home ? it.home->home().ready_slots() : 0;
    }
    return n;
  }

  testing::FakePlatform& store() { return platform_; }

 private:
  // Declared before the services, which use them during destruction.
  boost::asio::io_context io_{1};
  testing::FakePlatform platform_;

 public:
  Entry entries[2];
  Side sides[2];
  std::map<RequestId, std::string> verdicts;
  CallerRequest last;

 private:
  struct QueuedMessage {
    bool to_side;
    std::size_t entry;
    std::size_t side;
    wire::Envelope message;
  };

  Clock Now() {
    return [this] { return now_; };
  }
  Id128 NextId() { return {random_(), random_()}; }
  static std::string NameOf(std::size_t n) {
    return "side-" + std::to_string(n);
  }

  void Connect(std::size_t entry, std::size_t side) {
    wire::Hello hello;
    hello.set_kind(wire::PROCESS_SIDE);
    hello.set_instance(NameOf(side));
    hello.mutable_target()->set_deployment(kDeployment);
    entries[entry].claims->OnLinkUp(LinkId{side}, hello);
    hello.set_kind(wire::PROCESS_ENTRY);
    hello.set_incarnation(ToBytes(entries[entry].incarnation.value));
    sides[side].home->OnLinkUp(LinkId{entry}, hello);
  }

  void ToSide(std::size_t entry, std::size_t side,
              const wire::Envelope& message) {
    queue_.push_back({true, entry, side, message});
  }
  void ToEntry(std::size_t side, std::size_t entry,
               const wire::Envelope& message) {
    queue_.push_back({false, entry, side, message});
  }
  void Deliver() {
    for (std::deque<QueuedMessage> messages = std::exchange(queue_, {});
         !messages.empty(); messages.pop_front()) {
      const QueuedMessage& it = messages.front();
      if (it.to_side && sides[it.side].home) {
        sides[it.side].home->HandleMessage(LinkId{it.entry}, it.message);
      } else if (!it.to_side && entries[it.entry].claims) {
        entries[it.entry].claims->HandleMessage(LinkId{it.side}, it.message);
      }
    }
  }

  std::mt19937_64 random_{11};
  TimePoint now_{seconds(100)};
  std::multimap<TimePoint, std::function<void()>> timers_;
  std::deque<QueuedMessage> queue_;
};

// A key is granted once, and a retry through any entry gets the first answer or
// a refusal, even if processes or the store failed in between.
TEST_CASE("A key runs once despite process failures and store outages") {
  FakeCluster cluster;
  cluster.Run(seconds(6));
  REQUIRE(cluster.ReadySlots() == 256);
  REQUIRE(cluster.SendKeyedRequest(0, "monday") == "granted");

  SECTION("a retry through the other entry waits and gets the answer") {
    cluster.Finish(0, "list 1");
    CHECK(cluster.SendKeyedRequest(1, "monday") == "answered list 1");
    CHECK(cluster.SendKeyedRequest(1, "monday", "another body") ==
          "not-run idempotency_key_reused");
  }
  SECTION("a retry while the first request runs is refused at its deadline") {
    CHECK(cluster.SendKeyedRequest(1, "monday") == "unknown still_running");
  }
  SECTION("the entry that ran the request was killed") {
    cluster.KillEntry(0);
    CHECK(cluster.SendKeyedRequest(1, "monday") == "unknown outcome_unknown");
    CHECK(cluster.SendKeyedRequest(1, "tuesday") == "granted");
  }
  SECTION("both sides were restarted") {
    cluster.Finish(0, "list 1");
    for (std::size_t it = 0; it < 2; ++it) {
      cluster.KillSide(it);
      cluster.StartSide(it);
    }
    cluster.Run(seconds(6));
    CHECK(cluster.SendKeyedRequest(1, "monday") == "answered list 1");
    CHECK(cluster.SendKeyedRequest(1, "tuesday") == "granted");
  }
  SECTION("a side was killed and not restarted") {
    cluster.Finish(0, "list 1");
    cluster.KillSide(0);
    cluster.Run(seconds(12));
    REQUIRE(cluster.ReadySlots() == 256);
    CHECK(cluster.SendKeyedRequest(1, "monday") == "answered list 1");
    CHECK(cluster.SendKeyedRequest(1, "tuesday") == "granted");
  }
  SECTION("the store is down") {
    cluster.Finish(0, "list 1");
    cluster.store().SetDown(true);
    cluster.Run(seconds(2));
    CHECK(cluster.SendKeyedRequest(1, "monday") == "answered list 1");
    CHECK(cluster.SendKeyedRequest(0, "tuesday") == "granted");
    CHECK(cluster.SendKeyedRequest(1, "tuesday") == "unknown still_running");
    cluster.store().SetDown(false);
    cluster.Run(seconds(15));
    for (std::size_t it = 0; it < 2; ++it) {
      CHECK_FALSE(cluster.sides[it].home->home().degraded());
    }
  }
  SECTION("a leaving side hands its slots over") {
    cluster.Finish(0, "list 1");
    cluster.sides[0].home->SetLeaving(true);
    cluster.Run(seconds(6));
    CHECK(cluster.sides[0].home->home().ready_slots() == 0);
    CHECK(cluster.ReadySlots() == 256);
    CHECK(cluster.SendKeyedRequest(1, "monday") == "answered list 1");
  }
}

TEST_CASE("Without any home the outcome of a key is unknown") {
  FakeCluster cluster;
  cluster.KillSide(0);
  cluster.KillSide(1);
  CHECK(cluster.SendKeyedRequest(0, "monday") == "unknown claims_unavailable");
}

}  // namespace
}  // namespace indigolead
