#include "platform/caller_protocol.h"

#include <catch2/catch.hpp>

#include "core/request/header_fields.h"
#include "platform/documents.h"

namespace indigolead::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};

std::shared_ptr<const RouteTable> Routes() {
  ServiceRoute route;
  route.name = "audit";
  route.host = "list.example";
  route.path_prefix = "/audit/";
  route.streamed = true;
  route.timeout = seconds(8);
  route.answer_target = milliseconds(800);
  route.priority = 2;
  route.services = {{"llm", 1}};
  RouteConfiguration configuration;
  configuration.version = 9;
  configuration.routes = {route};
  return std::make_shared<const RouteTable>(configuration);
}

CallerInterface Callers(std::shared_ptr<const RouteTable> routes) {
  return MakePlatformCallerInterface([routes] { return routes; },
                                     [] { return kNow; }, MakeSeededRandom(1),
                                     MakeNullEventLog());
}

IncomingRequest Incoming(std::vector<HeaderField> more = {}) {
  IncomingRequest incoming;
  incoming.method = "POST";
  incoming.target = "/audit/2f?full=1";
  incoming.headers = {{"Host", "list.example"},
                      {"X-Request-Id", "9c41d07be2a35f68"}};
  incoming.headers.insert(incoming.headers.end(), more.begin(), more.end());
  incoming.body = "prices";
  return incoming;
}

CallerRequest RequestOf(const CallerHandling& handling) {
  REQUIRE(std::holds_alternative<CallerRequest>(handling));
  return std::get<CallerRequest>(handling);
}

TEST_CASE("A caller's request is built from its route and headers") {
  const CallerInterface callers = Callers(Routes());
  const CallerRequest request = RequestOf(
      callers.handle(Incoming({{"X-Deadline-Ms", "6000"},
                               {"X-Model", "m"},
                               {"X-Token-Usage", "1460,80"},
                               {"X-Prefix-Hash", "5c1e07a2:800,e4402b7d:660"}}),
                     RequestId{{1, 2}}));
  CHECK(request.caller_id == "9c41d07be2a35f68");
  CHECK(request.answer_target == milliseconds(800));
  CHECK(request.route == "audit");
  CHECK(request.deployment == "llm");
  CHECK(request.method == "POST");
  CHECK(request.path == "/audit/2f?full=1");
  CHECK(request.body == "prices");
  CHECK(request.deadline == kNow + seconds(6));
  CHECK(request.prompt_tokens == 1460);
  CHECK(request.max_output_tokens == 80);
  CHECK(request.prompt_parts ==
        std::vector<PromptPart>{{0x5c1e07a2, 800}, {0xe4402b7d, 660}});

  SECTION("the route's timeout limits the caller's deadline") {
    const auto longer = RequestOf(
        callers.handle(Incoming({{"X-Deadline-Ms", "60000"}}), RequestId{}));
    CHECK(longer.deadline == kNow + seconds(8));
  }
  // Guards against a request that ends at once since its deadline wraps.
  SECTION("a deadline beyond the range of the clock is the route's timeout") {
    for (const char* const stated :
         {"9223372036854", "18446744073709", "9223372036854775807"}) {
      CAPTURE(stated);
      const auto longest = RequestOf(
          callers.handle(Incoming({{"X-Deadline-Ms", stated}}), RequestId{}));
      CHECK(longest.deadline == kNow + seconds(8));
    }
  }
  SECTION("a deadline that is not a number is ignored") {
    const auto odd = RequestOf(
        callers.handle(Incoming({{"X-Deadline-Ms", "soon"}}), RequestId{}));
    CHECK(odd.deadline == kNow + seconds(8));
  }
}

/// Guards against retries that are not recognized as the same request, so that
/// the crashes under them do not add up.
TEST_CASE("Retries have one fingerprint however they write the host") {
  const CallerInterface callers = Callers(Routes());
  const auto fingerprint_of = [&](const IncomingRequest& incoming) {
    return RequestOf(callers.handle(incoming, RequestId{})).fingerprint;
  };
  const std::uint64_t fingerprint = fingerprint_of(Incoming());
  for (const char* const host : {"LIST.example", "list.example:8149"}) {
    CAPTURE(host);
    IncomingRequest retry = Incoming();
    retry.headers = {{"host", host}, {"X-Request-Id", "another"}};
    CHECK(fingerprint_of(retry) == fingerprint);
  }
  IncomingRequest other_body = Incoming();
  other_body.body = "menus";
  CHECK(fingerprint_of(other_body) != fingerprint);
}

