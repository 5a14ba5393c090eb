#include "entry/target_follower.h"

#include <utility>

#include "entry/events.h"
#include "observe/event_fields.h"

namespace indigolead {

TargetFollower::TargetFollower(ObjectStore* store, ListWatcher::Options options,
                               Hooks hooks, Clock clock, RunAfter run_after,
                               EventLog log)
    : hooks_(std::move(hooks)),
      clock_(clock),
      log_(log),
      watcher_(store, std::move(options), WatcherHooks(), std::move(clock),
               std::move(run_after), std::move(log)) {}

ListWatcher::Hooks TargetFollower::WatcherHooks() {
  ListWatcher::Hooks hooks;
  hooks.on_state = [this](const ListWatcher::State& state, std::uint64_t) {
    OnListed(state);
  };
  // When all entries start at once, their list requests queue at the store, for
  // seconds if there are thousands of targets. An entry serves with the targets
  // listed so far until the list is complete.
  hooks.on_part = [this](const ListWatcher::State& state) { OnListed(state); };
  hooks.on_error = [this](const Error& error) {
    if (std::exchange(following_, false)) {
      log_(kStoreLost,
           {{"error", ToString(error)},
            {"silent_ms", FormatMilliseconds(clock_() - watcher_.heard_at())}});
    }
    hooks_.on_lost(watcher_.heard_at());
  };
  hooks.jitter = hooks_.jitter;
  return hooks;
}

void TargetFollower::OnListed(const ListWatcher::State& state) {
  NoteFollowed();
  listed_ = true;
  hooks_.on_listed(state);
}

void TargetFollower::NoteFollowed() {
  if (!std::exchange(following_, true)) {
    log_(kStoreBack, {});
  }
  hooks_.on_followed();
}

void TargetFollower::Tick() {
  // An established watch shows that the store is reachable again, even if the
  // list has not changed.
  if (watcher_.following() && !following_) {
    NoteFollowed();
  }
  const auto due = hooks_.list_needed_at();
  if (due && clock_() >= *due && watcher_.fresh_at() < *due) {
    watcher_.Refresh();
  }
  hooks_.on_known_until(watcher_.fresh_at());
}

}  // namespace indigolead
