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
      called_at_(clock_() - options.least_gap),
      alive_(std::make_shared<bool>(true)) {}

WatchFeed::~WatchFeed() { *alive_ = false; }

void WatchFeed::Ask(std::uint64_t from, PolledWatch::PollDone done) {
  questions_.push_back({from, clock_(), std::move(done)});
  CallSoon();
}

void WatchFeed::CallSoon() {
  if (planned_ || questions_.empty()) {
    return;
  }
  planned_ = true;
  const Duration rest = std::max<Duration>(
      called_at_ + options_.least_gap - clock_(), Duration{0});
  run_after_(rest, [this, alive = alive_] {
    if (*alive) {
      Call();
    }
  });
}

std::uint64_t WatchFeed::LeastAsked() const {
  return std::min_element(questions_.begin(), questions_.end(),
                          [](const Question& a, const Question& b) {
                            return a.from < b.from;
                          })
      ->from;
}

void WatchFeed::Call() {
  const TimePoint now = clock_();
  const TimePoint first = questions_.front().asked_at;
  const Duration wait =
      std::max<Duration>(first + options_.answer_within - now, Duration{0});
  const std::uint64_t least = LeastAsked();
  if (least > version_) {
    Forget();  // No poller needs the changes missed since the last call.
  }
  // If a poller is behind the kept changes, rereads them from the lowest
  // requested version, for all pollers that are behind.
  rewound_ = version_ == 0 || least < kept_from_;
  again_ = false;
  repeat_until_ = first + options_.answer_within + options_.overdue_after;
  CallFrom(rewound_ ? least : version_, wait);
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
      again_ = false;  // It is overdue but has not failed.
      CallFrom(called_from_, Duration{0});
    }
  });
}

void WatchFeed::OnAnswer(const Result<WatchBatch>& answer) {
  ++call_;  // Disables the overdue timer of this call.
  const bool forgotten =
      !IsOk(answer) && ErrorOf(answer).code == ErrorCode::kNotFound;
  if (!IsOk(answer) && !forgotten && !std::exchange(again_, true)) {
    CallFrom(called_from_, Duration{0});
    return;
  }
  const bool nothing_kept = version_ == 0;
  if (forgotten && (nothing_kept || !rewound_)) {
    ListAnew(ErrorOf(answer));
    return;
  }
  planned_ = false;
  if (!IsOk(answer)) {
    OnFailed(ErrorOf(answer));
    return;
  }
  Keep(ValueOf(answer));
  AnswerAll();
}

void WatchFeed::ListAnew(const Error& error) {
  hooks_.list([this, alive = alive_,
               error](const Result<ObjectStore::Listing>& result) {
    if (*alive) {
      OnListed(result, error);
    }
  });
}

void WatchFeed::OnListed(const Result<ObjectStore::Listing>& result,
                         const Error& error) {
  planned_ = false;
  const ObjectStore::Listing known = hooks_.known();
  // The difference is complete only if the known state has the version of the
  // last kept change.
  const bool fits = version_ == 0 || known.version == version_;
  if (!IsOk(result) || !fits || ValueOf(result).version < known.version) {
    OnFailed(error);
    return;
  }
  const std::vector<WatchEvent> changes =
      ChangesBetween(known, ValueOf(result));
  events_.assign(changes.begin(), changes.end());
  kept_from_ = known.version;
  version_ = ValueOf(result).version;
  gap_until_ = version_;
  Trim();
  AnswerAll();
}

void WatchFeed::AnswerAll() {
  // Polls that are behind the kept changes arrived during the call; they wait
  // for the next one.
  const auto behind = std::stable_partition(
      questions_.begin(), questions_.end(),
      [this](const Question& it) { return it.from < kept_from_; });
  std::vector<Question> answered(std::make_move_iterator(behind),
                                 std::make_move_iterator(questions_.end()));
  questions_.erase(behind, questions_.end());
  CallSoon();
  const auto alive = alive_;
  for (const Question& it : answered) {
    if (!*alive) {
      return;
    }
    it.done(AnswerTo(it));
  }
}

void WatchFeed::OnFailed(const Error& error) {
  std::vector<Question> failed;
  if (error.code == ErrorCode::kNotFound && rewound_ && version_ != 0) {
    // Only polls that need the changes the store no longer has fail.
    const auto behind = std::stable_partition(
        questions_.begin(), questions_.end(),
        [this](const Question& it) { return it.from >= kept_from_; });
    failed.assign(std::make_move_iterator(behind),
                  std::make_move_iterator(questions_.end()));
    questions_.erase(behind, questions_.end());
  } else {
    failed.swap(questions_);
    if (error.code == ErrorCode::kNotFound) {
      Forget();
    }
  }
  CallSoon();
  const auto alive = alive_;
  for (const Question& it : failed) {
    if (!*alive) {
      return;
    }
    it.done(error);
  }
}

void WatchFeed::Forget() {
  events_.clear();
  version_ = 0;
  kept_from_ = 0;
  gap_until_ = 0;
}

void WatchFeed::Keep(const WatchBatch& batch) {
  if (rewound_) {
    events_.clear();
    kept_from_ = called_from_;
    gap_until_ = 0;
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

Result<WatchBatch> WatchFeed::AnswerTo(const Question& question) const {
  if (question.from > kept_from_ && question.from < gap_until_) {
    return Error{ErrorCode::kNotFound, "relay.feed", "",
                 "changes after version " + std::to_string(question.from) +
                     " are known only as a net difference"};
  }
  WatchBatch batch;
  const auto first = std::find_if(
      events_.begin(), events_.end(),
      [&](const WatchEvent& it) { return it.version > question.from; });
  batch.events.assign(first, events_.end());
  batch.version = std::max(version_, question.from);
  batch.relayed = true;
  return batch;
}

}  // namespace indigolead