// If system headers were forwarded from callers, a caller could continue from
// another caller's KV cache or get ahead of all other requests.
TEST_CASE("Headers reserved for the system are not accepted from callers") {
  const CallerInterface callers = Callers(Routes());
  for (const char* name :
       {"X-Kv-Source", "x-kv-hold", "X-Kv-Backup", "X-Pin-Ms", "X-Stage",
        "X-Request-Priority", "X-Expect-Instance", "Kv-Fetch",
        "X-Expect-Version", "Connection", "Transfer-Encoding"}) {
    INFO(name);
    const auto request = RequestOf(
        callers.handle(Incoming({{name, "10.0.0.1:80/3fa0"}}), RequestId{}));
    CHECK(FindHeader(request.headers, name).empty());
  }
  const auto request = RequestOf(callers.handle(
      Incoming({{"Last-Event-Id", "12"}, {"X-Length-Hint", "30"}}),
      RequestId{}));
  CHECK(FindHeader(request.headers, "Last-Event-Id") == "12");
  CHECK(FindHeader(request.headers, "X-Length-Hint") == "30");
}

TEST_CASE("An unknown route is reported as missing only with a configuration") {
  SECTION("without a configuration the caller is told to retry") {
    const auto handling = Callers(nullptr).handle(Incoming(), RequestId{});
    REQUIRE(std::holds_alternative<Refusal>(handling));
    CHECK(std::get<Refusal>(handling).status == 503);
  }
  SECTION("a path that matches no route is not found") {
    IncomingRequest incoming = Incoming();
    incoming.target = "/desk/1";
    const auto handling = Callers(Routes()).handle(incoming, RequestId{});
    REQUIRE(std::holds_alternative<Refusal>(handling));
    CHECK(std::get<Refusal>(handling).status == 404);
  }
}

TEST_CASE("A refusal's status promises only what is known") {
  const CallerInterface callers = Callers(Routes());
  Refusal refusal{503, RunState::kNotRun, "engines_busy", "",
                  milliseconds(350)};
  SECTION("not run, with a Retry-After") {
    const WholeAnswer answer = callers.render_refusal(refusal, "id");
    CHECK(answer.status == 503);
    CHECK(FindHeader(answer.headers, "Retry-After") == "0.350");
  }
  SECTION("deadline passed before sending: not run, with a Retry-After") {
    const WholeAnswer answer = callers.render_refusal(
        {504, RunState::kNotRun, "deadline", "", Duration{0}}, "id");
    CHECK(answer.status == 503);
    CHECK(FindHeader(answer.headers, "Retry-After") == "0.400");
  }
  SECTION("deadline passed after sending: no promise") {
    const WholeAnswer answer = callers.render_refusal(
        {504, RunState::kUnknown, "deadline", "", Duration{0}}, "id");
    CHECK(answer.status == 504);
    CHECK(FindHeader(answer.headers, "Retry-After").empty());
  }
  for (const int status : {408, 421, 429, 503}) {
    INFO(status);
    refusal.status = status;
    refusal.run = RunState::kUnknown;
    const WholeAnswer answer = callers.render_refusal(refusal, "id");
    CHECK(answer.status == 502);
    CHECK(FindHeader(answer.headers, "Retry-After").empty());
  }
}

TEST_CASE("A list of prompt parts is read completely or not at all") {
  CHECK(ReadPromptParts("") == std::vector<PromptPart>{});
  CHECK(ReadPromptParts("ff:1") == std::vector<PromptPart>{{255, 1}});
  for (const char* bad : {"ff", "ff:", ":1", "ff:1,", "xy:1", "ff:-1",
                          "ff:1;aa:2", "ff:99999999999"}) {
    INFO(bad);
    // A trailing comma leaves nothing to read after it.
    if (std::string(bad) == "ff:1,") {
      CHECK(ReadPromptParts(bad));
    } else {
      CHECK_FALSE(ReadPromptParts(bad));
    }
  }
}

}  // namespace
}  // namespace indigolead::platform
