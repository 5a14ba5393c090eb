#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/scratch_folder.h"

namespace indigolead {
namespace {

namespace fs = std::filesystem;
using Catch::Matchers::Contains;
using Json = nlohmann::json;
using testing::HttpCall;
using testing::Process;

constexpr auto kTestTimeout = std::chrono::seconds(60);

std::string Declaration(const std::string& version) {
  return "[template t]\nkind = model\n[template t model m]\nversion = " +
         version +
         "\n[deployment d]\ntemplate = t\n[client-account d a]\n"
         "api_key_sha256 = " +
         std::string(64, 'a') + "\n";
}

/// Declares `d` with model version `version`, edited from revision `seen`.
void WriteEdit(const std::string& dir, const std::string& version,
               std::optional<int> seen) {
  fs::create_directories(dir);
  std::ofstream(dir + "/d.ini") << Declaration(version);
  if (seen) {
    std::ofstream(dir + "/seen.ini") << "[seen]\nd = " << *seen << "\n";
  }
}

/// A platform stand-in and the commands of operators against it.
class Operators {
 public:
  Operators()
      : platform_("indigolead-standin", {"platform"}),
        address_(platform_.WaitForAddress()) {}

  Process Start(std::vector<std::string> arguments) {
    arguments.push_back("--store=" + address_);
    return Process("indigolead", arguments);
  }

  /// Runs one command and returns its exit code; `output` receives its output.
  int Run(const std::vector<std::string>& arguments) {
    Process process = Start(arguments);
    const auto code = process.WaitForExit(kTestTimeout);
    output = process.output();
    return code.value_or(-1);
  }

  Json History() {
    REQUIRE(Run({"history", "d", "--output=json"}) == 0);
    return Json::parse(output);
  }

  void SetFaults(const Json& faults) {
    REQUIRE(
        HttpCall(address_, "PUT", "/standin/faults", faults.dump()).status ==
        200);
  }

  void TakeStoreDown() {
    SetFaults({{"down_ms", 600000}});
    // The outage begins shortly after the answer.
    REQUIRE(testing::WaitUntil([this] {
      return HttpCall(address_, "GET", "/standin/calls").status == 0;
    }));
  }

  std::string output;
  testing::ScratchFolder folder;

