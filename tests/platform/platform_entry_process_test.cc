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

#include "tests/platform/support/metadata_store.h"
#include "tests/platform/support/model_worker.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns "127.0.0.1:PORT" with a port that was free a moment ago.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(fd, generic, length) == 0);
  REQUIRE(getsockname(fd, generic, &length) == 0);
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

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

nlohmann::json Route(const std::string& name, const std::string& prefix,
                     const std::string& kind, const std::string& service) {
  return {{"name", name},     {"host", "127.0.0.1"}, {"path-prefix", prefix},
          {"kind", kind},     {"service", service},  {"timeout-ms", 5000},
          {"max-attempts", 2}};
}

nlohmann::json Configuration(std::uint64_t version) {
  return {{"version", version},
          {"routes",
           {Route("menu", "/menu/", "unsafe", "app"),
            Route("desk", "/desk/", "safe", "app"),
            Route("audit", "/audit/", "stream", "llm")}},
          {"services",
           {{{"name", "app"}, {"max-conns", 100}},
            {{"name", "llm"},
             {"max-conns", 100},
             {"engine", {{"slots", 8}, {"stage-switch-s", 0.1}}}}}}};
}

/// One entry on a platform of stand-ins.
class Scene {
 public:
  Scene() {
    for (int n = 0; n < 6; ++n) {
      AddWorker("e" + std::to_string(n), "llm", true);
    }
    AddWorker("a0", "app", false);
    AddWorker("a1", "app", false);
    Register();
    store.Put("config", "main", Configuration(3));
    WriteSettings();
    setenv("INDIGOLEAD_BOOT", settings_.c_str(), 1);
    entry.emplace("indigolead", std::vector<std::string>{"platform-entry"});
    REQUIRE(WaitUntil([&] { return Ready(); }));
  }

  ~Scene() { std::filesystem::remove(settings_); }

  bool Ready() {
    return HttpCall(ready_address, "GET", "/api/readyz").status == 200;
  }

  HttpAnswer Ask(const std::string& method, const std::string& path,
                 const std::string& id) {
    return HttpCall(callers_address, method, path, "prices",
                    {{"X-Request-Id", id},
                     {"X-Deadline-Ms", "4000"},
                     {"X-Token-Usage", "100,4"},
                     {"X-Prefix-Hash", "5c:80,91:20"}},
                    seconds(10));
  }

  /// Writes each worker's registration as it is now.
  void Register() {
    for (ModelWorker& it : workers) {
      const auto now = it.Registration();
      const std::string id = ids_[&it];
      if (store.Get("servers", id) != now) {
        store.Put("servers", id, now);
      }
    }
  }

  int Prefills() {
    int n = 0;
    for (ModelWorker& it : workers) {
      n += it.prefills();
    }
    return n;
  }

  int Runs(const std::string& id) {
    int n = 0;
    for (ModelWorker& it : workers) {
      n += it.runs(id);
    }
    return n;
  }

  int Staged(const std::string& stage) {
    int n = 0;
    for (ModelWorker& it : workers) {
      n += it.Registration().value("stage", "") == stage ? 1 : 0;
    }
    return n;
  }

  MetadataStore store;
  std::deque<ModelWorker> workers;
  std::string callers_address = FreeAddress();
  std::string ready_address = FreeAddress();
  std::optional<Process> entry;

 private:
  void AddWorker(const std::string& id, const std::string& service,
                 bool is_engine) {
    ModelWorker::Options options;
    options.id = id;
    options.service = service;
    options.failure_domain = "bilbao-a";
    options.is_engine = is_engine;
    workers.emplace_back(options);
    ids_[&workers.back()] = id;
  }

