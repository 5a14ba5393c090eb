#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

// Default seed of the randomised tests, so that every run has the same result.
// RC_PARAMS="seed=N" selects another seed.
constexpr char kRapidcheckParams[] = "seed=20261202";

}  // namespace

int main(int argc, char* argv[]) {
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", kRapidcheckParams, kKeepExisting);
  return Catch::Session().run(argc, argv);
}
