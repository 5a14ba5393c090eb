#include "core/placement/role_load.h"

#include <catch2/catch.hpp>

#include "core/base/random.h"
#include "core/placement/prefill_time_model.h"
#include "core/placement/role_load_meter.h"

namespace indigolead {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

Duration Ms(double ms) {
  return duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

/// Actual speed of an engine, which the model has to estimate.
struct ActualEngine {
  double fixed_ms;
  double tokens_per_ms;
};

/// Draws random prompt sizes and waiting times.
class Traffic {
 public:
  explicit Traffic(std::uint64_t seed) : random_(MakeSeededRandom(seed)) {}
  double RandomUnit() { return ToUnitInterval(random_()); }
  /// Returns a prompt length of 200 to 12,000 tokens, biased to small ones.
  double Tokens() { return 200 + 11800 * RandomUnit() * RandomUnit(); }

 private:
  RandomSource random_;
};

bool IsWithin(double value, double of, double share) {
  return value >= of * (1 - share) && value <= of * (1 + share);
}

double PredictMs(const PrefillTimeModel& model, double tokens) {
  return std::chrono::duration<double, std::milli>(model.Predict(tokens))
      .count();
}

// An entry process sees its own calls only. Three in four of them wait behind
// prompts of other entry processes, some prefixes assumed to be cached are not,
// and some calls hang. None of this may distort the estimate.
TEST_CASE("Prefill times are estimated from calls that include waiting") {
  for (const ActualEngine engine :
       {ActualEngine{9, 598}, ActualEngine{93, 56}, ActualEngine{1, 5000},
        ActualEngine{40, 20}}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Traffic traffic(seed);
      PrefillTimeModel model{PrefillTimeModel::Options{}};
      for (int n = 0; n < 200; ++n) {
        const double tokens = traffic.Tokens();
        double ms = engine.fixed_ms + tokens / engine.tokens_per_ms;
        ms += traffic.RandomUnit() < 0.75 ? ms * 3 * traffic.RandomUnit() : 0;
        ms += traffic.RandomUnit() < 0.1 ? 6000 / engine.tokens_per_ms : 0;
        ms = traffic.RandomUnit() < 0.02 ? 1600 : ms;
        model.OnPrefillDone(tokens, Ms(ms));
      }
      INFO(engine.fixed_ms << " ms fixed, tokens per ms: "
                           << engine.tokens_per_ms << ", seed " << seed);
      for (const double tokens : {1000.0, 4000.0, 9000.0}) {
        CHECK(IsWithin(PredictMs(model, tokens),
                       engine.fixed_ms + tokens / engine.tokens_per_ms, 0.15));
      }
    }
  }
}

TEST_CASE("A single outlier does not change the prefill time model") {
  Traffic traffic(7);
  PrefillTimeModel model{PrefillTimeModel::Options{}};
  for (int n = 0; n < 256; ++n) {
    const double tokens = traffic.Tokens();
    model.OnPrefillDone(tokens, Ms(9 + tokens / 598));
  }
  const double before = PredictMs(model, 4000);
  for (const double outlier_ms : {0.0, 0.001, 60000.0}) {
    PrefillTimeModel copy = model;
    copy.OnPrefillDone(4000, Ms(outlier_ms));
    for (int n = 0; n < 8; ++n) {
      copy.OnPrefillDone(4000, Ms(9 + 4000 / 598.0));
    }
    CHECK(IsWithin(PredictMs(copy, 4000), before, 0.05));
  }
}

// Prompts of a single size cannot separate the fixed part from the part for
// each token, but their own prefill time is known. An engine ten times as fast
// as assumed must not be taken for a slow one.
TEST_CASE("Prompts of a single size predict their own prefill time") {
  for (const double ms : {17.0, 170.0}) {
    PrefillTimeModel model{PrefillTimeModel::Options{}};
    for (int n = 0; n < 64; ++n) {
      model.OnPrefillDone(5000, Ms(ms));
    }
    CHECK(IsWithin(PredictMs(model, 5000), ms, 0.01));
  }
}

TEST_CASE("The share of decode engines follows from the binding limit") {
  SECTION("fewer slots per engine need more decode engines") {
    const double many = DecodeShare(AssumedRoleLoad({128, 0, 0}));
    const double few = DecodeShare(AssumedRoleLoad({16, 0, 0}));
    const double fewest = DecodeShare(AssumedRoleLoad({8, 0, 0}));
    CHECK(many < 0.1);
    CHECK(few == Approx(1.0 / 3));
    CHECK(fewest == Approx(0.5));
  }
  SECTION("slots without memory for them do not count") {
    CHECK(DecodeShare(AssumedRoleLoad({128, 500000, 0})) ==
          Approx(0.256 / 1.256));
  }
  SECTION("a saturated link limits an engine with free slots") {
    const DecodeWork work{1, 1000, 50000};
    CHECK(EngineSeconds(work, {100, 1e6, 1e-5}) == Approx(0.5));
  }
  SECTION("without load the share is zero") { CHECK(DecodeShare({0, 0}) == 0); }
}

// Two thirds of the answers wait for a slot. If that time counted as load, an
// overload would demand ever more decode engines until none were left for
// prefill.
TEST_CASE("Queueing time does not count as load") {
  PrefillTimeModel prefill_time{PrefillTimeModel::Options{}};
  for (int n = 0; n < 64; ++n) {
    prefill_time.OnPrefillDone(1000.0 + n, Ms((1000.0 + n) / 100));
  }
  RoleLoadMeter meter{RoleLoadMeter::Options{}};
  TimePoint now{seconds(100)};
  const EngineLimits limits{10, 0, 0};
  CHECK_FALSE(meter.Load(limits, prefill_time, now));
  for (int n = 0; n < 600; ++n) {
    now += milliseconds(50);
    meter.OnPrefillDone(1000, now);  // 10 ms of engine time.
    meter.OnFirstEvent(milliseconds(n % 3 == 0 ? 40 : 900));
    meter.OnAnswered(milliseconds(60), 1000, now);  // 100 ms of one slot.
    if (n == 300) {
      CHECK_FALSE(meter.Load(limits, prefill_time, now));  // Too early.
    }
  }
  const auto load = meter.Load(limits, prefill_time, now);
  REQUIRE(load);
  CHECK(IsWithin(load->decode_load / load->prefill_load, 1, 0.05));
}

}  // namespace
}  // namespace indigolead
