#include <catch2/catch.hpp>
#include <sstream>

#include "cli/commands.h"

namespace indigolead::cli {
namespace {

using Catch::Matchers::Contains;

/// Exit code and output of one command line.
struct Outcome {
  int code;
  std::string out;
  std::string err;
};

Outcome RunWith(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommandLine(arguments, out, err);
  return {code, out.str(), err.str()};
}

TEST_CASE("The command line prints its help and version") {
  SECTION("help lists every command") {
    const Outcome outcome = RunWith({"help"});
    CHECK(outcome.code == kExitOk);
    for (const Command& it : Commands()) {
      CHECK_THAT(outcome.out, Contains("  " + it.name + " "));
    }
  }
  SECTION("every command accepts --help") {
    for (const Command& it : Commands()) {
      INFO(it.name);
      const Outcome outcome = RunWith({it.name, "--help"});
      CHECK(outcome.code == kExitOk);
      CHECK_THAT(outcome.out, Contains("Usage: indigolead " + it.name));
      CHECK_THAT(outcome.out, Contains(it.summary));
    }
  }
  SECTION("the version is printed") {
    CHECK(RunWith({"--version"}).out == "indigolead " INDIGOLEAD_VERSION "\n");
  }
}

TEST_CASE("Invalid arguments exit with code 2 and print what is accepted") {
  struct Case {
    std::vector<std::string> arguments;
    const char* message;
  };
  const Case cases[] = {
      {{}, "Usage: indigolead COMMAND"},
      {{"entri"}, "\"entri\" is not a command; did you mean entry?"},
      {{"entry", "--setings=a"}, "--setings is not a flag of this command"},
      {{"entry", "--flagfile=a"}, "--flagfile is not a flag of this command"},
      {{"version", "--settings=a"}, "accepted are none"},
      {{"entry", "--settings"}, "--settings needs a value"},
      {{"entry"}, "--settings FILE is missing"},
      {{"entry", "file"}, "expected arguments none, got 1"},
      {{"entry", "--settings=/nonexistent"}, "cannot be read: No such file"},
      {{"check"}, "give DIR, or --settings FILE"},
  };
  for (const Case& it : cases) {
    const Outcome outcome = RunWith(it.arguments);
    CHECK(outcome.code == kExitUsage);
    CHECK_THAT(outcome.err, Contains(it.message));
    CHECK(outcome.out.empty());
  }
}

}  // namespace
}  // namespace indigolead::cli
