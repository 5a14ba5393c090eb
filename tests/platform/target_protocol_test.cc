#include "platform/target_protocol.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/hostile_json.h"

namespace indigolead::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetRecord Target() {
  TargetRecord target;
  target.id = "i-7";
  target.address = "10.128.0.9:8080";
  return target;
}

CallerRequest Request() {
  CallerRequest request;
  request.caller_id = "9c41";
  request.method = "POST";
  request.path = "/audit/2f";
  request.headers = {{"Host", "list.example"}, {"X-Request-Id", "9c41"}};
  request.body = "prices";
  request.prompt_parts = {{1, 100}};
  request.priority = 12;
  return request;
}

std::string HeaderOf(const TargetRequest& call, const std::string& name) {
  const auto it =
      std::find_if(call.headers.begin(), call.headers.end(),
                   [&](const auto& field) { return field.name == name; });
  return it == call.headers.end() ? "" : it->value;
}

TEST_CASE("A request states its target, its time left and its request id") {
  const TargetDialect dialect = MakePlatformDialect();
  const TargetRequest call =
      dialect.run(Request(), Target(), {milliseconds(1234), std::nullopt, ""});
  CHECK(call.method == "POST");
  CHECK(call.path == "/audit/2f");
  CHECK(call.body == "prices");
  CHECK(HeaderOf(call, "Host") == "list.example");
  CHECK(HeaderOf(call, "X-Expect-Instance") == "i-7");
  CHECK(HeaderOf(call, "X-Deadline-Ms") == "1234");
  CHECK(HeaderOf(call, "X-Request-Priority") == "9");
  CHECK(call.echoed == HttpHeader{"X-Request-Id", "9c41"});
  CHECK(HeaderOf(call, "X-Kv-Source").empty());

  SECTION("with KV cache held by another engine") {
    const TargetRequest from =
        dialect.run(Request(), Target(),
                    {milliseconds(1), KvHandle{"10.1.64.9:8080", "3fa0"}, ""});
    CHECK(HeaderOf(from, "X-Kv-Source") == "10.1.64.9:8080/3fa0");
  }
  SECTION("resuming after an event that the caller already has") {
    CallerRequest request = Request();
    request.headers.push_back({"last-event-id", "3"});
    const TargetRequest on =
        dialect.run(request, Target(), {milliseconds(1), std::nullopt, "12"});
    CHECK(HeaderOf(on, "Last-Event-Id") == "12");
    CHECK(HeaderOf(on, "last-event-id").empty());
  }
  SECTION("for prefill only") {
    CHECK(HeaderOf(dialect.prefill(Request(), Target(),
                                   {milliseconds(9), std::nullopt, ""}),
                   "X-Stage") == "prefill");
  }
}

TEST_CASE("A response's head states whether the request has run") {
  const TargetDialect dialect = MakePlatformDialect();
  struct Row {
    int status;
    bool not_executed;
    AnswerMeaning meaning;
  };
  const Row rows[] = {
      {200, false, AnswerMeaning::kAnswer},
      {404, false, AnswerMeaning::kAnswer},
      {500, false, AnswerMeaning::kAnswer},
      {504, false, AnswerMeaning::kAnswer},
      // Without the header the target promises nothing, but the status does.
      {408, false, AnswerMeaning::kUnknown},
      {429, false, AnswerMeaning::kUnknown},
      {503, false, AnswerMeaning::kUnknown},
      {400, true, AnswerMeaning::kNotRun},
      {408, true, AnswerMeaning::kNotRun},
      {429, true, AnswerMeaning::kNotRun},
      {503, true, AnswerMeaning::kNotRun},
      {421, false, AnswerMeaning::kWrongTarget},
      {421, true, AnswerMeaning::kWrongTarget},
      // These statuses belong to requests that have run.
      {200, true, AnswerMeaning::kUnknown},
      {404, true, AnswerMeaning::kUnknown},
      {500, true, AnswerMeaning::kUnknown},
      {502, true, AnswerMeaning::kUnknown},
      {504, true, AnswerMeaning::kUnknown}};
  for (const Row& it : rows) {
    INFO(it.status << " marked " << it.not_executed);
    std::vector<HttpHeader> headers;
    if (it.not_executed) {
      headers.push_back({"x-not-executed", "1"});
    }
    CHECK(dialect.meaning(it.status, headers) == it.meaning);
  }
}