 private:
  Process platform_;
  std::string address_;
};

// Two operators edit revision 1 and apply at the same moment. One edit is
// accepted as revision 2; the other is refused with both edits shown, because
// the store accepts a write only at the version that the writer read. Neither
// change is lost silently.
TEST_CASE("One of two concurrent edits is refused with both shown") {
  Operators operators;
  WriteEdit(operators.folder.Sub("a"), "1", std::nullopt);
  REQUIRE(operators.Run({"apply", operators.folder.Sub("a")}) == 0);
  int revision = 1;
  for (int round = 0; round < 5; ++round) {
    const std::string a = operators.folder.Sub("a");
    const std::string b = operators.folder.Sub("b");
    WriteEdit(a, "a" + std::to_string(round), revision);
    WriteEdit(b, "b" + std::to_string(round), revision);
    Process first = operators.Start({"apply", a, "--author=ana"});
    Process second = operators.Start({"apply", b, "--author=ben"});
    const int first_code = first.WaitForExit(kTestTimeout).value_or(-1);
    const int second_code = second.WaitForExit(kTestTimeout).value_or(-1);
    INFO(first.output() << second.output());
    REQUIRE(std::minmax(first_code, second_code) == std::minmax(0, 3));
    const bool first_lost = first_code == 3;
    const std::string told = first_lost ? first.output() : second.output();
    CHECK_THAT(told, Contains("CONFLICT: your edit was made from revision " +
                              std::to_string(revision)));
    CHECK_THAT(told, Contains("model m version") &&
                         Contains("a" + std::to_string(round)) &&
                         Contains("b" + std::to_string(round)) &&
                         Contains("both changed it"));
    ++revision;
    const Json history = operators.History();
    REQUIRE(history.size() == static_cast<std::size_t>(revision));
    CHECK(history[0]["number"] == revision);
    CHECK(history[0]["author"] == (first_lost ? "ben" : "ana"));
  }
}

// The store accepts the write but its answer is lost. The command must neither
// report a conflict with the operator's own edit nor apply it twice: it
// recognises the edit by its nonce when reading it back.
TEST_CASE("An edit whose answer was lost is accepted once") {
  Operators operators;
  const bool silent = GENERATE(false, true);
  WriteEdit(operators.folder.Sub("a"), "1", std::nullopt);
  REQUIRE(operators.Run({"apply", operators.folder.Sub("a")}) == 0);
  WriteEdit(operators.folder.Sub("a"), "2", 1);
  operators.SetFaults({{"lose_answers", 1},
                       {"lose_by_silence", silent},
                       {"only_prefix", "deployments/"}});
  const int code = operators.Run({"apply", operators.folder.Sub("a")});
  INFO(operators.output);
  CHECK(code == 0);
  CHECK_THAT(operators.output, Contains("d: revision 2 accepted"));
  const Json history = operators.History();
  REQUIRE(history.size() == 2);
  CHECK(history[0]["spec"]["models"][0]["version"] == "2");
}

TEST_CASE("Operators apply, export, audit and roll back revisions") {
  Operators operators;
  const std::string dir = operators.folder.Sub("a");
  WriteEdit(dir, "1", std::nullopt);

  SECTION("an edit that doesn't say what it was made from is refused") {
    REQUIRE(operators.Run({"apply", dir}) == 0);
    WriteEdit(operators.folder.Sub("b"), "2", std::nullopt);
    CHECK(operators.Run({"apply", operators.folder.Sub("b")}) == 3);
    CHECK_THAT(operators.output, Contains("model m version: 1 -> 2") &&
                                     Contains("use --seen=d=1"));
    CHECK(operators.Run({"apply", operators.folder.Sub("b"), "--seen=d=1"}) ==
          0);
  }
  SECTION("a bad edit names file and line, and changes nothing") {
    REQUIRE(operators.Run({"apply", dir}) == 0);
    std::ofstream(dir + "/d.ini", std::ios::app) << "priority = high\n";
    CHECK(operators.Run({"apply", dir}) == 2);
    CHECK_THAT(operators.output, Contains("/d.ini:9: [client-account d a] "
                                          "priority: \"high\""));
    CHECK(operators.History().size() == 1);
  }
  SECTION("applying an export changes nothing") {
    REQUIRE(operators.Run({"apply", dir}) == 0);
    const std::string out = operators.folder.Sub("out");
    REQUIRE(operators.Run({"export", out}) == 0);
    CHECK(operators.Run({"apply", out}) == 0);
    CHECK_THAT(operators.output, Contains("d: no change, revision 1"));
    CHECK(operators.History().size() == 1);
  }
  SECTION("a rollback is a new revision with the old content") {
    REQUIRE(operators.Run({"apply", dir}) == 0);
    WriteEdit(dir, "2", 1);
    REQUIRE(operators.Run({"apply", dir}) == 0);
    CHECK(operators.Run({"rollback", "d", "1", "--author=ana"}) == 0);
    const Json history = operators.History();
    REQUIRE(history.size() == 3);
    CHECK(history[0]["number"] == 3);
    CHECK(history[0]["note"] == "rollback to 1");
    CHECK(history[0]["digest"] == history[2]["digest"]);
    CHECK(history[0]["digest"] != history[1]["digest"]);
  }
  SECTION("each accepted change is in the audit trail") {
    REQUIRE(operators.Run({"apply", dir, "--author=ana"}) == 0);
    REQUIRE(operators.Run(
                {"drain", "side-1", "--author=ben", "--note=new memory"}) == 0);
    REQUIRE(operators.Run({"audit", "--since=1h", "--output=json"}) == 0);
    CHECK_THAT(operators.output,
               Contains("revision 1 digest") && Contains("\"ana\"") &&
                   Contains("\"ben\"") && Contains("new memory"));
  }
  SECTION("with the store down a command says so and changes nothing") {
    operators.TakeStoreDown();
    CHECK(operators.Run({"apply", dir}) == 1);
    CHECK_THAT(operators.output, Contains("store.get"));
  }
}

}  // namespace
}  // namespace indigolead
