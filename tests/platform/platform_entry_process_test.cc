#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <thread>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns true if a connection to "127.0.0.1:PORT" is accepted.
bool Connects(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
  const bool taken =
      connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
  close(fd);
  return taken;
}

TEST_CASE("An entry serves the platform's callers from end to end") {
  PlatformScene scene;

  SECTION("a plain service's answer is forwarded unchanged") {
    const HttpAnswer answer = scene.Send("GET", "/desk/1", "r-1");
    CHECK(answer.status == 200);
    CHECK(answer.body.substr(0, 7) == "menu of");
    CHECK(answer.Header("X-Request-Id") == "r-1");
    CHECK(answer.Header("X-Response-Signature").substr(0, 4) == "sig-");
    CHECK(scene.Runs("r-1") == 1);
  }
  SECTION("metrics count the request and its duration") {
    scene.Send("GET", "/desk/1", "r-1");
    const std::string text =
        HttpCall(scene.metrics_address, "GET", "/metrics").body;
    CHECK(text.find("indigolead_requests_answered_total 1\n") !=
          std::string::npos);
    CHECK(text.find("indigolead_answer_seconds_bucket{le=\"+Inf\"} 1\n") !=
          std::string::npos);
  }
  SECTION("engines get roles and prefill runs on a separate engine") {
    // Six engines of eight slots each: half of them do prefill.
    REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") == 3; }));
    scene.RegisterStages();
    REQUIRE(WaitUntil([&] {
      return scene.Send("POST", "/audit/1", "warm").status == 200 &&
             scene.Prefills() > 0;
    }));
    // The entry learns all roles within the gap between two watch calls.
    std::this_thread::sleep_for(seconds(1));
    const int before = scene.Prefills();
    const HttpAnswer answer = scene.Send("POST", "/audit/1", "r-2");
    CHECK(answer.status == 200);
    CHECK(answer.body.find("token4") != std::string::npos);
    CHECK(scene.Prefills() == before + 1);
    CHECK(scene.Runs("r-2") == 1);
  }
  SECTION("an unknown path gets 404 until its route is added") {
    CHECK(scene.Send("GET", "/print/1", "r-3").status == 404);
    auto next = MakeConfiguration(9);
    next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
    scene.store.Put("config", "main", next);
    CHECK(WaitUntil(
        [&] { return scene.Send("GET", "/print/1", "r-4").status == 200; },
        seconds(2)));
    SECTION("and an older configuration is ignored") {
      scene.store.Put("config", "main", MakeConfiguration(5));
      std::this_thread::sleep_for(milliseconds(300));
      CHECK(scene.Send("GET", "/print/1", "r-5").status == 200);
    }
  }
}

// All targets reset each connection after the run has begun. A request that may
// run only once must not be sent again, and its caller must not be told that it
// has not run.
TEST_CASE(
    "A request that may have run is not repeated or reported as not run") {
  PlatformScene scene;
  scene.EarnRetryBudget();
  for (ModelWorker& it : scene.workers) {
    it.SetBehaviour(ModelWorker::Behaviour::kResets);
  }
  CHECK(scene.Send("POST", "/menu/1", "r-1").status == 502);
  CHECK(scene.Runs("r-1") == 1);
  CHECK(scene.Send("GET", "/desk/1", "r-2").status == 502);
  CHECK(scene.Runs("r-2") == 2);
}

// The store becomes unavailable in several ways. Callers are not affected, and
// a change made meanwhile takes effect soon after the store recovers.
TEST_CASE("Requests are served while the store is unavailable") {
  standins::PlatformFaults refusing;
  refusing.refuse = true;
  standins::PlatformFaults resetting;
  resetting.reset = true;
  standins::PlatformFaults silent;
  silent.stall = true;
  const auto faults = GENERATE_COPY(refusing, resetting, silent);
  PlatformScene scene;
  scene.store.SetFaults(faults);
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(scene.Send("GET", "/desk/1", "r-1").status == 200);
  CHECK(scene.Ready());
  scene.store.Put("config", "main", MakeConfiguration(12));
  scene.store.Compact();
  scene.store.SetFaults({});
  auto next = MakeConfiguration(20);
  next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
  scene.store.Put("config", "main", next);
  CHECK(WaitUntil(
      [&] { return scene.Send("GET", "/print/1", "r-2").status == 200; },
      seconds(6)));
}

// On a graceful stop the entry reports at once that it is not ready, completes
// the requests in flight, serves new callers until the load balancer has
// noticed, and exits before it would be killed.
TEST_CASE("A graceful stop cuts off no request") {
  PlatformScene scene;
  REQUIRE(WaitUntil(
      [&] { return !scene.store.Get("entries", "front-1").is_null(); }));
  RawClient stream(scene.callers_address);
  stream.Write(
      "POST /audit/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r-1\r\n"
      "X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
  stream.ReadUntil("token1");
  scene.entry->Terminate();
  REQUIRE(WaitUntil([&] { return !scene.Ready(); }, seconds(1)));
  // The entry no longer counts among those that share the retry budget.
  CHECK(
      WaitUntil([&] { return scene.store.Get("entries", "front-1").is_null(); },
                seconds(2)));
  CHECK(scene.Send("GET", "/desk/1", "r-2").status == 200);
  const std::string whole = stream.ReadUntil("0\r\n\r\n");
  CHECK(whole.find("token4") != std::string::npos);
  CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
}

// After the stop signal the load balancer still sends new connections until two
// of its health checks, one second apart, have failed. Callers refused until
// then are not served at all. A request accepted more than 3 s after the signal
// may be cut off when the process is killed.
TEST_CASE(
    "A stopping entry accepts connections until the balancer has noticed") {
  PlatformScene scene;
  const auto ordered = std::chrono::steady_clock::now();
  scene.entry->Terminate();
  milliseconds last_accepted{0};
  while (Connects(scene.callers_address)) {
    last_accepted = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - ordered);
    REQUIRE(last_accepted < seconds(7));
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(last_accepted > milliseconds(2200));
  CHECK(last_accepted < milliseconds(3000));
  CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
}

// Many targets may register at once. An entry must learn of them in a few watch
// calls instead of one call each, and of the last one without delay.
TEST_CASE("A burst of changes costs few watch calls and is seen soon") {
  PlatformScene scene;
  const auto before = scene.store.watch_calls();
  for (int n = 0; n < 100; ++n) {
    auto registration = scene.workers.back().Registration();
    registration["service"] = "other";
    scene.store.Put("servers", "swarm-" + std::to_string(n), registration);
    std::this_thread::sleep_for(milliseconds(10));
  }
  auto next = MakeConfiguration(9);
  next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
  scene.store.Put("config", "main", next);
  CHECK(WaitUntil(
      [&] { return scene.Send("GET", "/print/1", "r").status == 200; },
      seconds(1)));
  // Two watches over 2 s, each with at most one call per 400 ms.
  CHECK(scene.store.watch_calls() - before <= 12);
}

TEST_CASE("Invalid settings end the start with an error message") {
  const std::string path =
      (std::filesystem::temp_directory_path() / "indigolead-bad-settings")
          .string();
  std::ofstream(path) << "node=front-1\n";
  setenv("INDIGOLEAD_BOOT", path.c_str(), 1);
  Process entry("indigolead", {"platform-entry"});
  CHECK(entry.WaitForExit(seconds(10)) == 2);
  CHECK(entry.output().find("listen.front: is required but missing") !=
        std::string::npos);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace indigolead::testing