/// Guards against passing on as a success what the target has not signed.
TEST_CASE("A success needs the target's signature") {
  const TargetDialect dialect = MakePlatformDialect();
  for (const int status : {200, 201, 204, 206, 299}) {
    INFO(status);
    CHECK_FALSE(dialect.is_proved(status, {}));
    CHECK_FALSE(dialect.is_proved(status, {{"X-Response-Signature", ""}}));
    CHECK(dialect.is_proved(status, {{"x-response-signature", "3e1b.07"}}));
  }
  for (const int status : {304, 400, 404, 421, 500, 503}) {
    INFO(status);
    CHECK(dialect.is_proved(status, {}));
  }
}

/// Guards against passing on coded bytes to callers that ask for no coding.
TEST_CASE("A success with a content coding is not the target's") {
  const TargetDialect dialect = MakePlatformDialect();
  const HttpHeader signature{"X-Response-Signature", "3e1b.07"};
  for (const std::string coding : {"gzip", "br", "x-unknown", "identity", ""}) {
    INFO(coding);
    CHECK_FALSE(
        dialect.is_proved(200, {signature, {"content-encoding", coding}}));
    CHECK(dialect.is_proved(503, {{"Content-Encoding", coding}}));
  }
}

TEST_CASE("A KV handle is read, or the error explains why there is none") {
  const TargetDialect dialect = MakePlatformDialect();
  const auto handle = dialect.read_handle(
      Target(), {200, R"({"kv-handle":"3fa0","tokens":1460,"version":1})"});
  REQUIRE(IsOk(handle));
  CHECK(ValueOf(handle) == KvHandle{"10.128.0.9:8080", "3fa0"});
  CHECK(ErrorOf(dialect.read_handle(Target(), {503, ""})).code ==
        ErrorCode::kOverloaded);
  CHECK(ErrorOf(dialect.read_handle(Target(), {421, ""})).code ==
        ErrorCode::kUnavailable);
  CHECK(ErrorOf(dialect.read_handle(Target(), {200, "{}"})).code ==
        ErrorCode::kProtocol);
}

TEST_CASE("An order is valid only for the state that it was based on") {
  const StageOrder order{"i-7", EngineRole::kPrefill, 41};
  const TargetRequest call = MakeOrderCall(Target(), order, "front-1", 2);
  CHECK(call.path == "/api/order");
  CHECK(HeaderOf(call, "X-Expect-Instance") == "i-7");
  const auto body = nlohmann::json::parse(call.body);
  CHECK(body.at("op") == "stage");
  CHECK(body.at("stage") == "prefill");
  CHECK(body.at("holder") == "front-1");
  CHECK(body.at("fence") == 41);
  CHECK(body.at("expect") == 2);

  CHECK(ReadOrderOutcome({202, ""}) == StageOrderOutcome::kAccepted);
  CHECK(ReadOrderOutcome({200, ""}) == StageOrderOutcome::kAccepted);
  CHECK(ReadOrderOutcome({409, ""}) == StageOrderOutcome::kRefused);
  CHECK(ReadOrderOutcome({412, ""}) == StageOrderOutcome::kRefused);
  CHECK(ReadOrderOutcome({500, ""}) == StageOrderOutcome::kUnknown);
}

// The engine has restarted, and its new registration has not arrived yet. The
// order count in the report belongs to a run that this entry does not know.
TEST_CASE("A report of another run is rejected") {
  TargetRecord target = Target();
  const TargetAnswer report{200, R"({"seq":2,"born":1000})"};
  CHECK(ValueOf(ReadOrderCount(target, report)) == 2);
  target.run = TargetRun{1000};
  CHECK(ValueOf(ReadOrderCount(target, report)) == 2);
  target.run = TargetRun{999};
  REQUIRE_FALSE(IsOk(ReadOrderCount(target, report)));
  CHECK(ErrorOf(ReadOrderCount(target, report)).code == ErrorCode::kConflict);
  CHECK_FALSE(IsOk(ReadOrderCount(target, {200, R"({"seq":2,"born":"x"})"})));
}

