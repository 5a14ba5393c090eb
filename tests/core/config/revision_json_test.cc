#include "core/config/revision_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/config/spec_fields.h"
#include "tests/support/field_count.h"
#include "tests/support/hostile_json.h"

namespace indigolead {
namespace {

/// Returns a revision in which every field differs from its default.
Revision FullRevision() {
  Revision revision;
  revision.number = 7;
  revision.author = "ana";
  revision.accepted_at = 1'700'000'000'000'001;
  revision.source_version = "4f2c";
  revision.note = "rollback to 4";
  revision.nonce = "00112233445566778899aabbccddeeff";
  DeploymentSpec& spec = revision.spec;
  spec.name = "tarifa-llm";
  spec.template_name = "price-rules";
  spec.kind = DeploymentKind::kService;
  spec.path_prefix = "/menu";
  spec.host = "menu.example";
  spec.models = {{"tarifa", "3", {"bilbao", "oviedo"}}};
  spec.client_accounts = {{"salon-1",
                           std::string(64, 'a'),
                           -2,
                           3,
                           1.5,
                           900.25,
                           17,
                           {"tarifa"},
                           {"bilbao"}}};
  spec.request = {
      std::chrono::milliseconds(1500), 0.25, 5, false, {"GET"}, 1234, 56, 78};
  spec.roles = {1, 2, true, 9.5, std::chrono::seconds(90), 18, 6};
  spec.targets_check_fencing = false;
  spec.max_change_share = 0.5;
  spec.quarantine_kills = 3;
  spec.quarantine_time = std::chrono::minutes(5);
  revision.digest = SpecDigest(spec);
  return revision;
}

std::string ErrorText(std::string_view json) {
  const Result<Revision> result = RevisionFromJson(json);
  return IsOk(result) ? "no error" : ErrorOf(result).detail;
}

TEST_CASE("A revision round-trips through JSON") {
  const Revision revision = FullRevision();

  SECTION("a revision with every field set") {
    const Result<Revision> read = RevisionFromJson(ToJson(revision));
    REQUIRE(IsOk(read));
    CHECK(ValueOf(read) == revision);
  }
  SECTION("a default revision") {
    const Result<Revision> read = RevisionFromJson(ToJson(Revision{}));
    REQUIRE(IsOk(read));
    CHECK(ValueOf(read) == Revision{});
  }
  SECTION("unknown fields are ignored and missing ones get defaults") {
    const Result<Revision> read = RevisionFromJson(
        R"({"number":3,"new":[1],"spec":{"name":"a","newer":{"x":1}}})");
    REQUIRE(IsOk(read));
    Revision expected;
    expected.number = 3;
    expected.spec.name = "a";
    CHECK(ValueOf(read) == expected);
  }
}

TEST_CASE("An invalid revision is rejected with the name of the field") {
  struct Case {
    const char* json;
    const char* message;
  };
  const Case cases[] = {
      {"{", "expected a revision as JSON"},
      {"[]", ": expected an object"},
      {R"({"number":-1})", "number: expected an integer from 0"},
      {R"({"number":1.5})", "number: expected an integer"},
      {R"({"number":"1"})", "number: expected an integer"},
      {R"({"digest":"xyz"})", "digest: expected 16 hexadecimal digits"},
      {R"({"spec":[]})", "spec.: expected an object"},
      {R"({"spec":{"name":null}})", "spec.name: expected a string"},
      {R"({"spec":{"kind":"modle"}})", "spec.kind: expected \"model\""},
      {R"({"spec":{"models":[{"adapters":[1]}]}})",
       "spec.models[0].adapters[0]: expected a string"},
      {R"({"spec":{"roles":{"automatic":1}}})",
       "spec.roles.automatic: expected true or false"},
      {R"({"spec":{"client_accounts":[{"weight":4294967296}]}})",
       "spec.client_accounts[0].weight: expected an integer"},
      {R"({"spec":{"request":{"deadline_us":-5}}})",
       "spec.request.deadline_us: expected microseconds from 0"},
      {R"({"spec":{"quarantine_time_us":9223372036854775807}})",
       "spec.quarantine_time_us: expected microseconds from 0"},
  };
  for (const Case& it : cases) {
    INFO("json: " << it.json);
    CHECK_THAT(ErrorText(it.json), Catch::Matchers::StartsWith(it.message));
  }
}

TEST_CASE("The digest depends only on the specification") {
  const Revision revision = FullRevision();

  SECTION("equal specifications have equal digests") {
    CHECK(SpecDigest(FullRevision().spec) == revision.digest);
  }
  SECTION("one changed field changes the digest") {
    DeploymentSpec changed = revision.spec;
    changed.client_accounts[0].max_concurrent += 1;
    CHECK(SpecDigest(changed) != revision.digest);
  }
  SECTION("the digest text has sixteen digits") {
    CHECK(DigestText(0xab) == "00000000000000ab");
  }
}

/// Visitor that counts the fields it is called with.
struct FieldCounter {
  std::size_t* count;

  template <typename T>
  void operator()(const char*, T&) const {
    ++*count;
  }
};

// A field that is added to a type but not to spec_fields.h would be silently
// lost when a revision passes through the store.
TEST_CASE("Every field of the configuration types is listed in spec_fields.h") {
  using testing::FieldCount;
  std::size_t count = 0;
  const FieldCounter counter{&count};
  const Revision revision = FullRevision();
  const DeploymentSpec& spec = revision.spec;

  SECTION("of models") {
    internal::VisitModel(spec.models[0], counter);
    CHECK(count == FieldCount<ModelSpec>());
  }
  SECTION("of client accounts") {
    internal::VisitClientAccount(spec.client_accounts[0], counter);
    CHECK(count == FieldCount<ClientAccountSpec>());
  }
  SECTION("of roles") {
    internal::VisitRoles(spec.roles, counter);
    CHECK(count == FieldCount<RoleSpec>());
  }
  SECTION("of the request policy") {
    internal::VisitRequestPolicy(spec.request, counter);
    CHECK(count == FieldCount<RequestPolicy>());
  }
  SECTION("of deployments") {
    internal::VisitDeployment(spec, counter);
    CHECK(count == FieldCount<DeploymentSpec>());
  }
}

// Guards against a revision of another writer that overflows the stack or whose
// keys are logged.
TEST_CASE("Hostile revisions are values or bounded errors") {
  CheckHostileDocuments(
      nlohmann::json::parse(ToJson(FullRevision())),
      [](const std::string& text) { return RevisionFromJson(text); });
}

}  // namespace
}  // namespace indigolead
