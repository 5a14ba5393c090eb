#include "core/config/declarations.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/config/declaration_keys.h"

namespace indigolead {
namespace {

using Catch::Matchers::Contains;

std::string HashOf(char digit) { return std::string(64, digit); }

constexpr char kTemplates[] = R"([template price-rules]
parameter.model_version = 3
parameter.adapters =
kind = model
deadline = 30s

[template price-rules model tarifa]
version = ${model_version}
adapters = ${adapters}

[template price-rules client-account]
parameter.salons = 1
priority = 10
max_concurrent = ${salons}
)";

std::string Deployment() {
  return R"([deployment tarifa-llm]
template = price-rules
adapters = bilbao, oviedo

[client-account tarifa-llm gran-via]
api_key_sha256 = )" +
         HashOf('a') + "\nsalons = 12\n";
}

std::string ProblemsOf(const std::vector<DeclarationFile>& files) {
  const auto read = ReadDeclarations(files);
  return read.index() == 0 ? "" : ToText(std::get<1>(read));
}

/// Returns the problems of the two valid files with `added` appended to the
/// second, whose first eight lines are those of `Deployment`.
std::string ProblemsWith(const std::string& added) {
  return ProblemsOf({{"t.ini", kTemplates}, {"d.ini", Deployment() + added}});
}

DeploymentSpec ExpectedSpec() {
  DeploymentSpec spec;
  spec.name = "tarifa-llm";
  spec.template_name = "price-rules";
  spec.request.deadline = std::chrono::seconds(30);
  spec.models = {{"tarifa", "3", {"bilbao", "oviedo"}}};
  ClientAccountSpec account;
  account.name = "gran-via";
  account.api_key_sha256 = HashOf('a');
  account.priority = 10;
  account.max_concurrent = 12;
  spec.client_accounts = {account};
  return spec;
}

TEST_CASE("A deployment is built from its template and parameters") {
  SECTION("defaults, parameters and account values are combined") {
    const auto read =
        ReadDeclarations({{"t.ini", kTemplates}, {"d.ini", Deployment()}});
    REQUIRE(read.index() == 0);
    REQUIRE(std::get<0>(read).size() == 1);
    CHECK(std::get<0>(read)[0] == ExpectedSpec());
  }
  SECTION("an account's own key overrides the template's") {
    const auto read = ReadDeclarations(
        {{"t.ini", kTemplates}, {"d.ini", Deployment() + "priority = -5\n"}});
    REQUIRE(read.index() == 0);
    CHECK(std::get<0>(read)[0].client_accounts[0].priority == -5);
  }
  SECTION("a template in the same file takes precedence") {
    std::string own = kTemplates;
    own.replace(own.find("30s"), 3, "31s");
    const auto read = ReadDeclarations(
        {{"t.ini", kTemplates}, {"d.ini", own + "\n" + Deployment()}});
    REQUIRE(read.index() == 0);
    CHECK(std::get<0>(read)[0].request.deadline == std::chrono::seconds(31));
  }
}

TEST_CASE("A written declaration parses to the same specification") {
  DeploymentSpec spec = ExpectedSpec();
  SECTION("with models and client accounts") {}
  SECTION("with empty lists and amounts of every unit") {
    spec.models[0].adapters.clear();
    spec.request.idempotent_methods.clear();
    spec.request.deadline = std::chrono::microseconds(1'000'500);
    spec.request.max_body_bytes = (1U << 20) + 1;
    spec.max_change_share = 1.0 / 3;
  }
  SECTION("of a service") {
    spec.kind = DeploymentKind::kService;
    spec.models.clear();
    spec.path_prefix = "/menu";
    spec.host = "menu.example";
  }
  const auto read = ReadDeclarations({{"x.ini", WriteDeclaration(spec)}});
  INFO(ProblemsOf({{"x.ini", WriteDeclaration(spec)}}));
  REQUIRE(read.index() == 0);
  CHECK(std::get<0>(read) == std::vector<DeploymentSpec>{spec});
}