/// Guards against a crash that is not counted because the target is back, under
/// another id or run, before it is probed.
TEST_CASE("A liveness probe tells one run of a target from the next") {
  TargetRecord target = Target();
  target.run = TargetRun{1000};
  const auto read = [&](const TargetAnswer& answer) {
    return MakePlatformDialect().read_liveness(target, answer);
  };
  SECTION("the run answers") {
    CHECK(IsOk(read({200, R"({"seq":2,"born":1000})"})));
  }
  SECTION("another run answers") {
    const Status status = read({200, R"({"seq":0,"born":1001})"});
    REQUIRE_FALSE(IsOk(status));
    CHECK(ErrorOf(status).code == ErrorCode::kConflict);
  }
  SECTION("another target answers") {
    const Status status = read({421, ""});
    REQUIRE_FALSE(IsOk(status));
    CHECK(ErrorOf(status).code == ErrorCode::kConflict);
    CHECK(ErrorOf(status).peer == "i-7");
  }
  SECTION("an answer that does not state the run proves nothing") {
    CHECK(IsOk(read({200, R"({"seq":2})"})));
    CHECK(IsOk(read({200, "no JSON"})));
    target.run.reset();
    CHECK(IsOk(read({200, R"({"seq":0,"born":1001})"})));
  }
  SECTION("an error of a gateway shows neither the target nor its end") {
    const int status = GENERATE(502, 503, 504);
    REQUIRE_FALSE(IsOk(read({status, ""})));
    CHECK(ErrorOf(read({status, ""})).code == ErrorCode::kProtocol);
    CHECK(IsOk(read({status, R"({"seq":2,"born":1000})"})));
  }
}

TEST_CASE("A target's limit is a number of requests per second") {
  const auto limit_of = [](const std::vector<HttpHeader>& headers) {
    return MakePlatformDialect().advertised_limit(Target(), headers);
  };
  CHECK(ValueOf(limit_of({{"Content-Type", "text/plain"}})) == std::nullopt);
  CHECK(ValueOf(limit_of({{"Server-Limit", "5.4"}})) == 5.4);
  CHECK(ValueOf(limit_of({{"server-limit", "0"}})) == 0.0);
  const std::string bad =
      GENERATE("", "many", "-1", "5.4 ", "5,4", "inf", "nan", "1e999", "0x5");
  INFO(bad);
  REQUIRE_FALSE(IsOk(limit_of({{"Server-Limit", bad}})));
  CHECK(ErrorOf(limit_of({{"Server-Limit", bad}})).peer == "i-7");
}

TEST_CASE("A target's Retry-After is a number of seconds") {
  const TargetDialect dialect = MakePlatformDialect();
  const auto rest = [&](int status, std::vector<HttpHeader> headers) {
    return dialect.requested_cooldown(Target(), status, headers);
  };
  SECTION("with 503, whether or not the response proves that nothing ran") {
    CHECK(ValueOf(rest(503, {{"Retry-After", "3"}})) == seconds(3));
    CHECK(ValueOf(rest(503, {{"retry-after", "0.25"}})) == milliseconds(250));
    CHECK(ValueOf(rest(503, {{"X-Not-Executed", "1"}, {"Retry-After", "2"}})) ==
          seconds(2));
    CHECK(ValueOf(rest(503, {{"Retry-After", "31536000"}})) ==
          seconds(31536000));
  }
  SECTION("the longest if the header occurs twice") {
    CHECK(ValueOf(rest(503, {{"Retry-After", "3"}, {"Retry-After", "1"}})) ==
          seconds(3));
  }
  SECTION("none with another status, without the header, or with zero") {
    CHECK(ValueOf(rest(200, {{"Retry-After", "3"}})) == Duration{0});
    CHECK(ValueOf(rest(503, {})) == Duration{0});
    CHECK(ValueOf(rest(503, {{"Retry-After", "0"}})) == Duration{0});
  }
  SECTION("an error that quotes a value that is not a number") {
    for (const char* it : {"-1", "soon", "", "nan", "inf", "3 s",
                           "Thu, 01 Jan 2026 00:00:00 GMT"}) {
      INFO(it);
      const auto error = rest(503, {{"Retry-After", it}});
      REQUIRE_FALSE(IsOk(error));
      CHECK(ErrorOf(error).peer == "i-7");
      CHECK(ErrorOf(error).detail ==
            "\"" + std::string(it) + "\" is not a number of seconds");
    }
  }
}

