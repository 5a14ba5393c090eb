#include "entry/target_follower.h"

#include <algorithm>
#include <iterator>
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
    NoteListed();
    hooks_.on_listed(state);
  };
  // When all entries start at once, their list requests queue at the store, for
  // seconds if there are thousands of targets. An entry serves with the targets
  // listed so far until the list is complete.
  hooks.on_part = [this](const ListWatcher::State& state) {
    NoteListed();
    hooks_.on_part(state);
  };
  hooks.on_passed = hooks_.on_passed;
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

void TargetFollower::NoteListed() {
  NoteFollowed();
  listed_ = true;
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
  AnswerQuestions();
  ReadForQuestions();
}

void TargetFollower::Confirm(TimePoint needed_at,
                             std::function<void(bool)> done) {
  if (watcher_.proven_until() >= needed_at) {
    done(true);
    return;
  }
  if (questions_.size() >= kMaxQuestions) {
    done(false);
    return;
  }
  questions_.push_back({needed_at, clock_() + kConfirmWithin, std::move(done)});
  ReadForQuestions();
}

void TargetFollower::AnswerQuestions() {
  const TimePoint now = clock_();
  const TimePoint proven = watcher_.proven_until();
  const auto ended = std::stable_partition(
      questions_.begin(), questions_.end(), [&](const Question& it) {
        return proven < it.needed_at && now < it.ends_at;
      });
  const std::vector<Question> answered(
      std::make_move_iterator(ended),
      std::make_move_iterator(questions_.end()));
  questions_.erase(ended, questions_.end());
  for (const Question& it : answered) {
    it.done(proven >= it.needed_at);
  }
}

void TargetFollower::ReadForQuestions() {
  const TimePoint now = clock_();
  const auto n = static_cast<Duration::rep>(entries_);
  const Duration interval = std::clamp<Duration>(
      n * kFleetReadGap, kMinReadInterval, kMaxReadInterval);
  if (questions_.empty() || now - read_ahead_at_ < interval) {
    return;
  }
  read_ahead_at_ = now;
  watcher_.ReadAhead();
}

}  // namespace indigolead
