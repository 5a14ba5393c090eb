// Tests of an entry process between stand-ins: what the caller of each kind of
// request sees when a target, the store, the entry or a caller fails.

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <thread>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using Behaviour = ModelWorker::Behaviour;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Outcome of one request: its status (0 if cut off) and number of runs.
struct Outcome {
  int status = 0;
  int runs = 0;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

std::ostream& operator<<(std::ostream& os, const Outcome& it) {
  return os << "status " << it.status << ", runs " << it.runs;
}

/// Outcomes of one request of each kind, in this order: safe, unsafe, stream,
/// resumable stream.
using Outcomes = std::array<Outcome, 4>;

constexpr std::array<const char*, 4> kKinds = {"safe", "unsafe", "stream",
                                               "resumable stream"};
constexpr std::array<const char*, 4> kMethods = {"GET", "POST", "POST", "POST"};
constexpr std::array<const char*, 4> kPaths = {"/desk/1", "/menu/1", "/audit/1",
                                               "/resume/1"};

constexpr Outcomes kServed = {{{200, 1}, {200, 1}, {200, 1}, {200, 1}}};

/// Sends one request of each kind concurrently and runs `meanwhile` in the
/// calling thread.
Outcomes SendOneOfEachKind(
    PlatformScene* scene, int deadline_ms,
    const std::function<void()>& meanwhile = [] {}) {
  std::array<std::future<HttpAnswer>, 4> answers;
  for (std::size_t n = 0; n < answers.size(); ++n) {
    answers[n] = std::async(std::launch::async, [=] {
      return scene->Send(kMethods[n], kPaths[n], kKinds[n], deadline_ms);
    });
  }
  meanwhile();
  Outcomes outcomes;
  for (std::size_t n = 0; n < answers.size(); ++n) {
    outcomes[n].status = answers[n].get().status;
    outcomes[n].runs = scene->Runs(kKinds[n]);
  }
  return outcomes;
}

void CheckOutcomes(const Outcomes& seen, const Outcomes& expected) {
  for (std::size_t n = 0; n < seen.size(); ++n) {
    INFO(kKinds[n]);
    CHECK(seen[n] == expected[n]);
  }
}

struct WorkerRow {
  const char* fault;
  Behaviour behaviour;
  int deadline_ms;
  Outcomes expected;
};

// Every target has the same fault, so the status shows what the entry knows:
// 503 states that the request has not run and never will; 502 and 504 state
// nothing. A request that may run only once is sent to one target, others to as
// many as their route allows (two).
TEST_CASE("Outcomes of target faults by kind of request") {
  const WorkerRow row = GENERATE(values<WorkerRow>({
      {"refuse",
       Behaviour::kRefuses,
       3000,
       {{{503, 0}, {503, 0}, {503, 0}, {503, 0}}}},
      {"fail",
       Behaviour::kFails,
       3000,
       {{{500, 2}, {500, 1}, {500, 1}, {500, 2}}}},
      {"reset",
       Behaviour::kResets,
       3000,
       {{{502, 2}, {502, 1}, {502, 1}, {502, 2}}}},
      {"are silent",
       Behaviour::kSilent,
       700,
       {{{504, 1}, {504, 1}, {504, 1}, {504, 1}}}},
      {"are late", Behaviour::kLate, 3000, kServed},
      {"garble",
       Behaviour::kGarbled,
       3000,
       {{{502, 2}, {502, 1}, {502, 1}, {502, 2}}}},
      {"are frozen",
       Behaviour::kFrozen,
       700,
       {{{504, 0}, {504, 0}, {504, 0}, {504, 0}}}},
      // A resumable stream continues at another target within one answer.
      {"break off",
       Behaviour::kBreaksMidway,
       3000,
       {{{502, 2}, {502, 1}, {0, 1}, {200, 2}}}},
      {"send one answer too many", Behaviour::kExtraAnswer, 3000, kServed},
  }));
  INFO("targets " << row.fault);
  PlatformScene scene;
  scene.EarnRetryBudget();
  scene.SetBehaviour(row.behaviour);
  CheckOutcomes(SendOneOfEachKind(&scene, row.deadline_ms), row.expected);
  // After the fault requests are served again; it leaves no state behind.
  scene.SetBehaviour(Behaviour::kHealthy);
  CHECK(WaitUntil(
      [&] { return scene.Send("POST", "/audit/1", "after").status == 200; },
      seconds(5)));
}

// The store fails in each possible way. No kind of request is affected, and a
// change made meanwhile takes effect soon after the store recovers.
TEST_CASE("Outcomes of store faults by kind of request") {
  const std::string fault =
      GENERATE("refuses", "resets", "silent", "late", "garbled", "frozen");
  INFO("the store: " << fault);
  PlatformScene scene;
  standins::PlatformFaults faults;
  faults.refuse = fault == "refuses";
  faults.reset = fault == "resets";
  faults.stall = fault == "silent";
  faults.slow_ms = fault == "late" ? 300 : 0;
  faults.garble = fault == "garbled";
  scene.store.SetFaults(faults);
  // Connections stay open, but no answer arrives on any of them.
  scene.store_relay.SetPartitioned(fault == "frozen");
  std::this_thread::sleep_for(milliseconds(400));
  CheckOutcomes(SendOneOfEachKind(&scene, 3000), kServed);
  CHECK(scene.Ready());
  auto next = MakeConfiguration(20);
  next["routes"].push_back(MakeRoute("print", "/print/", "safe", "app"));
  scene.store.Put("config", "main", next);
  scene.store.SetFaults({});
  scene.store_relay.SetPartitioned(false);
  CHECK(WaitUntil(
      [&] { return scene.Send("GET", "/print/1", "p").status == 200; },
      seconds(6)));
}

// The entry process is suspended or killed while its requests are at their
// targets. After it resumes it must not send a request a second time, nor
// report a request that ran as not run.
TEST_CASE("Outcomes of entry faults by kind of request") {
  PlatformScene scene;
  scene.SetBehaviour(Behaviour::kLate);  // Targets are at work meanwhile.
  const auto at_targets = [&] {
    return scene.Runs(kKinds[0]) + scene.Runs(kKinds[1]) == 2;
  };

  SECTION("suspended within the deadline: all requests are served") {
    CheckOutcomes(
        SendOneOfEachKind(&scene, 3000,
                          [&] {
                            REQUIRE(WaitUntil(at_targets));
                            scene.entry->Pause();
                            std::this_thread::sleep_for(milliseconds(600));
                            scene.entry->Resume();
                          }),
        kServed);
  }
  SECTION("suspended past the deadline: requests end, none runs again") {
    const Outcomes seen = SendOneOfEachKind(&scene, 800, [&] {
      REQUIRE(WaitUntil(at_targets));
      scene.entry->Pause();
      std::this_thread::sleep_for(milliseconds(1500));
      scene.entry->Resume();
    });
    for (std::size_t n = 0; n < seen.size(); ++n) {
      INFO(kKinds[n] << ": " << seen[n]);
      // A stream whose answer has begun can only be cut off.
      const bool is_broken_stream = n >= 2 && seen[n].status == 0;
      CHECK(
          (seen[n].status == 200 || seen[n].status == 504 || is_broken_stream));
      CHECK(seen[n].runs <= 1);
    }
  }
  SECTION("killed: connections are cut off, with unknown outcomes") {
    const Outcomes seen = SendOneOfEachKind(&scene, 3000, [&] {
      REQUIRE(WaitUntil(at_targets));
      scene.entry->Kill();
    });
    for (std::size_t n = 0; n < seen.size(); ++n) {
      INFO(kKinds[n] << ": " << seen[n]);
      CHECK(seen[n].status == 0);
      CHECK(seen[n].runs <= 1);
    }
  }
  SECTION("settings file corrupted: the entry keeps its settings") {
    std::ofstream(std::getenv("INDIGOLEAD_BOOT")) << "\x01=\nnode";
    scene.entry->Signal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(200));
    CheckOutcomes(SendOneOfEachKind(&scene, 3000), kServed);
  }
}

