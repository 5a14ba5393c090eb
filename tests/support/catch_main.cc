#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

// Randomised tests draw from this seed unless RC_PARAMS says otherwise, so that
// every run gives the same verdict. RC_PARAMS="seed=N" repeats another run.
constexpr char kRapidcheckParams[] = "seed=20261202";

}  // namespace

int main(int argc, char* argv[]) {
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", kRapidcheckParams, kKeepExisting);
  return Catch::Session().run(argc, argv);
}
