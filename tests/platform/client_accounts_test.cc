// Tests API keys on the platform, from the operator's document to the headers
// that a target receives.

#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/request/header_fields.h"
#include "entry/direct_dispatcher.h"
#include "platform/caller_protocol.h"
#include "platform/documents.h"
#include "platform/target_protocol.h"
#include "runtime/clock.h"

namespace indigolead::platform {
namespace {

using Json = nlohmann::json;

constexpr char kKey[] = "j3nr26tta828m82thhkm";
constexpr char kOtherKey[] = "gjqnirth5mgjy5rcpihh";

/// Returns a configuration with a route that requires a key, an open route, and
/// no accounts.
Json DocumentWithoutAccounts(std::uint64_t version) {
  const Json keyed = {
      {"name", "audit"},  {"host", "list.example"}, {"path-prefix", "/audit/"},
      {"kind", "stream"}, {"priority", 4},          {"service", "llm"},
      {"public", false}};
  Json open = keyed;
  open["name"] = "menu";
  open["path-prefix"] = "/menu/";
  open["public"] = true;
  return {{"version", version},
          {"routes", {keyed, open}},
          {"services", Json::array()}};
}

Json Document(std::uint64_t version, const std::vector<Json>& accounts) {
  Json document = DocumentWithoutAccounts(version);
  document["tenants"] = accounts;
  return document;
}

Json Account(const std::string& name, const std::vector<std::string>& keys) {
  return {{"name", name}, {"api-keys", keys}};
}

std::string ProblemOf(const std::vector<Json>& accounts) {
  const auto decoded = DecodeConfiguration(Document(1, accounts).dump());
  return IsOk(decoded) ? "none" : ToString(ErrorOf(decoded));
}

/// The caller interface of an entry, with the routes set last.
class CallerFixture {
 public:
  void OnDocument(const Json& document) {
    auto decoded = DecodeConfiguration(document.dump());
    REQUIRE(IsOk(decoded));
    routes_ = std::make_shared<const RouteTable>(ValueOf(std::move(decoded)));
  }

  CallerHandling Ask(const std::string& path, std::vector<HeaderField> more) {
    IncomingRequest incoming;
    incoming.method = "POST";
    incoming.target = path;
    incoming.headers = {{"Host", "list.example"}, {"X-Request-Id", "9c41"}};
    incoming.headers.insert(incoming.headers.end(), more.begin(), more.end());
    return interface_.handle(incoming, RequestId{});
  }

  /// Returns the status of a refusal, or 0 if the request is accepted.
  int StatusOf(const std::string& path, std::vector<HeaderField> more) {
    const CallerHandling handling = Ask(path, std::move(more));
    const auto* refusal = std::get_if<Refusal>(&handling);
    return refusal ? refusal->status : 0;
  }

  CallerRequest Forwarded(const std::string& path,
                          std::vector<HeaderField> more) {
    CallerHandling handling = Ask(path, std::move(more));
    REQUIRE(std::holds_alternative<CallerRequest>(handling));
    return std::get<CallerRequest>(std::move(handling));
  }

  std::vector<std::string> lines;

 private:
  std::shared_ptr<const RouteTable> routes_;
  CallerInterface interface_ = MakePlatformCallerInterface(
      [this] { return routes_; }, BootTimeNow, MakeSeededRandom(1),
      [this](const EventInfo& event, const EventFields& fields) {
        std::string line(event.name);
        for (const auto& [name, value] : fields) {
          line.append(" ").append(name).append("=").append(value);
        }
        lines.push_back(line);
      });
};

HeaderField Bearer(const std::string& key) {
  return {"Authorization", "Bearer " + key};
}

std::string FieldOf(const TargetRequest& call, const std::string& name) {
  std::string values;
  for (const HttpHeader& it : call.headers) {
    if (EqualsIgnoringCase(it.name, name)) {
      values += (values.empty() ? "" : ",") + it.value;
    }
  }
  return values;
}

TEST_CASE(
    "A key identifies the caller and the target receives the account's name") {
  CallerFixture callers;
  SECTION("before the first configuration no key can be checked") {
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 503);
    CHECK(callers.StatusOf("/audit/1", {}) == 503);
  }
  callers.OnDocument(Document(1, {Account("salon", {kKey, kOtherKey})}));

