#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "platform/object_store.h"
#include "runtime/clock.h"
#include "tests/platform/support/metadata_store.h"

namespace indigolead::testing {
namespace {

// The store charges a tenth for reads that may be old, and does not count them
// in its rate. Every page of such a list must say so.
TEST_CASE("A list that may be old says so on each page") {
  const bool may_be_stale = GENERATE(false, true);
  MetadataStore store;
  for (int n = 0; n < 9; ++n) {  // Three pages of four.
    store.Put("entries", "front-" + std::to_string(n), "x");
  }
  boost::asio::io_context io;
  MetricsRegistry metrics;
  platform::PlatformObjectStore client(&io, {store.address()}, BootTimeNow,
                                       &metrics);
  const CallOptions options{CallPriority::kStatus, std::chrono::seconds(10),
                            may_be_stale};
  std::size_t listed = 0;
  client.List("entries/", options,
              [&](const Result<ObjectStore::Listing>& result) {
                REQUIRE(IsOk(result));
                listed = ValueOf(result).objects.size();
                io.stop();
              });
  io.run_for(std::chrono::seconds(10));
  CHECK(listed == 9);
  CHECK(store.stale_lists() == (may_be_stale ? 3 : 0));
}

}  // namespace
}  // namespace indigolead::testing
