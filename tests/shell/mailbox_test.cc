#include "runtime/mailbox.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace indigolead {
namespace {

TEST_CASE("Mailbox is bounded and keeps the order of messages") {
  boost::asio::io_context io;

  SECTION("Push returns false when the ring is full") {
    Mailbox<int> mailbox(&io, 2, [](int&&) {});
    CHECK(mailbox.Push(1));
    CHECK(mailbox.Push(2));
    CHECK_FALSE(mailbox.Push(3));
    mailbox.Close();
  }

  SECTION("the reader receives every message in order") {
    constexpr int kMessages = 20000;
    std::vector<int> seen;
    Mailbox<int> mailbox(&io, 64, [&](int&& n) {
      seen.push_back(n);
      if (n + 1 == kMessages) {
        mailbox.Close();
      }
    });
    std::thread writer([&mailbox] {
      for (int n = 0; n < kMessages;) {
        n += mailbox.Push(int{n}) ? 1 : 0;
      }
    });
    io.run();
    writer.join();
    REQUIRE(seen.size() == kMessages);
    CHECK(seen.front() == 0);
    CHECK(seen.back() == kMessages - 1);
  }
}

}  // namespace
}  // namespace indigolead
