#include "store/watch_feed.h"

#include <algorithm>
#include <string>
#include <utility>

#include "store/listing_changes.h"

namespace indigolead {

WatchFeed::WatchFeed(const Options& options, Hooks hooks, Clock clock,
                     RunAfter run_after)
    : options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      run_after_(std::move(run_after)),
      called_at_(clock_() - options.min_interval),
      alive_(std::make_shared<bool>(true)) {}

WatchFeed::~WatchFeed() { *alive_ = false; }

void WatchFeed::Ask(std::uint64_t from, PolledWatch::PollDone done) {
  pending_polls_.push_back({from, clock_(), std::move(done)});
  ScheduleCall();
}

void WatchFeed::ScheduleCall() {
  if (call_scheduled_ || pending_polls_.empty()) {
    return;
  }
  call_scheduled_ = true;
  const Duration delay = std::max<Duration>(
      called_at_ + options_.min_interval - clock_(), Duration{0});
  run_after_(delay, [this, alive = alive_] {
    if (*alive) {
      Call();
    }
  });
}

std::uint64_t WatchFeed::LowestRequestedVersion() const {
  return std::min_element(pending_polls_.begin(), pending_polls_.end(),
                          [](const PendingPoll& a, const PendingPoll& b) {
                            return a.from < b.from;
                          })
      ->from;
}

void WatchFeed::Call() {
  const TimePoint now = clock_();
  const TimePoint first = pending_polls_.front().requested_at;
  const Duration wait =
      std::max<Duration>(first + options_.answer_within - now, Duration{0});
  const std::uint64_t lowest_requested = LowestRequestedVersion();
  if (lowest_requested > version_) {
    ClearEvents();  // No poller needs the changes missed since the last call.
  }
  // If a poller is behind the kept changes, rereads them from the lowest
  // requested version, for all pollers that are behind.
  rereading_ = version_ == 0 || lowest_requested < kept_from_;
  is_repeat_ = false;
  repeat_until_ = first + options_.answer_within + options_.overdue_after;
  CallFrom(rereading_ ? lowest_requested : version_, wait);
}

void WatchFeed::CallFrom(std::uint64_t from, Duration wait) {
  called_from_ = from;
  called_at_ = clock_();
  const std::uint64_t number = ++call_;
  hooks_.poll(from, wait,
              [this, alive = alive_, number](const Result<WatchBatch>& answer) {
                if (*alive && number == call_) {
                  OnAnswer(answer);
                }
              });
  run_after_(wait + options_.overdue_after, [this, alive = alive_, number] {
    if (*alive && number == call_ && clock_() <= repeat_until_) {
      is_repeat_ = false;  // It is overdue but has not failed.
      CallFrom(called_from_, Duration{0});
    }
  });
}

void WatchFeed::OnAnswer(const Result<WatchBatch>& answer) {
  ++call_;  // Disables the overdue timer of this call.
  const bool not_found =
      !IsOk(answer) && ErrorOf(answer).code == ErrorCode::kNotFound;
  if (!IsOk(answer) && !not_found && !std::exchange(is_repeat_, true)) {
    CallFrom(called_from_, Duration{0});
    return;
  }
  const bool nothing_kept = version_ == 0;
  if (not_found && (nothing_kept || !rereading_)) {
    Relist(ErrorOf(answer));
    return;
  }
  call_scheduled_ = false;
  if (!IsOk(answer)) {
    OnFailed(ErrorOf(answer));
    return;
  }
  AddEvents(ValueOf(answer));
  AnswerAll();
}

void WatchFeed::Relist(const Error& error) {
  hooks_.list([this, alive = alive_,
               error](const Result<ObjectStore::Listing>& result) {
    if (*alive) {
      OnListed(result, error);
    }
  });
}

void WatchFeed::OnListed(const Result<ObjectStore::Listing>& result,
                         const Error& error) {
  call_scheduled_ = false;
  const ObjectStore::Listing known = hooks_.known();
  // The difference is complete only if the known state has the version of the
  // last kept change.
  const bool comparable = version_ == 0 || known.version == version_;
  if (!IsOk(result) || !comparable || ValueOf(result).version < known.version) {
    OnFailed(error);
    return;
  }
  const std::vector<WatchEvent> changes = DiffListings(known, ValueOf(result));
  events_.assign(changes.begin(), changes.end());
  kept_from_ = known.version;
  version_ = ValueOf(result).version;
  diff_until_ = version_;
  Trim();
  AnswerAll();
}

void WatchFeed::AnswerAll() {
  // Polls that are behind the kept changes arrived during the call; they wait
  // for the next one.
  const auto behind = std::stable_partition(
      pending_polls_.begin(), pending_polls_.end(),
      [this](const PendingPoll& it) { return it.from < kept_from_; });
  std::vector<PendingPoll> answered(
      std::make_move_iterator(behind),
      std::make_move_iterator(pending_polls_.end()));
  pending_polls_.erase(behind, pending_polls_.end());
  ScheduleCall();
  const auto alive = alive_;
  for (const PendingPoll& it : answered) {
    if (!*alive) {
      return;
    }
    it.done(AnswerTo(it));
  }
}

void WatchFeed::OnFailed(const Error& error) {
  std::vector<PendingPoll> failed;
  if (error.code == ErrorCode::kNotFound && rereading_ && version_ != 0) {
    // Only polls that need the changes the store no longer has fail.
    const auto behind = std::stable_partition(
        pending_polls_.begin(), pending_polls_.end(),
        [this](const PendingPoll& it) { return it.from >= kept_from_; });
    failed.assign(std::make_move_iterator(behind),
                  std::make_move_iterator(pending_polls_.end()));
    pending_polls_.erase(behind, pending_polls_.end());
  } else {
    failed.swap(pending_polls_);
    if (error.code == ErrorCode::kNotFound) {
      ClearEvents();
    }
  }
  ScheduleCall();
  const auto alive = alive_;
  for (const PendingPoll& it : failed) {
    if (!*alive) {
      return;
    }
    it.done(error);
  }
}

void WatchFeed::ClearEvents() {
  events_.clear();
  version_ = 0;
  kept_from_ = 0;
  diff_until_ = 0;
}

void WatchFeed::AddEvents(const WatchBatch& batch) {
  if (rereading_) {
    events_.clear();
    kept_from_ = called_from_;
    diff_until_ = 0;
  }
  events_.insert(events_.end(), batch.events.begin(), batch.events.end());
  version_ = std::max(version_, batch.version);
  Trim();
}

void WatchFeed::Trim() {
  while (events_.size() > options_.max_events) {
    kept_from_ = events_.front().version;
    events_.pop_front();
  }
}

Result<WatchBatch> WatchFeed::AnswerTo(const PendingPoll& pending_poll) const {
  if (pending_poll.from > kept_from_ && pending_poll.from < diff_until_) {
    return Error{ErrorCode::kNotFound, "relay.feed", "",
                 "changes after version " + std::to_string(pending_poll.from) +
                     " are known only as a net difference"};
  }
  WatchBatch batch;
  const auto first = std::find_if(
      events_.begin(), events_.end(),
      [&](const WatchEvent& it) { return it.version > pending_poll.from; });
  batch.events.assign(first, events_.end());
  batch.version = std::max(version_, pending_poll.from);
  batch.relayed = true;
  return batch;
}

}  // namespace indigolead
