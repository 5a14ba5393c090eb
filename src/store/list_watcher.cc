#include "store/list_watcher.h"

#include <algorithm>
#include <utility>

#include "observe/event_fields.h"
#include "store/events.h"

namespace indigolead {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

ListWatcher::ListWatcher(ObjectStore* store, Options options, Hooks hooks,
                         Clock clock, RunAfter run_after, EventLog log)
    : store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      run_after_(std::move(run_after)),
      log_(std::move(log)),
      alive_(std::make_shared<bool>(true)) {}

ListWatcher::~ListWatcher() { *alive_ = false; }

void ListWatcher::Start() {
  List();
  ScheduleRetry();
}

TimePoint ListWatcher::fresh_at() const {
  return watch_ ? std::max(known_until_, watch_->known_until(clock_()))
                : known_until_;
}

TimePoint ListWatcher::heard_at() const {
  return watch_ ? std::max(heard_at_, watch_->heard_at(clock_())) : heard_at_;
}

void ListWatcher::RecordResponse(TimePoint known_until) {
  known_until_ = std::max(known_until_, known_until);
  proven_until_ = std::max(proven_until_, known_until);
  heard_at_ = clock_();
}

ObjectStore::Listing ListWatcher::Known() const {
  ObjectStore::Listing known;
  known.version = std::max(version_, watch_ ? watch_->reported_version() : 0);
  for (const auto& [key, object] : state_) {
    known.objects.push_back(object);
  }
  return known;
}

void ListWatcher::List() {
  listing_ = true;
  list_started_at_ = clock_();
  CallOptions options = options_.list;
  options.may_be_stale = options_.first_may_be_stale && !listed_;
  options.new_connection = listed_;
  store_->ListInParts(
      options_.prefix, options,
      [this, alive = alive_](const ObjectStore::Listing& part) {
        if (*alive) {
          OnPart(part);
        }
      },
      [this, alive = alive_](const Result<ObjectStore::Listing>& result) {
        if (*alive) {
          OnListed(result);
        }
      });
}

void ListWatcher::OnPart(const ObjectStore::Listing& part) {
  heard_at_ = clock_();
  if (listed_ || !hooks_.on_part) {
    return;
  }
  State state;
  for (const StoredObject& it : part.objects) {
    state.emplace(it.key, it);
  }
  hooks_.on_part(state);
}

void ListWatcher::OnListed(const Result<ObjectStore::Listing>& result) {
  listing_ = false;
  if (watch_) {
    return;  // Another retry already succeeded.
  }
  if (!IsOk(result)) {
    ReportError(ErrorOf(result));
    return;
  }
  heard_at_ = clock_();
  const ObjectStore::Listing& listing = ValueOf(result);
  if (listed_ && listing.version < version_) {
    log_(kStaleListing, {{"prefix", options_.prefix},
                         {"listed", std::to_string(listing.version)},
                         {"held", std::to_string(version_)}});
  } else {
    const auto alive = alive_;
    ApplyListing(listing);
    if (!*alive) {
      return;
    }
  }
  StartWatch();
}

void ListWatcher::ApplyListing(const ObjectStore::Listing& listing) {
  State state;
  for (const auto& object : listing.objects) {
    state.emplace(object.key, object);
  }
  const bool may_be_stale = options_.first_may_be_stale && !listed_;
  if (!may_be_stale) {
    RecordResponse(list_started_at_);
  }
  listed_ = true;
  version_ = listing.version;
  state_ = std::move(state);
  hooks_.on_state(state_, version_);
}

void ListWatcher::StartWatch() {
  watch_started_ = clock_();
  watch_ = store_->StartWatch(
      options_.prefix, version_,
      [this](const std::vector<WatchEvent>& events) { OnEvents(events); },
      [this, alive = alive_](const Error& error) {
        if (*alive) {
          OnWatchEnd(error);
        }
      });
}

void ListWatcher::OnEvents(const std::vector<WatchEvent>& events) {
  failures_ = 0;
  if (ApplyAll(events)) {
    hooks_.on_state(state_, version_);
  }
}

// Callers report the state once for all of the events, because the receiver
// reads the whole state on each call.
bool ListWatcher::ApplyAll(const std::vector<WatchEvent>& events) {
  bool changed = false;
  // Several changes of one response may have the same version.
  const std::uint64_t known = version_;
  for (const WatchEvent& it : events) {
    changed = Apply(it, known) || changed;
  }
  return changed;
}

bool ListWatcher::Apply(const WatchEvent& event, std::uint64_t known) {
  if (event.version <= known) {
    return false;
  }
  version_ = std::max(version_, event.version);
  const auto held = state_.find(event.key);
  if (hooks_.on_passed && held != state_.end() &&
      held->second.version > known) {
    hooks_.on_passed(held->second);
  }
  if (event.value) {
    state_[event.key] = StoredObject{event.key, *event.value, event.version};
  } else {
    state_.erase(event.key);
  }
  return true;
}

void ListWatcher::OnWatchEnd(const Error& error) {
  const TimePoint now = clock_();
  known_until_ = std::max(known_until_, watch_->known_until(now));
  heard_at_ = std::max(heard_at_, watch_->heard_at(now));
  version_ = std::max(version_, watch_->reported_version());
  // A watch that lasted shows that the store works; one that ends immediately
  // must not cause a tight retry loop.
  if (now - watch_started_ > options_.max_backoff) {
    failures_ = 0;
  }
  watch_.reset();
  ScheduleRetry();
  ReportError(error);
}

void ListWatcher::ReportError(const Error& error) {
  log_(kWatcherRetry, {{"prefix", options_.prefix},
                       {"error", ToString(error)},
                       {"version", std::to_string(version_)},
                       {"failures", std::to_string(failures_)}});
  if (hooks_.on_error) {
    hooks_.on_error(error);
  }
}

Duration ListWatcher::NextDelay() {
  Duration delay = options_.min_backoff;
  for (std::uint32_t i = 0; i < std::min(failures_, kMaxDoublings); ++i) {
    delay = std::min(delay * 2, options_.max_backoff);
  }
  ++failures_;
  // Jitter: between half and the whole delay.
  return std::chrono::duration_cast<Duration>(delay *
                                              (0.5 + hooks_.jitter() / 2));
}

// Exactly one retry is scheduled while no watch is active.
void ListWatcher::ScheduleRetry() {
  const std::uint64_t number = ++next_retry_;
  run_after_(NextDelay(), [this, alive = alive_, number] {
    if (*alive && number == next_retry_ && !watch_) {
      Retry();
    }
  });
}

void ListWatcher::Retry() {
  ScheduleRetry();  // Scheduled regardless of the outcome of this one.
  // A store may answer lists but not reads of changes.
  const bool lists = !listed_ || ++retry_count_ % 2 == 0;
  if (lists && !listing_) {
    List();
  } else if (listed_) {
    ReadChanges();
  }
}

void ListWatcher::ReadChanges() {
  CallOptions options = options_.list;
  options.deadline = options_.read_deadline;
  options.new_connection = true;
  store_->ReadChanges(options_.prefix, version_, options,
                      [this, alive = alive_, started_at = clock_()](
                          const Result<WatchBatch>& result) {
                        if (*alive) {
                          OnChangesRead(started_at, result);
                        }
                      });
}

void ListWatcher::OnChangesRead(TimePoint started_at,
                                const Result<WatchBatch>& result) {
  if (watch_) {
    return;  // Another retry already succeeded.
  }
  if (!IsOk(result)) {
    OnReadChangesFailed(started_at, ErrorOf(result));
    return;
  }
  RecordResponse(started_at);
  const WatchBatch& batch = ValueOf(result);
  log_(kWatcherResumed,
       {{"prefix", options_.prefix},
        {"held", std::to_string(version_)},
        {"told", std::to_string(batch.version)},
        {"changes", std::to_string(batch.events.size())},
        {"after_ms", FormatMilliseconds(clock_() - started_at)}});
  ApplyAll(batch.events);
  version_ = std::max(version_, batch.version);
  const auto alive = alive_;
  hooks_.on_state(state_, version_);
  if (*alive) {
    StartWatch();
  }
}

void ListWatcher::OnReadChangesFailed(TimePoint started_at,
                                      const Error& error) {
  if (error.code != ErrorCode::kNotFound) {
    log_(kWatcherTryFailed,
         {{"prefix", options_.prefix},
          {"error", ToString(error)},
          {"after_ms", FormatMilliseconds(clock_() - started_at)}});
  } else if (!listing_) {
    List();
  }
}

void ListWatcher::Refresh() {
  const TimePoint now = clock_();
  if (!watch_ || now < refreshed_at_ + options_.max_backoff) {
    return;
  }
  refreshed_at_ = now;
  ReadBesideWatch([] {});
}

void ListWatcher::ReadAhead() {
  if (!watch_ || reading_ahead_) {
    return;
  }
  reading_ahead_ = true;
  ReadBesideWatch([this] { reading_ahead_ = false; });
}

void ListWatcher::ReadBesideWatch(std::function<void()> on_end) {
  const TimePoint now = clock_();
  CallOptions options = options_.list;
  options.deadline = options_.read_deadline;
  options.new_connection = true;
  store_->ReadChanges(
      options_.prefix, std::max(version_, watch_->reported_version()), options,
      [this, alive = alive_, now,
       on_end = std::move(on_end)](const Result<WatchBatch>& result) {
        if (*alive) {
          on_end();
          OnRefreshed(now, result);
        }
      });
}

void ListWatcher::OnRefreshed(TimePoint requested_at,
                              const Result<WatchBatch>& result) {
  log_(kWatcherAsked,
       {{"prefix", options_.prefix},
        {"after_ms", FormatMilliseconds(clock_() - requested_at)},
        {"outcome", IsOk(result) ? "told" : ToString(ErrorOf(result))}});
  // If the watch has ended, a retry reads the changes since then.
  if (!IsOk(result) || !watch_) {
    return;
  }
  RecordResponse(requested_at);
  if (ApplyAll(ValueOf(result).events)) {
    hooks_.on_state(state_, version_);
  }
}

}  // namespace indigolead