TEST_CASE("Any response may state that the target is leaving") {
  const TargetDialect dialect = MakePlatformDialect();
  const auto leaving = [&](std::vector<HttpHeader> headers) {
    return dialect.says_leaving(Target(), headers);
  };
  CHECK(ValueOf(leaving({{"server-leaving", "1"}})));
  CHECK_FALSE(ValueOf(leaving({{"Server-Leaving", "0"}})));
  CHECK_FALSE(ValueOf(leaving({})));
  CHECK_FALSE(IsOk(leaving({{"Server-Leaving", "perhaps"}})));
}

// Guards against an answer that overflows the stack, makes the log as long as
// it likes, or is read as another number than it states.
TEST_CASE("Hostile bodies of targets are values or bounded errors") {
  const TargetDialect dialect = MakePlatformDialect();
  CheckHostileDocuments(
      {{"kv-handle", "3fa0"}, {"tokens", 1460}, {"version", 1}},
      [&](const std::string& text) {
        return dialect.read_handle(Target(), {200, text});
      });
  CheckHostileDocuments({{"seq", 2}, {"born", 1000}},
                        [](const std::string& text) {
                          return ReadOrderCount(Target(), {200, text});
                        });
  for (const char* raw : {"-1", "1.5", "1e300", "true", "null"}) {
    INFO(raw);
    const std::string body = R"({"seq":)" + std::string(raw) + "}";
    CHECK_FALSE(IsOk(ReadOrderCount(Target(), {200, body})));
  }
  TargetRecord target = Target();
  target.run = TargetRun{1000};
  for (const std::string& text :
       UnreadableDocuments({{"seq", 2}, {"born", 1001}})) {
    INFO(text.substr(0, 400));
    CHECK(IsOk(dialect.read_liveness(target, {200, text})));
  }
}

// Guards against a handle's name that ends a header and begins another.
TEST_CASE("A KV handle's name can stand in a header and a path") {
  const TargetDialect dialect = MakePlatformDialect();
  for (const std::string& name :
       {std::string(), std::string("a b"), std::string("a\r\nHost: x"),
        std::string("a/../b"), std::string("a?b"), std::string("a#b"),
        std::string(257, 'a')}) {
    INFO(name);
    const nlohmann::json reply = {{"kv-handle", name}};
    CHECK_FALSE(IsOk(dialect.read_handle(Target(), {200, reply.dump()})));
  }
}

// Guards against a header of a target that makes the log as long as it likes.
TEST_CASE("Errors quote a target's headers in part at most") {
  const TargetDialect dialect = MakePlatformDialect();
  const std::string value = std::string(10'000, 'x');
  const auto limit =
      dialect.advertised_limit(Target(), {{"Server-Limit", value}});
  REQUIRE_FALSE(IsOk(limit));
  CheckError(ErrorOf(limit));
  const auto cooldown =
      dialect.requested_cooldown(Target(), 503, {{"Retry-After", value}});
  REQUIRE_FALSE(IsOk(cooldown));
  CheckError(ErrorOf(cooldown));
  const auto leaving =
      dialect.says_leaving(Target(), {{"Server-Leaving", value}});
  REQUIRE_FALSE(IsOk(leaving));
  CheckError(ErrorOf(leaving));
}

}  // namespace
}  // namespace indigolead::platform
