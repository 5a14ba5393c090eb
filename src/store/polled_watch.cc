#include "store/polled_watch.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// A call in flight for longer than this has nothing to tell: the store
/// answers at once if there is a change, and takes a quarter of a second where
/// it is slow.
constexpr Duration kAnswerTime = std::chrono::milliseconds(500);

}  // namespace

PolledWatch::PolledWatch(std::uint64_t from_version,
                         const WatchPace::Options& pace, Hooks hooks,
                         Clock clock, RunAfter run_after)
    : version_(from_version),
      pace_(pace),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      run_after_(std::move(run_after)),
      known_until_(clock_()),
      alive_(std::make_shared<bool>(true)) {
  Poll();
}

PolledWatch::~PolledWatch() { *alive_ = false; }

TimePoint PolledWatch::known_until(TimePoint now) const {
  const bool would_have_told = waiting_ && now - sent_at_ >= kAnswerTime &&
                               !(hooks_.relayed && hooks_.relayed());
  return would_have_told ? now : known_until_;
}

void PolledWatch::Poll() {
  waiting_ = true;
  sent_at_ = clock_();
  hooks_.poll(version_,
              [this, alive = alive_](const Result<WatchBatch>& answer) {
                if (*alive) {
                  OnAnswer(answer);
                }
              });
}

Duration PolledWatch::Take(const WatchBatch& batch) {
  version_ = std::max(version_, batch.version);
  known_until_ = clock_();
  return batch.relayed
             ? Duration{0}
             : pace_.RestAfter(known_until_ - sent_at_, !batch.events.empty());
}

void PolledWatch::OnAnswer(const Result<WatchBatch>& answer) {
  waiting_ = false;
  if (!IsOk(answer)) {
    hooks_.on_end(ErrorOf(answer));
    return;
  }
  const WatchBatch& batch = ValueOf(answer);
  const Duration rest = Take(batch);
  const auto alive = alive_;
  if (!batch.events.empty()) {
    hooks_.on_events(batch.events);
  }
  if (!*alive) {
    return;
  }
  run_after_(rest, [this, alive] {
    if (*alive) {
      Poll();
    }
  });
}

}  // namespace indigolead
