#include <catch2/catch.hpp>

#include "standins/standin_version.h"

TEST_CASE("The stand-in carries the product's version") {
  CHECK(std::string(indigolead::standins::Version()) == INDIGOLEAD_VERSION);
}