  SECTION("with a known key it is accepted and the key is not forwarded") {
    const CallerRequest request = callers.Forwarded(
        "/audit/1", {Bearer(kKey), {"X-Tenant", "owner"}, {"X-Model", "m"}});
    CHECK(request.client_account == "salon");
    TargetRecord target;
    const TargetDialect dialect = MakePlatformDialect();
    for (const TargetRequest& call :
         {dialect.run(request, target, {}),
          dialect.prefill(request, target, {}),
          dialect.run(request, target,
                      {Duration{1}, KvHandle{"10.1.0.1:80", "h"}, "3"})}) {
      CHECK(FieldOf(call, "X-Tenant") == "salon");
      CHECK(FieldOf(call, "Authorization").empty());
      CHECK(FieldOf(call, "X-Model") == "m");
    }
  }
  SECTION("without a known key it is refused") {
    CHECK(callers.StatusOf("/audit/1", {}) == 401);
    CHECK(callers.StatusOf("/audit/1", {Bearer("unknown")}) == 401);
    CHECK(callers.StatusOf("/audit/1", {{"Authorization", kKey}}) == 401);
    CHECK(callers.StatusOf("/audit/1", {{"X-Api-Key", kKey}}) == 401);
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey), Bearer(kKey)}) == 401);
  }
  SECTION("an open route requires no key") {
    const CallerRequest request = callers.Forwarded(
        "/menu/1", {{"X-Tenant", "salon"}, Bearer("unknown")});
    CHECK(request.client_account.empty());
    const TargetRequest call =
        MakePlatformDialect().run(request, TargetRecord(), {});
    CHECK(FieldOf(call, "X-Tenant").empty());
    CHECK(FieldOf(call, "Authorization").empty());
  }
  SECTION("a path that matches no route is not found, with or without a key") {
    CHECK(callers.StatusOf("/desk/1", {}) == 404);
    CHECK(callers.StatusOf("/desk/1", {Bearer(kKey)}) == 404);
  }
  SECTION("no log line contains a key") {
    callers.StatusOf("/audit/1", {Bearer("unknown-secret")});
    callers.StatusOf("/desk/1", {Bearer(kKey)});
    REQUIRE(callers.lines.size() == 2);
    for (const std::string& it : callers.lines) {
      CHECK(it.find("secret") == std::string::npos);
      CHECK(it.find(kKey) == std::string::npos);
    }
  }
}

TEST_CASE("Without listed accounts the key is forwarded to the target") {
  CallerFixture callers;
  callers.OnDocument(DocumentWithoutAccounts(1));
  const CallerRequest request =
      callers.Forwarded("/audit/1", {Bearer(kKey), {"X-Tenant", "salon"}});
  const TargetRequest call =
      MakePlatformDialect().run(request, TargetRecord(), {});
  CHECK(FieldOf(call, "Authorization") == std::string("Bearer ") + kKey);
  CHECK(FieldOf(call, "X-Tenant").empty());
}

TEST_CASE("An account's priority overrides its route's") {
  CallerFixture callers;
  Json first = Account("salon", {kKey});
  first["priority"] = 0;
  callers.OnDocument(Document(1, {first, Account("owner", {kOtherKey})}));
  CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).priority == 0);
  CHECK(callers.Forwarded("/audit/1", {Bearer(kOtherKey)}).priority == 4);
}

