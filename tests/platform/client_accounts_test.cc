// Callers' keys on the platform: from the operator's document to what a target
// is told.

#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/request/header_fields.h"
#include "entry/direct_dispatcher.h"
#include "platform/caller_words.h"
#include "platform/documents.h"
#include "platform/target_words.h"
#include "runtime/clock.h"

namespace indigolead::platform {
namespace {

using Json = nlohmann::json;

constexpr char kKey[] = "j3nr26tta828m82thhkm";
constexpr char kOtherKey[] = "gjqnirth5mgjy5rcpihh";

/// A configuration with a keyed and an open route, and no accounts.
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

/// An entry's callers' side, with the routes that it was told last.
class Callers {
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

  /// Returns the status of a refusal, or 0 for a request that goes on.
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
  CallerInterface interface_ = MakePlatformCallers(
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

TEST_CASE("A caller is known by its key and told to the target by its name") {
  Callers callers;
  SECTION("before any configuration nothing is known of keys") {
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 503);
    CHECK(callers.StatusOf("/audit/1", {}) == 503);
  }
  callers.OnDocument(Document(1, {Account("salon", {kKey, kOtherKey})}));

  SECTION("with a key it goes on, and the key stays here") {
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
  SECTION("an open route asks for none") {
    const CallerRequest request = callers.Forwarded(
        "/menu/1", {{"X-Tenant", "salon"}, Bearer("unknown")});
    CHECK(request.client_account.empty());
    const TargetRequest call =
        MakePlatformDialect().run(request, TargetRecord(), {});
    CHECK(FieldOf(call, "X-Tenant").empty());
    CHECK(FieldOf(call, "Authorization").empty());
  }
  SECTION("a path that no route begins is not found, key or not") {
    CHECK(callers.StatusOf("/desk/1", {}) == 404);
    CHECK(callers.StatusOf("/desk/1", {Bearer(kKey)}) == 404);
  }
  SECTION("no line tells a key") {
    callers.StatusOf("/audit/1", {Bearer("unknown-secret")});
    callers.StatusOf("/desk/1", {Bearer(kKey)});
    REQUIRE(callers.lines.size() == 2);
    for (const std::string& it : callers.lines) {
      CHECK(it.find("secret") == std::string::npos);
      CHECK(it.find(kKey) == std::string::npos);
    }
  }
}

TEST_CASE("Where no accounts are listed a key is the target's affair") {
  Callers callers;
  callers.OnDocument(DocumentWithoutAccounts(1));
  const CallerRequest request =
      callers.Forwarded("/audit/1", {Bearer(kKey), {"X-Tenant", "salon"}});
  const TargetRequest call =
      MakePlatformDialect().run(request, TargetRecord(), {});
  CHECK(FieldOf(call, "Authorization") == std::string("Bearer ") + kKey);
  CHECK(FieldOf(call, "X-Tenant").empty());
}

TEST_CASE("An account's rank goes before its route's") {
  Callers callers;
  Json first = Account("salon", {kKey});
  first["priority"] = 0;
  callers.OnDocument(Document(1, {first, Account("owner", {kOtherKey})}));
  CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).priority == 0);
  CHECK(callers.Forwarded("/audit/1", {Bearer(kOtherKey)}).priority == 4);
}

// A caller keeps its connection, or its process, and goes on with the key that
// it has; what it may do changes from one request to the next, with the version
// of the configuration in force when each is read.
TEST_CASE("Each request is judged by the keys in force when it came") {
  Callers callers;
  callers.OnDocument(
      Document(1, {Account("salon", {kKey}), Account("owner", {kOtherKey})}));
  CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).client_account ==
        "salon");

  SECTION("a key taken away is refused, the account's other keys are not") {
    callers.OnDocument(Document(2, {Account("salon", {"new"})}));
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 401);
    CHECK(callers.StatusOf("/audit/1", {Bearer("new")}) == 0);

    SECTION("and is let in again once it was given back") {
      callers.OnDocument(Document(3, {Account("salon", {"new", kKey})}));
      CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 0);
    }
  }
  SECTION("an account without its last key lets nobody in") {
    callers.OnDocument(Document(2, {Account("salon", {})}));
    CHECK(callers.StatusOf("/audit/1", {Bearer(kKey)}) == 401);
  }
  SECTION("a key that changes hands is its new holder's") {
    callers.OnDocument(
        Document(2, {Account("salon", {}), Account("owner", {kKey})}));
    CHECK(callers.Forwarded("/audit/1", {Bearer(kKey)}).client_account ==
          "owner");
  }
  SECTION("a caller that changes keys is another account's") {
    CHECK(callers.Forwarded("/audit/1", {Bearer(kOtherKey)}).client_account ==
          "owner");
  }
}

// The operator's document cannot be used. The one in force stays; the reason is
// logged, and must help without holding a key.
TEST_CASE("A document with unusable accounts says why, without a key") {
  SECTION("two accounts with one key") {
    const std::string problem =
        ProblemOf({Account("salon", {kKey}), Account("owner", {kKey})});
    CHECK(problem.find("salon and owner share a key") != std::string::npos);
    CHECK(problem.find(kKey) == std::string::npos);
  }
  SECTION("the same key twice in one account does no harm") {
    CHECK(ProblemOf({Account("salon", {kKey, kKey})}) == "none");
  }
  SECTION("a key that no caller could send") {
    for (const std::string& key :
         {std::string(), std::string("a b"), std::string("a\r\nX-Tenant: b"),
          std::string(300, 'k')}) {
      const std::string problem = ProblemOf({Account("salon", {key})});
      CHECK(problem.find("salon has a key that no caller could send") !=
            std::string::npos);
    }
  }
  SECTION("a name that would break out of its header field") {
    CHECK(ProblemOf({Account("salon\r\nX-Tenant: owner", {kKey})})
              .find("name is empty") != std::string::npos);
  }
  SECTION("more keys than any fleet gives out") {
    constexpr int kKeys = 100'000;
    std::vector<std::string> keys;
    keys.reserve(kKeys);
    for (int n = 0; n < kKeys; ++n) {
      keys.push_back("k" + std::to_string(n));
    }
    CHECK(ProblemOf({Account("salon", keys)}).find("more than 50000 keys") !=
          std::string::npos);
  }
  SECTION("fields of another type") {
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
  SECTION("text that breaks off within a key") {
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
