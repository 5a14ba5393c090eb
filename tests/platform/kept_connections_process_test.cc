#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <thread>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 20;
constexpr int kStreams = 4;

/// Returns a request whose answer leaves the connection open.
std::string RequestNamed(const std::string& id) {
  return "GET /desk/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 4000\r\n\r\n";
}

/// Returns true if the caller gets a whole success.
bool IsServed(RawClient* caller) {
  caller->Clear();
  return caller->ReadUntil("menu of").find("200 OK") != std::string::npos;
}

// Guards against an entry that counts the time in which it was itself paused as
// silence of its callers, and closes connections whose requests wait unread.
TEST_CASE("Requests that come while an entry is paused are answered") {
  PlatformScene scene;
  auto configuration = MakeConfiguration(4);
  configuration["limits"]["idle-timeout-ms"] = 1000;
  configuration["limits"]["header-timeout-ms"] = 600;
  scene.store.Put("config", "main", configuration);
  std::this_thread::sleep_for(seconds(1));
  std::deque<RawClient> callers;
  for (int n = 0; n < kCallers; ++n) {
    RawClient& it = callers.emplace_back(scene.callers_address);
    it.Write(RequestNamed("first-" + std::to_string(n)));
    REQUIRE(IsServed(&it));
  }
  const std::size_t sent_before_pause = GENERATE(0U, 20U, 1000U);
  CAPTURE(sent_before_pause);
  const auto id = [](int n) { return "second-" + std::to_string(n); };
  if (sent_before_pause > 0) {
    for (int n = 0; n < kCallers; ++n) {
      callers[n].Write(RequestNamed(id(n)).substr(0, sent_before_pause));
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  scene.entry->Pause();
  std::this_thread::sleep_for(milliseconds(1500));
  for (int n = 0; n < kCallers; ++n) {
    const std::string request = RequestNamed(id(n));
    callers[n].Write(
        request.substr(std::min(sent_before_pause, request.size())));
  }
  scene.entry->Resume();
  int served = 0;
  for (RawClient& it : callers) {
    served += IsServed(&it) ? 1 : 0;
  }
  CHECK(served == kCallers);
}

// Guards against an entry that announced before its stop that the
// connection is kept, and then closes it with the next request unanswered.
TEST_CASE("A connection kept by an answer takes one more request at a stop") {
  PlatformScene scene;
  std::deque<RawClient> callers;
  for (int n = 0; n < kStreams; ++n) {
    callers.emplace_back(scene.callers_address)
        .Write("POST /audit/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: s-" +
               std::to_string(n) +
               "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
  }
  for (RawClient& it : callers) {
    const std::string& begun = it.ReadUntil("token1");
    REQUIRE(begun.find("token1") != std::string::npos);
    REQUIRE(begun.find("Connection: close") == std::string::npos);
  }
  scene.entry->Terminate();
  int served = 0;
  for (RawClient& it : callers) {
    REQUIRE(it.ReadUntil("0\r\n\r\n").find("token4") != std::string::npos);
    it.Write(RequestNamed("next"));
    served += IsServed(&it) ? 1 : 0;
  }
  CHECK(served == kStreams);
  CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
}

}  // namespace
}  // namespace indigolead::testing
