#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "standins/service_server.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"

namespace indigolead {
namespace {

using nlohmann::json;
using standins::EngineOptions;
using standins::EngineServer;
using standins::PlatformFaults;
using standins::PlatformServer;
using standins::ServiceServer;
using testing::HttpCall;
using testing::WaitUntil;

std::string Prompt(const std::string& prompt, int tokens, bool stream) {
  return json{{"model", "tarifa-llm"},
              {"prompt", prompt},
              {"max_tokens", tokens},
              {"stream", stream}}
      .dump();
}

TEST_CASE("The platform stand-in enforces versions and write conditions") {
  PlatformServer platform;
  const std::string address = platform.address();
  const auto put = [&](const std::string& value, std::uint64_t expected) {
    return HttpCall(address, "PUT", "/v1/objects/a/b", value,
                    {{"X-Expected-Version", std::to_string(expected)}});
  };

  SECTION("a write is applied only at the expected version") {
    CHECK(put("one", 0).status == 200);
    const auto conflict = put("two", 0);
    CHECK(conflict.status == 409);
    CHECK(conflict.Header("X-Version") == "1");
    CHECK(put("two", 1).Header("X-Version") == "2");
    CHECK(HttpCall(address, "GET", "/v1/objects/a/b").body == "two");
  }

  SECTION("a write whose response is lost is applied") {
    PlatformFaults faults;
    faults.lose_answers = 1;
    platform.SetFaults(faults);
    CHECK(put("one", 0).status == 0);
    CHECK(platform.Peek("a/b")->value == "one");
    CHECK(put("two", 1).status == 200);
  }

  SECTION("it refuses connections while down and keeps its objects") {
    put("one", 0);
    platform.SetDown(true);
    CHECK(HttpCall(address, "GET", "/v1/objects/a/b").status == 0);
    platform.SetDown(false);
    CHECK(HttpCall(address, "GET", "/v1/objects/a/b").body == "one");
  }

  SECTION("a watch from a discarded version is rejected") {
    CHECK(HttpCall(address, "GET", "/v1/watch?prefix=a&from=9").status == 410);
  }

  SECTION("calls are counted by kind") {
    put("one", 0);
    const auto calls =
        json::parse(HttpCall(address, "GET", "/standin/calls").body);
    CHECK(calls["put"] == 1);
    CHECK(calls["waiting_watches"] == 0);
  }
}

TEST_CASE("The instance list shows changes after a delay") {
  PlatformServer::Options options;
  options.instance_lag = std::chrono::milliseconds(100);
  PlatformServer platform(options);
  const auto shown = [&] {
    return json::parse(
        HttpCall(platform.address(), "GET", "/v1/instances").body)["instances"];
  };
  HttpCall(platform.address(), "PUT", "/standin/instances",
           R"({"name":"e1","kind":"entry","state":"leaving"})");
  CHECK(WaitUntil([&] { return shown().size() == 1; }));
  CHECK(shown()[0]["state"] == "leaving");
}

TEST_CASE("The engine stand-in's response depends on the prompt alone") {
  EngineServer engine;
  const std::string address = engine.address();

  SECTION("responses to different prompts differ, to the same prompt match") {
    const auto ask = [&](const std::string& prompt) {
      const auto answer = HttpCall(address, "POST", "/v1/completions",
                                   Prompt(prompt, 3, false));
      return json::parse(answer.body)["choices"][0]["text"].get<std::string>();
    };
    CHECK(ask("menu") == ask("menu"));
    CHECK(ask("menu") != ask("price"));
    CHECK(ask("menu").starts_with("w0-"));
  }

  SECTION("a stream can be resumed from any event with the same result") {
    const auto whole =
        HttpCall(address, "POST", "/v1/completions", Prompt("menu", 20, true),
                 {{"X-Request-Id", "r1"}});
    CHECK(whole.body.ends_with("data: [DONE]\n\n"));
    const auto rest = HttpCall(address, "GET", "/v1/streams/r1?from=5");
    CHECK(rest.body.size() < whole.body.size());
    CHECK(whole.body.ends_with(rest.body));
    CHECK(HttpCall(address, "GET", "/v1/streams/r2").status == 404);
    CHECK(engine.runs().size() == 1);
    CHECK(engine.runs()[0].finished);
  }

  SECTION("the common prefix of two prompts is cached and reported") {
    const std::string history(600, 'h');  // Two full blocks.
    const auto cached = [&](const std::string& prompt) {
      const auto answer = HttpCall(address, "POST", "/v1/completions",
                                   Prompt(prompt, 1, false));
      return json::parse(
                 answer.body)["usage"]["prompt_tokens_details"]["cached_tokens"]
          .get<int>();
    };
    CHECK(cached(history + " storm") == 0);
    CHECK(cached(history + " calm") == 1);
    // The event stream never ends, so each read stops at its time limit.
    CHECK(WaitUntil([&] {
      const auto events = HttpCall(address, "GET", "/cache-events?from=0", "",
                                   {}, std::chrono::milliseconds(300));
      return events.body.find("\"sequence\":1") != std::string::npos;
    }));
  }

  SECTION("a cancelled stream ends with an incomplete response") {
    std::thread reader([&] {
      const auto answer =
          HttpCall(address, "POST", "/v1/completions",
                   Prompt("menu", 1000000, true), {{"X-Request-Id", "r1"}});
      CHECK(answer.status == 0);
    });
    CHECK(WaitUntil([&] {
      return HttpCall(address, "DELETE", "/v1/streams/r1").status == 200;
    }));
    reader.join();
    CHECK(engine.runs()[0].cut);
  }
}

TEST_CASE("The engine stand-in handles orders according to its options") {
  const bool checks = GENERATE(true, false);
  EngineOptions options;
  options.check_fencing = checks;
  options.change_time = std::chrono::milliseconds(50);
  EngineServer engine(options);
  const std::string address = engine.address();
  const auto order = [&](int fencing, const std::string& role) {
    return HttpCall(address, "POST", "/order",
                    json{{"fencing_number", fencing}, {"role", role}}.dump())
        .status;
  };
  const auto state = [&] {
    return json::parse(HttpCall(address, "GET", "/state").body);
  };
  CHECK(order(5, "decode") == 202);
  CHECK(order(5, "mixed") == 423);
  CHECK(WaitUntil([&] { return state()["changing"] == false; }));
  CHECK(state()["role"] == "decode");
  CHECK(order(4, "prefill") == (checks ? 409 : 202));
  CHECK(engine.orders().size() == 3);
}

TEST_CASE("A crashed engine loses its streams and gets a new boot id") {
  EngineServer engine;
  const std::string address = engine.address();
  const auto boot_id = [&] {
    return json::parse(HttpCall(address, "GET", "/state").body)["boot_id"];
  };
  const auto before = boot_id();
  CHECK(HttpCall(address, "POST", "/v1/completions",
                 Prompt("now crash-engine", 3, false))
            .status == 0);
  CHECK(HttpCall(address, "GET", "/health").status == 0);
  engine.Restart();
  CHECK(boot_id() != before);
}

TEST_CASE("The service stand-in echoes requests, complete or in chunks") {
  ServiceServer service;
  const auto whole = HttpCall(service.address(), "PUT", "/menu?x=1", "body",
                              {{"Idempotency-Key", "k"}});
  CHECK(json::parse(whole.body)["body"] == "body");
  const auto parts = HttpCall(service.address(), "GET", "/menu?chunks=3");
  CHECK(parts.Header("Transfer-Encoding") == "chunked");
  CHECK(json::parse(parts.body)["path"] == "/menu");
  REQUIRE(service.runs().size() == 2);
  CHECK(service.runs()[0].idempotency_key == "k");
  CHECK(service.runs()[1].finished);
}

}  // namespace
}  // namespace indigolead
