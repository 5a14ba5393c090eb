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

/// Returns true if a connection to "127.0.0.1:PORT" is taken.
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

  SECTION("a plain service's answer comes unchanged") {
    const HttpAnswer answer = scene.Ask("GET", "/desk/1", "r-1");
    CHECK(answer.status == 200);
    CHECK(answer.body.substr(0, 7) == "menu of");
    CHECK(answer.Header("X-Request-Id") == "r-1");
    CHECK(answer.Header("X-Response-Signature").substr(0, 4) == "sig-");
    CHECK(scene.Runs("r-1") == 1);
  }
  SECTION("metrics count it, by the time that it took") {
    scene.Ask("GET", "/desk/1", "r-1");
    const std::string text =
        HttpCall(scene.metrics_address, "GET", "/metrics").body;
    CHECK(text.find("indigolead_requests_answered_total 1\n") !=
          std::string::npos);
    CHECK(text.find("indigolead_answer_seconds_bucket{le=\"+Inf\"} 1\n") !=
          std::string::npos);
  }
  SECTION("engines are given roles, and a prompt is read by another one") {
    // Six engines of eight places: half of them read.
    REQUIRE(WaitUntil([&] { return scene.Staged("prefill") == 3; }));
    scene.RegisterStages();
    REQUIRE(WaitUntil([&] {
      return scene.Ask("POST", "/audit/1", "warm").status == 200 &&
             scene.Prefills() > 0;
    }));
    // The entry hears of all roles within the gap between a watch's calls.
    std::this_thread::sleep_for(seconds(1));
    const int before = scene.Prefills();
    const HttpAnswer answer = scene.Ask("POST", "/audit/1", "r-2");
    CHECK(answer.status == 200);
    CHECK(answer.body.find("token4") != std::string::npos);
    CHECK(scene.Prefills() == before + 1);
    CHECK(scene.Runs("r-2") == 1);
  }
  SECTION("a path without route is not found; a new route is found at once") {
    CHECK(scene.Ask("GET", "/print/1", "r-3").status == 404);
    auto next = MakeConfiguration(9);
    next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
    scene.store.Put("config", "main", next);
    CHECK(WaitUntil(
        [&] { return scene.Ask("GET", "/print/1", "r-4").status == 200; },
        seconds(2)));
    SECTION("and an older configuration changes nothing") {
      scene.store.Put("config", "main", MakeConfiguration(5));
      std::this_thread::sleep_for(milliseconds(300));
      CHECK(scene.Ask("GET", "/print/1", "r-5").status == 200);
    }
  }
}

// Both targets reset every connection after they have begun to run. A request
// that may run once must not be sent again, and its caller must not read that
// it has not run.
TEST_CASE("A request that may have run is neither repeated nor denied") {
  PlatformScene scene;
  scene.EarnFurtherAttempts();
  for (ModelWorker& it : scene.workers) {
    it.SetBehaviour(ModelWorker::Behaviour::kResets);
  }
  CHECK(scene.Ask("POST", "/menu/1", "r-1").status == 502);
  CHECK(scene.Runs("r-1") == 1);
  CHECK(scene.Ask("GET", "/desk/1", "r-2").status == 502);
  CHECK(scene.Runs("r-2") == 2);
}

// The store goes away in each of its ways. Callers notice nothing; what changes
// meanwhile is in force soon after its return.
TEST_CASE("Requests are served while the store is away") {
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
  CHECK(scene.Ask("GET", "/desk/1", "r-1").status == 200);
  CHECK(scene.Ready());
  scene.store.Put("config", "main", MakeConfiguration(12));
  scene.store.Compact();
  scene.store.SetFaults({});
  auto next = MakeConfiguration(20);
  next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
  scene.store.Put("config", "main", next);
  CHECK(WaitUntil(
      [&] { return scene.Ask("GET", "/print/1", "r-2").status == 200; },
      seconds(6)));
}

// A planned stop: the balancer is told at once, what is on its way ends whole,
// new callers are still served until the balancer has noticed, and the process
// ends by itself, before it would be killed.
TEST_CASE("A planned stop cuts nobody off") {
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
  // It no longer counts among the entries that share the retry allowance.
  CHECK(
      WaitUntil([&] { return scene.store.Get("entries", "front-1").is_null(); },
                seconds(2)));
  CHECK(scene.Ask("GET", "/desk/1", "r-2").status == 200);
  const std::string whole = stream.ReadUntil("0\r\n\r\n");
  CHECK(whole.find("token4") != std::string::npos);
  CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
}

// After the order to stop, the balancer still sends new connections until two
// of its questions, a second apart, have failed; turned away, those callers
// find nobody. But what is taken more than 3 s after the order may not end
// before the kill, and its caller sees it cut off by a planned stop.
TEST_CASE("A planned stop takes connections until the balancer has noticed") {
  PlatformScene scene;
  const auto ordered = std::chrono::steady_clock::now();
  scene.entry->Terminate();
  milliseconds last_taken{0};
  while (Connects(scene.callers_address)) {
    last_taken = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - ordered);
    REQUIRE(last_taken < seconds(7));
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(last_taken > milliseconds(2200));
  CHECK(last_taken < milliseconds(3000));
  CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
}

// Targets register in swarms. Each entry hears of them in a few calls of its
// watch, not in one for each, and of the last of them soon.
TEST_CASE("A swarm of changes costs a few calls, and is seen soon") {
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
  CHECK(
      WaitUntil([&] { return scene.Ask("GET", "/print/1", "r").status == 200; },
                seconds(1)));
  // Two watches, each with a call in 400 ms at most, over 2 s.
  CHECK(scene.store.watch_calls() - before <= 12);
}

TEST_CASE("Unusable settings end the start with a clear line") {
  const std::string path =
      (std::filesystem::temp_directory_path() / "indigolead-bad-settings")
          .string();
  std::ofstream(path) << "node=front-1\n";
  setenv("INDIGOLEAD_BOOT", path.c_str(), 1);
  Process entry("indigolead", {"platform-entry"});
  CHECK(entry.WaitForExit(seconds(10)) == 2);
  CHECK(entry.output().find("listen.front: is missing") != std::string::npos);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace indigolead::testing
