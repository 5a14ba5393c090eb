#include "store/list_watcher.h"

#include <algorithm>
#include <utility>

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

void ListWatcher::Start() { List(); }

TimePoint ListWatcher::fresh_at() const {
  return following() ? watch_->known_until(clock_()) : followed_until_;
}

ObjectStore::Listing ListWatcher::Known() const {
  ObjectStore::Listing known;
  known.version = std::max(version_, watch_ ? watch_->told_version() : 0);
  for (const auto& [key, object] : state_) {
    known.objects.push_back(object);
  }
  return known;
}

void ListWatcher::List() {
  CallOptions options = options_.list;
  options.may_be_stale = options_.first_may_be_stale && !listed_;
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
  if (!IsOk(result)) {
    RetryLater(ErrorOf(result));
    return;
  }
  const ObjectStore::Listing& listing = ValueOf(result);
  if (listed_ && listing.version < version_) {
    log_(kStaleListing, {{"prefix", options_.prefix},
                         {"listed", std::to_string(listing.version)},
                         {"held", std::to_string(version_)}});
  } else {
    const auto alive = alive_;
    TakeListing(listing);
    if (!*alive) {
      return;
    }
  }
  StartWatch();
}

void ListWatcher::TakeListing(const ObjectStore::Listing& listing) {
  State state;
  for (const auto& object : listing.objects) {
    state.emplace(object.key, object);
  }
  const bool changed = !listed_ || state != state_;
  listed_ = true;
  version_ = listing.version;
  state_ = std::move(state);
  if (changed) {
    hooks_.on_state(state_, version_);
  }
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
  bool changed = false;
  // Changes that are told together may bear the same version.
  const std::uint64_t known = version_;
  for (const WatchEvent& it : events) {
    changed = Apply(it, known) || changed;
  }
  // Once for all of them: whoever reads the whole state does so for each call.
  if (changed) {
    hooks_.on_state(state_, version_);
  }
}

bool ListWatcher::Apply(const WatchEvent& event, std::uint64_t known) {
  if (event.version <= known) {
    return false;
  }
  version_ = std::max(version_, event.version);
  if (event.value) {
    state_[event.key] = StoredObject{event.key, *event.value, event.version};
  } else {
    state_.erase(event.key);
  }
  return true;
}

void ListWatcher::OnWatchEnd(const Error& error) {
  followed_until_ = clock_();
  // A watch that held for a while shows that the store works; one that ends at
  // once must not make a tight loop of listings.
  if (followed_until_ - watch_started_ > options_.max_backoff) {
    failures_ = 0;
  }
  watch_.reset();
  RetryLater(error);
}

void ListWatcher::RetryLater(const Error& error) {
  log_(kWatcherRetry, {{"prefix", options_.prefix},
                       {"error", ToString(error)},
                       {"failures", std::to_string(failures_)}});
  const auto alive = alive_;
  if (hooks_.on_error) {
    hooks_.on_error(error);
  }
  if (!*alive) {
    return;
  }
  Duration delay = options_.min_backoff;
  for (std::uint32_t i = 0; i < std::min(failures_, kMaxDoublings); ++i) {
    delay = std::min(delay * 2, options_.max_backoff);
  }
  ++failures_;
  // Between half and the whole delay.
  const auto spread =
      std::chrono::duration_cast<Duration>(delay * (0.5 + hooks_.jitter() / 2));
  run_after_(spread, [this, alive] {
    if (*alive) {
      List();
    }
  });
}

}  // namespace indigolead
