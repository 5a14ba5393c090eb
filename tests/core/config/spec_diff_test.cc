#include "core/config/spec_diff.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

DeploymentSpec BaseSpec() {
  DeploymentSpec spec;
  spec.name = "tarifa-llm";
  spec.models = {{"tarifa", "3", {}}};
  spec.client_accounts.resize(1);
  spec.client_accounts[0].name = "gran-via";
  return spec;
}

TEST_CASE("Two deployments are compared field by field") {
  const DeploymentSpec before = BaseSpec();
  DeploymentSpec after = before;

  SECTION("equal deployments have no changes") {
    CHECK(DiffSpecs(before, after).empty());
  }
  SECTION("a changed field is reported by its path") {
    after.client_accounts[0].priority = 7;
    after.request.deadline = std::chrono::seconds(5);
    const std::vector<FieldChange> expected = {
        {"client-account gran-via priority", "0", "7"},
        {"deadline", "1m", "5s"}};
    CHECK(DiffSpecs(before, after) == expected);
  }
  SECTION("fields of a removed model are reported as absent") {
    after.models.clear();
    const std::vector<FieldChange> expected = {
        {"model tarifa adapters", "none", ""},
        {"model tarifa version", "3", ""}};
    CHECK(DiffSpecs(before, after) == expected);
  }
}

TEST_CASE("Concurrent edits of one revision are shown side by side") {
  const DeploymentSpec base = BaseSpec();
  DeploymentSpec yours = base;
  DeploymentSpec theirs = base;
  yours.models[0].version = "4";
  theirs.models[0].version = "5";
  theirs.quarantine_kills = 3;

  const std::vector<EditConflict> expected = {
      {"model tarifa version", "3", "4", "5", true},
      {"quarantine_kills", "2", "2", "3", false}};
  CHECK(CompareEdits(base, yours, theirs) == expected);
  CHECK(ToText(expected) ==
        "field                 was  yours  theirs\n"
        "model tarifa version  3    4      5       both changed it\n"
        "quarantine_kills      2    2      3\n");
}

}  // namespace
}  // namespace indigolead