TEST_CASE(
    "An invalid declaration is reported with file, line, key and remedy") {
  struct Case {
    std::string added;
    const char* message;
  };
  const std::string account = "[client-account tarifa-llm b]\n";
  const std::string key_b = "api_key_sha256 = " + HashOf('b') + "\n";
  const Case cases[] = {
      {"prioriti = 1\n",
       "d.ini:8: [client-account tarifa-llm gran-via] prioriti: is not a "
       "known key; did you mean priority?"},
      {"priority = high\n",
       "d.ini:8: [client-account tarifa-llm gran-via] "
       "priority: \"high\" is not accepted; accepted is "
       "an integer from -100 to 100"},
      {account,
       "d.ini:8: [client-account tarifa-llm b] api_key_sha256: is "
       "missing; accepted is 64"},
      {account + "api_key_sha256 = 12\n", "api_key_sha256: \"12\" is not"},
      {account + "api_key_sha256 = " + HashOf('a') + "\n",
       "d.ini:6: [client-account tarifa-llm gran-via] api_key_sha256: is also "
       "the key of client account b; give each account its own key"},
      {account + key_b + "salons = 0\n",
       "d.ini:10: [client-account tarifa-llm b] salons: sets max_concurrent "
       "in t.ini:14; \"0\" is not accepted; accepted is an integer from 1"},
      {account + key_b + "models = trifa\n",
       "d.ini:10: [client-account tarifa-llm b] models: \"trifa\" is not "
       "served by deployment tarifa-llm; accepted are tarifa"},
      {"[client-account salon-app b]\n" + key_b,
       "belongs to [deployment salon-app], which is not declared"},
      {"[deployment tarifa-llm]\n",
       "d.ini:8: [deployment tarifa-llm] appears "
       "twice, first on line 1"},
      {"[deployment B]\n", "d.ini:8: [deployment B] \"B\" is not accepted"},
      {"[deploiment b]\n",
       "[deploiment b] is not a known section; did you "
       "mean deployment?"},
      {"[deployment b]\n", "d.ini:8: [deployment b] template: is missing"},
      {"[deployment b]\ntemplate = price-rule\n",
       "d.ini:9: [deployment b] template: \"price-rule\" is not a template; "
       "did you mean price-rules?"},
      {"[deployment b]\ntemplate = price-rules\n",
       "d.ini:8: [deployment b] adapters: is missing; it is a parameter "
       "without default of [template price-rules]"},
      {"[deployment b]\ntemplate = price-rules\nadapters = none\ndeadline = "
       "5s\n",
       "d.ini:11: [deployment b] deadline: is not a known key; accepted are "
       "template, model_version, adapters"},
      {"[deployment b]\ntemplate = price-rules\nadapters = a b\n",
       "d.ini:10: [deployment b] adapters: sets adapters in t.ini:9"},
      {"[template x model m]\nversion = 1\n",
       "belongs to [template x], which this file lacks"},
      {"[template x model m]\nversion = 1\n[deployment b]\ntemplate = x\n",
       "d.ini:11: [deployment b] template: \"x\" is not a template"},
      {"[template x]\nkind = model\n[deployment b]\ntemplate = x\n",
       "[deployment b] serves no model"},
      {"[template x]\nkind = service\n[deployment b]\ntemplate = x\n",
       "[deployment b] is a service without path_prefix and host"},
      {"[template x]\n[deployment b]\ntemplate = x\n",
       "d.ini:8: [template x] kind: is missing"},
      {"[template x]\nkind = ${y}\n[deployment b]\ntemplate = x\n",
       "d.ini:9: [template x] kind: uses ${y}, which is not a parameter"},
      {"[template x]\nkind = service\npath_prefix = /m\n"
       "[deployment b]\ntemplate = x\n[deployment c]\ntemplate = x\n",
       "[deployment c] has the same host and path_prefix as deployment b"},
      {"[template x]\nkind = model\ndeadline = 5\n[deployment b]\ntemplate = "
       "x\n",
       "d.ini:10: [template x] deadline: \"5\" is not accepted; accepted is a "
       "duration with unit"},
  };
  for (const Case& it : cases) {
    INFO("added: " << it.added);
    CHECK_THAT(ProblemsWith(it.added), Contains(it.message));
  }
}

/// Returns the declaration files of the example `name`.
std::vector<DeclarationFile> ExampleFiles(const std::string& name) {
  const std::filesystem::path dir = INDIGOLEAD_SOURCE_DIR "/examples/" + name;
  std::vector<DeclarationFile> files;
  for (const auto& it : std::filesystem::directory_iterator(dir)) {
    std::ostringstream text;
    text << std::ifstream(it.path()).rdbuf();
    files.push_back({it.path().filename(), text.str()});
  }
  return files;
}

TEST_CASE("The example declarations are valid") {
  for (const char* name : {"unas-del-norte", "flashwatch"}) {
    INFO(name << "\n" << ProblemsOf(ExampleFiles(name)));
    const auto read = ReadDeclarations(ExampleFiles(name));
    REQUIRE(read.index() == 0);
    CHECK(std::get<0>(read).size() == 2);
  }
}

TEST_CASE("docs/DECLARATIONS.md matches the key tables") {
  const std::ifstream file(INDIGOLEAD_SOURCE_DIR "/docs/DECLARATIONS.md");
  std::ostringstream page;
  page << file.rdbuf();
  INFO(
      "To regenerate: build/indigolead help declarations > "
      "docs/DECLARATIONS.md");
  CHECK(page.str() == DeclarationsMarkdown());
}

}  // namespace
}  // namespace indigolead
