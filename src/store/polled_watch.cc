#include "store/polled_watch.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// Subtracted for relays, whose response may already have been on its way to
/// the relay when it was asked.
constexpr Duration kRelayLag = std::chrono::milliseconds(300);

}  // namespace

PolledWatch::PolledWatch(std::uint64_t from_version,
                         const WatchPace::Options& pace, Hooks hooks,
                         Clock clock, RunAfter run_after)
    : version_(from_version),
      pace_(pace),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      run_after_(std::move(run_after)),
      alive_(std::make_shared<bool>(true)) {
  Poll();
}

PolledWatch::~PolledWatch() { *alive_ = false; }

void PolledWatch::Poll() {
  sent_at_ = clock_();
  hooks_.poll(version_,
              [this, alive = alive_](const Result<WatchBatch>& answer) {
                if (*alive) {
                  OnAnswer(answer);
                }
              });
}

Duration PolledWatch::ApplyBatch(const WatchBatch& batch) {
  version_ = std::max(version_, batch.version);
  known_until_ = batch.relayed ? sent_at_ - kRelayLag : sent_at_;
  heard_at_ = clock_();
  return batch.relayed
             ? Duration{0}
             : pace_.DelayAfter(heard_at_ - sent_at_, !batch.events.empty());
}

void PolledWatch::OnAnswer(const Result<WatchBatch>& answer) {
  if (!IsOk(answer)) {
    hooks_.on_end(ErrorOf(answer));
    return;
  }
  const WatchBatch& batch = ValueOf(answer);
  const Duration delay = ApplyBatch(batch);
  const auto alive = alive_;
  if (!batch.events.empty()) {
    hooks_.on_events(batch.events);
  }
  if (!*alive) {
    return;
  }
  run_after_(delay, [this, alive] {
    if (*alive) {
      Poll();
    }
  });
}

}  // namespace indigolead