  void WriteSettings() {
    settings_ = (std::filesystem::temp_directory_path() /
                 ("indigolead-settings-" + std::to_string(getpid())))
                    .string();
    std::ofstream out(settings_);
    out << "node=front-1\nzone=bilbao-a\nregion=norte\nlisten.front="
        << callers_address << "\nlisten.ready=" << ready_address
        << "\nplatform.address=" << store.address()
        << "\nlimits.max-fds=1000\nbounds.grace-s=8\nbounds.lease-ms=500\n"
           "bounds.contact-ms=3000\nbounds.retry-budget-ratio=0.2\n";
  }

  std::map<const ModelWorker*, std::string> ids_;
  std::string settings_;
};

TEST_CASE("An entry serves the platform's callers from end to end") {
  Scene scene;

  SECTION("a plain service's answer comes unchanged") {
    const HttpAnswer answer = scene.Ask("GET", "/desk/1", "r-1");
    CHECK(answer.status == 200);
    CHECK(answer.body.substr(0, 7) == "menu of");
    CHECK(answer.Header("X-Request-Id") == "r-1");
    CHECK(answer.Header("X-Response-Signature").substr(0, 4) == "sig-");
    CHECK(scene.Runs("r-1") == 1);
  }
  SECTION("engines are given roles, and a prompt is read by another one") {
    REQUIRE(WaitUntil([&] { return scene.Staged("prefill") == 4; }));
    scene.Register();
    REQUIRE(WaitUntil([&] {
      return scene.Ask("POST", "/audit/1", "warm").status == 200 &&
             scene.Prefills() > 0;
    }));
    const int before = scene.Prefills();
    const HttpAnswer answer = scene.Ask("POST", "/audit/1", "r-2");
    CHECK(answer.status == 200);
    CHECK(answer.body.find("token4") != std::string::npos);
    CHECK(scene.Prefills() == before + 1);
    CHECK(scene.Runs("r-2") == 1);
  }
  SECTION("a path without route is not found; a new route is found at once") {
    CHECK(scene.Ask("GET", "/print/1", "r-3").status == 404);
    auto next = Configuration(9);
    next["routes"].push_back(Route("print", "/print/", "safe", "app"));
    scene.store.Put("config", "main", next);
    CHECK(WaitUntil(
        [&] { return scene.Ask("GET", "/print/1", "r-4").status == 200; },
        seconds(2)));
    SECTION("and an older configuration changes nothing") {
      scene.store.Put("config", "main", Configuration(5));
      std::this_thread::sleep_for(milliseconds(300));
      CHECK(scene.Ask("GET", "/print/1", "r-5").status == 200);
    }
  }
}

// Both targets reset every connection after they have begun to run. A request
// that may run once must not be sent again, and its caller must not read that
// it has not run.
TEST_CASE("A request that may have run is neither repeated nor denied") {
  Scene scene;
  for (ModelWorker& it : scene.workers) {
    it.SetResetting(true);
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
  Scene scene;
  scene.store.SetFaults(faults);
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(scene.Ask("GET", "/desk/1", "r-1").status == 200);
  CHECK(scene.Ready());
  scene.store.Put("config", "main", Configuration(12));
  scene.store.Compact();
  scene.store.SetFaults({});
  auto next = Configuration(20);
  next["routes"].push_back(Route("print", "/print/", "safe", "app"));
  scene.store.Put("config", "main", next);
  CHECK(WaitUntil(
      [&] { return scene.Ask("GET", "/print/1", "r-2").status == 200; },
      seconds(6)));
}

// A planned stop: the balancer is told at once, what is on its way ends whole,
// new callers are still served until the balancer has noticed, and the process
// ends by itself, before it would be killed.
TEST_CASE("A planned stop cuts nobody off") {
  Scene scene;
  RawClient stream(scene.callers_address);
  stream.Write(
      "POST /audit/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r-1\r\n"
      "X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
  stream.ReadUntil("token1");
  scene.entry->Terminate();
  REQUIRE(WaitUntil([&] { return !scene.Ready(); }, seconds(1)));
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
  Scene scene;
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