// A caller keeps its connection and its key while the configuration changes.
// Each request must be checked against the configuration in force when it is
// read.
TEST_CASE("Each request is checked against the keys in force when it arrives") {
  CallerFixture callers;
  callers.OnDocument(
      Document(1, {Account("salon", {kKey}), Account("owner", {kOtherKey})}));
  CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).client_account ==
        "salon");

  SECTION("a revoked key is refused, the account's other keys are not") {
    callers.OnDocument(Document(2, {Account("salon", {"new"})}));
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 401);
    CHECK(callers.StatusOf("/audit/1", {Bearer("new")}) == 0);

    SECTION("and is accepted again once it is restored") {
      callers.OnDocument(Document(3, {Account("salon", {"new", kKey})}));
      CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 0);
    }
  }
  SECTION("an account without keys admits nobody") {
    callers.OnDocument(Document(2, {Account("salon", {})}));
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 401);
  }
  SECTION("a key moved to another account identifies that account") {
    callers.OnDocument(
        Document(2, {Account("salon", {}), Account("owner", {kKey})}));
    CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).client_account ==
          "owner");
  }
  SECTION("a caller that changes keys belongs to the other account") {
    CHECK(callers.Forwarded("/audit/1", {Bearer(kOtherKey)}).client_account ==
          "owner");
  }
}

// The operator's document is invalid. The configuration in force stays; the
// logged reason must be useful without containing a key.
TEST_CASE("The error for invalid accounts states the reason without a key") {
  SECTION("two accounts share a key") {
    const std::string problem =
        ProblemOf({Account("salon", {kKey}), Account("owner", {kKey})});
    CHECK(problem.find("salon and owner share a key") != std::string::npos);
    CHECK(problem.find(kKey) == std::string::npos);
  }
  SECTION("a duplicate key within one account is accepted") {
    CHECK(ProblemOf({Account("salon", {kKey, kKey})}) == "none");
  }
  SECTION("a key that is not a valid header value") {
    for (const std::string& key :
         {std::string(), std::string("a b"), std::string("a\r\nX-Tenant: b"),
          std::string(300, 'k')}) {
      const std::string problem = ProblemOf({Account("salon", {key})});
      CHECK(problem.find("salon has a key that no caller could send") !=
            std::string::npos);
    }
  }
  SECTION("a name that is not a valid header value") {
    CHECK(ProblemOf({Account("salon\r\nX-Tenant: owner", {kKey})})
              .find("name is empty") != std::string::npos);
  }
  SECTION("more keys than the maximum") {
    constexpr int kKeys = 100'000;
    std::vector<std::string> keys;
    keys.reserve(kKeys);
    for (int n = 0; n < kKeys; ++n) {
      keys.push_back("k" + std::to_string(n));
    }
    CHECK(ProblemOf({Account("salon", keys)}).find("more than 50000 keys") !=
          std::string::npos);
  }
  SECTION("fields of the wrong type") {
    const Json nameless = {{"name", 7}, {"api-keys", Json::array()}};
    const Json numbered = {{"name", "salon"}, {"api-keys", Json::array({7})}};
    const Json keyless = {{"name", "salon"}};
    CHECK(ProblemOf({keyless}) != "none");
    CHECK(ProblemOf({nameless}) != "none");
    CHECK(ProblemOf({numbered}) != "none");
    Json document = DocumentWithoutAccounts(1);
    document["tenants"] = "salon";
    CHECK_FALSE(IsOk(DecodeConfiguration(document.dump())));
  }
  SECTION("JSON truncated within a key") {
    std::string text = Document(1, {Account("salon", {kKey})}).dump();
    text.resize(text.find(kKey) + 10);
    const auto decoded = DecodeConfiguration(text);
    REQUIRE_FALSE(IsOk(decoded));
    const std::string problem = ToString(ErrorOf(decoded));
    CHECK(problem.find("not JSON from byte") != std::string::npos);
    CHECK(problem.find(std::string(kKey).substr(0, 6)) == std::string::npos);
  }
}

}  // namespace
}  // namespace indigolead::platform
