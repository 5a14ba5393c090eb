#include "tests/support/run_until.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace indigolead {

void RunUntil(boost::asio::io_context* io, const std::function<bool()>& done) {
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done() && std::chrono::steady_clock::now() < limit) {
    io->restart();
    io->run_one_for(std::chrono::milliseconds(20));
  }
  REQUIRE(done());
}

}  // namespace indigolead