std::string Head(std::size_t kind, const std::string& id) {
  return std::string(kMethods[kind]) + " " + kPaths[kind] +
         " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 3000\r\nX-Token-Usage: 100,4\r\n"
         "X-Prefix-Hash: 5c:80,91:20\r\nContent-Length: 6\r\n\r\n";
}

// A misbehaving caller affects only itself, and a request that is received
// incompletely does not run.
TEST_CASE("Outcomes of caller faults by kind of request") {
  const std::size_t kind = GENERATE(0, 1, 2, 3);
  INFO(kKinds[kind]);
  PlatformScene scene;

  SECTION("malformed request: answered with 400, nothing runs") {
    RawClient client(scene.callers_address);
    client.Write("\x01\x02 " + Head(kind, "r-1"));
    CHECK(client.ReadToEnd().rfind("HTTP/1.1 400", 0) == 0);
    CHECK(scene.Runs("r-1") == 0);
  }
  SECTION("idle or incomplete request: closed, nothing runs") {
    RawClient silent(scene.callers_address);
    RawClient frozen(scene.callers_address);
    RawClient without_body(scene.callers_address);
    const std::string head = Head(kind, "r-1");
    frozen.Write(head.substr(0, head.size() / 2));
    without_body.Write(head + "pri");
    frozen.ReadToEnd();
    CHECK(frozen.closed());
    silent.ReadToEnd();
    CHECK(silent.closed());
    without_body.ReadToEnd();
    CHECK(without_body.closed());
    CHECK(scene.Runs("r-1") == 0);
  }
  SECTION("slow request within the header timeout: served") {
    RawClient client(scene.callers_address);
    const std::string head = Head(kind, "r-1");
    for (std::size_t n = 0; n < head.size(); n += 40) {
      client.Write(head.substr(n, 40));
      std::this_thread::sleep_for(milliseconds(20));
    }
    client.Write("prices");
    const std::string seen = client.ReadUntil(kind < 2 ? "menu of" : "token4");
    CHECK(seen.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(scene.Runs("r-1") == 1);
  }
  SECTION("reset while its request runs: the entry abandons the request") {
    scene.SetBehaviour(Behaviour::kSilent);
    {
      RawClient client(scene.callers_address);
      client.Write(Head(kind, "r-1") + "prices");
      REQUIRE(WaitUntil([&] { return scene.Runs("r-1") == 1; }));
    }
    CHECK(WaitUntil(
        [&] {
          return scene.Metric("indigolead_requests_abandoned_total") == "1";
        },
        seconds(2)));
    CHECK(scene.Runs("r-1") == 1);
  }
}

}  // namespace
}  // namespace indigolead::testing
