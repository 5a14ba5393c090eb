#include <signal.h>

#include <catch2/catch.hpp>
#include <thread>

#include "tests/support/http_call.h"
#include "tests/support/process.h"

namespace indigolead {
namespace {

using testing::HttpCall;
using testing::Process;
using testing::WaitUntil;

TEST_CASE("Each stand-in runs as a process and ends when told to") {
  const std::string kind = GENERATE("platform", "engine", "service");
  Process process("indigolead-standin", {kind});
  const std::string address = process.WaitForAddress();
  CHECK(address.starts_with("127.0.0.1:"));

  SECTION("SIGTERM ends it cleanly") {
    process.Terminate();
    CHECK(process.WaitForExit(std::chrono::seconds(30)) == 0);
  }

  SECTION("it answers while it runs, not while it is stopped") {
    CHECK(HttpCall(address, "GET", "/standin/none").status != 0);
    process.Pause();
    CHECK(HttpCall(address, "GET", "/standin/none", "", {},
                   std::chrono::milliseconds(200))
              .status == 0);
    process.Resume();
    CHECK(HttpCall(address, "GET", "/standin/none").status != 0);
  }
}

TEST_CASE("A request marked to crash its target ends the stand-in") {
  // The caller sees its connection break without an answer: the target's
  // process ends as the request starts to run, before any output.
  const auto [kind, path, body] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"engine", "/v1/completions",
            R"({"model":"tarifa-llm","prompt":"please crash-engine now"})"},
           {"service", "/booking", "crash-service"}}));
  Process process("indigolead-standin", {kind});
  const std::string address = process.WaitForAddress();
  CHECK(HttpCall(address, "POST", path, body).status == 0);
  CHECK(process.WaitForExit(std::chrono::seconds(30)) == 3);
}

TEST_CASE("The relay process goes silent on its open connections at SIGUSR1") {
  Process service("indigolead-standin", {"service"});
  Process relay("indigolead-standin",
                {"relay", "--to=" + service.WaitForAddress()});
  const std::string address = relay.WaitForAddress();
  CHECK(HttpCall(address, "PUT", "/standin/hold", "on").status == 200);
  int stuck = -1;
  std::thread caller([&] {
    stuck = HttpCall(address, "GET", "/menu", "", {},
                     std::chrono::milliseconds(1500))
                .status;
  });
  const auto runs = [&] {
    return HttpCall(address, "GET", "/standin/runs").body;
  };
  CHECK(WaitUntil([&] { return runs().find("/menu") != std::string::npos; }));
  relay.Signal(SIGUSR1);
  relay.WaitForLine("silenced");
  CHECK(HttpCall(address, "PUT", "/standin/hold", "off").status == 200);
  caller.join();
  CHECK(stuck == 0);
  CHECK(runs().find("\"finished\":true") != std::string::npos);
}

TEST_CASE("A stand-in without a known command says which ones there are") {
  Process process("indigolead-standin", {"nonsense"});
  CHECK(process.WaitForExit(std::chrono::seconds(30)) == 2);
  CHECK(process.output().find("platform, engine, service") !=
        std::string::npos);
}

}  // namespace
}  // namespace indigolead
