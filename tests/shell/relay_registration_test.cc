#include "entry/relay_registration.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

const RelayCandidate kRelay{"front-1", "bilbao-a", "10.1.0.38:7380", 0.09};

TEST_CASE("The relay lines of a registration are decoded as encoded") {
  CHECK(DecodeRelay("front-1", EncodeRelay(kRelay)) == kRelay);
  CHECK(DecodeRelay("front-1", "incarnation=1\nrenewals=7\n" +
                                   EncodeRelay(kRelay)) == kRelay);
  CHECK(EncodeRelay({"front-1", "bilbao-a", "", 1}).empty());
}

TEST_CASE("A registration that cannot be read names no relay") {
  const std::string good = EncodeRelay(kRelay);
  for (const std::string& text :
       {std::string(), std::string("incarnation=1"), std::string("null"),
        std::string("relay_address=\n"), "relay_address=x\n" + good,
        std::string("relay_address=10.0.0.1:7380\nfailure_domain=a\n"),
        std::string("relay_address=10.0.0.1:7380\nprocessor=much\n")}) {
    INFO(text);
    CHECK(DecodeRelay("front-1", text).address.empty());
  }
}

}  // namespace
}  // namespace indigolead
