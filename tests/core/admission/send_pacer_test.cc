#include "core/admission/send_pacer.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr RateShare kTwoPerSecond{2, std::nullopt};

TEST_CASE("Requests are spaced according to the entry's share") {
  SendPacer pacer;
  CHECK(pacer.WaitFor(kStart) == std::nullopt);
  pacer.SetShare(kTwoPerSecond, 0.5, kStart, kStart);
  CHECK(pacer.WaitFor(kStart) == milliseconds(250));
  const TimePoint due = kStart + milliseconds(250);
  CHECK(pacer.WaitFor(due) == Duration{0});

  SECTION("at most one request accumulates") {
    const TimePoint late = due + seconds(30);
    CHECK(pacer.WaitFor(late) == Duration{0});
    pacer.OnSent(late);
    CHECK(pacer.WaitFor(late) == milliseconds(500));
  }
  SECTION("a request sent before it was due delays the next") {
    pacer.OnSent(due);
    pacer.OnSent(due);
    CHECK(pacer.WaitFor(due) == milliseconds(1000));
  }
  SECTION(
      "a smaller share does not delay the next request, a larger one brings it "
      "forward") {
    pacer.OnSent(due);
    pacer.SetShare({1, std::nullopt}, 0, due, due);
    CHECK(pacer.WaitFor(due) == milliseconds(500));
    pacer.SetShare({10, std::nullopt}, 0, due, due);
    CHECK(pacer.WaitFor(due) == milliseconds(100));
  }
  SECTION("frequent changes of the share allow no extra requests") {
    int sent = 0;
    for (int n = 0; n < 1000; ++n) {
      const TimePoint now = due + n * milliseconds(10);
      pacer.SetShare({n % 2 == 0 ? 1.9 : 2, std::nullopt}, 0, now, now);
      if (pacer.WaitFor(now) == Duration{0}) {
        pacer.OnSent(now);
        ++sent;
      }
    }
    CHECK(sent <= 21);
  }
  SECTION("without a share no request may be sent") {
    pacer.SetShare({}, 0, due, due);
    CHECK(pacer.WaitFor(due + seconds(60)) == std::nullopt);
    pacer.OnSent(due);
    CHECK(pacer.WaitFor(due + seconds(60)) == std::nullopt);
  }
}

TEST_CASE("No request is due before the given time") {
  SendPacer pacer;
  pacer.SetShare(kTwoPerSecond, 0, kStart + seconds(3), kStart);
  CHECK(pacer.WaitFor(kStart) == seconds(3));
}

TEST_CASE("A due request with a limited validity expires") {
  SendPacer pacer;
  pacer.SetShare({0.1, seconds(1)}, 0, kStart, kStart);
  CHECK(pacer.WaitFor(kStart + seconds(1)) == Duration{0});
  CHECK(pacer.WaitFor(kStart + seconds(2)) == seconds(8));
  CHECK(pacer.WaitFor(kStart + seconds(10)) == Duration{0});
  CHECK(pacer.WaitFor(kStart + seconds(999)) == seconds(1));
  pacer.OnSent(kStart + seconds(1000));
  CHECK(pacer.WaitFor(kStart + seconds(1000)) == seconds(10));
}

}  // namespace
}  // namespace indigolead
