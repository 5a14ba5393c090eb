// Feeds the parsers of external text with random corruptions of valid examples:
// bytes changed, removed, inserted or duplicated, and text truncated. The
// random seeds are fixed so that failures are reproducible, and the number of
// rounds is bounded so that the test can be part of every run.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "core/config/declarations.h"
#include "core/config/revision_json.h"
#include "core/config/settings_table.h"

namespace indigolead {
namespace {

constexpr int kRounds = 3000;

using Random = std::mt19937_64;

std::string ReadFile(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::size_t RandomBelow(Random* random, std::size_t limit) {
  return limit == 0 ? 0 : (*random)() % limit;
}

/// Returns `text` with one random corruption.
std::string Corrupt(std::string text, Random* random) {
  const std::size_t at = RandomBelow(random, text.size());
  const std::size_t length = RandomBelow(random, 40);
  switch (RandomBelow(random, 5)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, text.substr(RandomBelow(random, text.size()), length));
      break;
    case 2:
      text.insert(at, 1, static_cast<char>(RandomBelow(random, 256)));
      break;
    case 3:
      text.resize(at);
      break;
    default:
      if (!text.empty()) {
        text[at] = static_cast<char>(RandomBelow(random, 256));
      }
  }
  return text;
}

std::string CorruptRepeatedly(const std::string& text, Random* random) {
  std::string corrupted = text;
  for (std::size_t i = 0; i <= RandomBelow(random, 4); ++i) {
    corrupted = Corrupt(std::move(corrupted), random);
  }
  return corrupted;
}

/// Checks that every problem names its file and has a description.
void CheckProblems(const std::vector<ConfigProblem>& problems) {
  REQUIRE_FALSE(problems.empty());
  for (const ConfigProblem& it : problems) {
    REQUIRE_FALSE(it.detail.empty());
    REQUIRE_FALSE(it.file.empty());
  }
}

TEST_CASE("Corrupted declarations are rejected with a problem or round-trip") {
  const std::string example =
      ReadFile(INDIGOLEAD_SOURCE_DIR "/examples/unas-del-norte/templates.ini") +
      ReadFile(INDIGOLEAD_SOURCE_DIR
               "/examples/unas-del-norte/deployments.ini");
  Random random(20261202);
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = CorruptRepeatedly(example, &random);
    INFO("round " << i << "\n" << text);
    const auto read = ReadDeclarations({{"x.ini", text}});
    if (read.index() == 1) {
      CheckProblems(std::get<1>(read));
      continue;
    }
    // An accepted declaration must round-trip through the writer.
    for (const DeploymentSpec& it : std::get<0>(read)) {
      const auto again = ReadDeclarations({{"x.ini", WriteDeclaration(it)}});
      REQUIRE(again.index() == 0);
      REQUIRE(std::get<0>(again) == std::vector<DeploymentSpec>{it});
    }
  }
}

TEST_CASE("Corrupted settings are parsed or rejected with a problem") {
  const std::string example =
      "[instance]\nname = entry-1\nfailure_domain = bilbao-a\nregion = norte\n"
      "[store]\naddress = 127.0.0.1:7000\ncall_deadline = 1500ms\n"
      "[links]\nseeds = 10.0.0.1:70, 10.0.0.2:71\nmax_message_bytes = 64MiB\n"
      "[entry]\nrun_controller = true\n[log]\nminimum = info\n";
  Random random(20261203);
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = CorruptRepeatedly(example, &random);
    INFO("round " << i << "\n" << text);
    const auto read = ReadSettings("x.ini", text, SettingsRole::kEntry);
    if (read.index() == 1) {
      CheckProblems(std::get<1>(read));
    }
  }
}

TEST_CASE(
    "Corrupted revisions are rejected with a detail or can be re-encoded") {
  Revision revision;
  revision.number = 7;
  revision.spec.name = "tarifa-llm";
  revision.spec.models = {{"tarifa", "3", {"bilbao"}}};
  revision.spec.client_accounts.resize(2);
  const std::string example = ToJson(revision);
  Random random(20261204);
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = CorruptRepeatedly(example, &random);
    INFO("round " << i << "\n" << text);
    const Result<Revision> read = RevisionFromJson(text);
    if (IsOk(read)) {
      REQUIRE(IsOk(RevisionFromJson(ToJson(ValueOf(read)))));
    } else {
      REQUIRE_FALSE(ErrorOf(read).detail.empty());
    }
  }
}

}  // namespace
}  // namespace indigolead
