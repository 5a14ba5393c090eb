#include "tests/platform/support/return_world.h"

#include <utility>

#include "platform/documents.h"
#include "platform/entry_options.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLatency = milliseconds(2);  ///< In each direction.
constexpr Duration kSlowAnswer = milliseconds(250);
constexpr Duration kTick = milliseconds(25);

Error PathError(ErrorCode code, const std::string& detail) {
  return {code, "store", "store", detail};
}

TargetRecord RecordOf(const StoredObject& object) {
  TargetRecord record;
  record.id = object.key;
  record.service = "app";
  record.address = object.key + ":1";
  record.leaving = object.value == "leaving";
  return record;
}

}  // namespace

void RegistrationTable::Put(const std::string& key, const std::string& value) {
  objects_[key] = {key, value, changes_.size() + 1};
  Append({key, value});
}

void RegistrationTable::Remove(const std::string& key) {
  if (objects_.erase(key) > 0) {
    Append({key, std::nullopt});
  }
}

void RegistrationTable::Append(Change change) {
  changes_.push_back(std::move(change));
  for (const auto& it : hooks_) {
    it();
  }
}

WatchBatch RegistrationTable::After(std::uint64_t from) const {
  WatchBatch batch;
  batch.version = changes_.size();
  for (std::uint64_t n = from; n < changes_.size(); ++n) {
    batch.events.push_back({changes_[n].key, changes_[n].value, n + 1});
  }
  return batch;
}

ObjectStore::Listing RegistrationTable::Listed() const {
  ObjectStore::Listing listing;
  listing.version = changes_.size();
  for (const auto& [key, object] : objects_) {
    listing.objects.push_back(object);
  }
  return listing;
}

FaultyStoreClient::FaultyStoreClient(
    Timeline* timeline, RegistrationTable* table,
    const platform::PlatformObjectStore::Options& options)
    : timeline_(timeline), table_(table), options_(options) {
  table_->OnChange([this] { OnChange(); });
}

void FaultyStoreClient::SetPath(StorePath path) {
  const bool cuts = path == StorePath::kReset || path == StorePath::kRefused;
  if (path != StorePath::kHealthy && path != StorePath::kSlow) {
    for (auto& [id, call] : open_) {
      call.lost = true;
      if (cuts) {
        timeline_->After(kLatency, [this, id = id] {
          Fail(id, PathError(ErrorCode::kUnavailable, "reset"));
        });
      }
    }
  }
  kept_silent_ = path == StorePath::kKeptSilent;
  path_ = path == StorePath::kKeptSilent ? StorePath::kHealthy : path;
}

std::uint64_t FaultyStoreClient::Begin(Duration deadline, Call call) {
  const std::uint64_t id = ++calls_;
  call.lost = kept_silent_;
  open_[id] = std::move(call);
  timeline_->After(deadline, [this, id] {
    kept_silent_ = kept_silent_ && open_.count(id) == 0;
    Fail(id, PathError(ErrorCode::kTimeout, "no answer before the deadline"));
  });
  if (path_ == StorePath::kRefused || path_ == StorePath::kReset) {
    timeline_->After(2 * kLatency, [this, id] {
      Fail(id, PathError(ErrorCode::kUnavailable, "refused"));
    });
  } else if (path_ == StorePath::kHealthy || path_ == StorePath::kSlow) {
    timeline_->After(kLatency, [this, id] { Arrive(id); });
  }
  return id;
}

void FaultyStoreClient::Arrive(std::uint64_t id) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.lost) {
    return;
  }
  it->second.arrived = true;
  if (!it->second.waits || it->second.from < table_->version()) {
    Answer(id);
  }
}

void FaultyStoreClient::Answer(std::uint64_t id) {
  const auto it = open_.find(id);
  const bool answers_lost =
      path_ == StorePath::kSilent || path_ == StorePath::kOneWay;
  if (it == open_.end() || it->second.lost || it->second.answered ||
      answers_lost) {
    return;
  }
  it->second.answered = true;
  // The answer holds the state of the store now, not at its arrival.
  const auto answer = std::move(it->second.answer);
  answer();
}

void FaultyStoreClient::Fail(std::uint64_t id, const Error& error) {
  const auto node = open_.extract(id);
  if (!node.empty()) {
    node.mapped().fail(error);
  }
}

void FaultyStoreClient::OnChange() {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, call] : open_) {
    if (call.arrived && call.waits && call.from < table_->version()) {
      waiting.push_back(id);
    }
  }
  for (const std::uint64_t id : waiting) {
    Answer(id);
  }
}

void FaultyStoreClient::List(const std::string& /*prefix*/,
                             const CallOptions& options,
                             Callback<Listing> done) {
  Call call;
  call.fail = [done](const Error& error) { done(error); };
  const std::uint64_t id = calls_ + 1;
  call.answer = [this, id, done] {
    const Duration latency = path_ == StorePath::kSlow ? kSlowAnswer : kLatency;
    timeline_->After(latency, [this, id, done, listed = table_->Listed()] {
      if (!open_.extract(id).empty()) {
        done(listed);
      }
    });
  };
  Begin(options.deadline, std::move(call));
}

void FaultyStoreClient::Poll(std::uint64_t from, Duration wait,
                             Duration deadline, PolledWatch::PollDone done) {
  Call call;
  call.waits = wait > Duration{0};
  call.from = from;
  call.fail = [done](const Error& error) { done(error); };
  const std::uint64_t id = calls_ + 1;
  call.answer = [this, id, from, done] {
    const Duration latency = path_ == StorePath::kSlow ? kSlowAnswer : kLatency;
    timeline_->After(latency, [this, id, done, batch = table_->After(from)] {
      if (!open_.extract(id).empty()) {
        done(batch);
      }
    });
  };
  Begin(deadline, std::move(call));
  if (wait > Duration{0}) {
    timeline_->After(wait + kLatency, [this, id] {
      const auto it = open_.find(id);
      if (it != open_.end() && it->second.arrived) {
        Answer(id);
      }
    });
  }
}

void FaultyStoreClient::ReadChanges(const std::string& /*prefix*/,
                                    std::uint64_t from_version,
                                    const CallOptions& options,
                                    Callback<WatchBatch> done) {
  const bool kept_silent = kept_silent_;
  kept_silent_ = kept_silent && !options.new_connection;
  Poll(from_version, Duration{0}, options.deadline, std::move(done));
  kept_silent_ = kept_silent;
}

std::unique_ptr<ObjectStore::Watch> FaultyStoreClient::StartWatch(
    const std::string& /*prefix*/, std::uint64_t from_version,
    OnWatchEvents on_events, std::function<void(const Error&)> on_end) {
  PolledWatch::Hooks hooks;
  hooks.poll = [this](std::uint64_t from, PolledWatch::PollDone done) {
    Poll(from, options_.watch_wait, options_.watch_wait + options_.watch_slack,
         std::move(done));
  };
  hooks.on_events = std::move(on_events);
  hooks.on_end = std::move(on_end);
  return std::make_unique<PolledWatch>(
      from_version, options_.watch_pace, std::move(hooks),
      [this] { return timeline_->now; },
      [this](Duration delay, std::function<void()> task) {
        timeline_->After(delay, std::move(task));
      });
}

void FaultyStoreClient::Get(const std::string& /*key*/,
                            const CallOptions& /*options*/,
                            Callback<std::optional<StoredObject>> done) {
  done(PathError(ErrorCode::kInvalidInput, "not offered"));
}

void FaultyStoreClient::Put(const std::string& /*key*/,
                            const std::string& /*value*/,
                            ExpectedVersion /*expected*/,
                            const CallOptions& /*options*/,
                            Callback<std::uint64_t> done) {
  done(PathError(ErrorCode::kInvalidInput, "not offered"));
}

void FaultyStoreClient::Delete(const std::string& /*key*/,
                               ExpectedVersion /*expected*/,
                               const CallOptions& /*options*/,
                               Callback<Unit> done) {
  done(PathError(ErrorCode::kInvalidInput, "not offered"));
}

void FaultyStoreClient::ListInstances(const CallOptions& /*options*/,
                                      Callback<InstanceList> done) {
  done(PathError(ErrorCode::kInvalidInput, "not offered"));
}

FollowingEntry::FollowingEntry(Timeline* timeline, RegistrationTable* table,
                               const platform::PlatformSettings& settings,
                               std::function<double()> jitter)
    : timeline_(timeline),
      path_(timeline, table, platform::StoreOptions(settings)),
      directory_(platform::DispatcherOptions(settings).directory),
      follower_(
          &path_, platform::WatchOptions(settings, platform::kTargetsPrefix),
          Hooks(std::move(jitter)), [timeline] { return timeline->now; },
          [timeline](Duration delay, std::function<void()> task) {
            timeline->After(delay, std::move(task));
          },
          MakeNullEventLog()) {
  follower_.Start();
  Tick();
}

TargetFollower::Hooks FollowingEntry::Hooks(std::function<double()> jitter) {
  TargetFollower::Hooks hooks;
  hooks.on_listed = [this](const ListWatcher::State& state) {
    std::vector<TargetRecord> listed;
    for (const auto& [key, object] : state) {
      listed.push_back(RecordOf(object));
    }
    Apply(directory_.OnListed(listed, timeline_->now));
  };
  hooks.on_part = hooks.on_listed;
  hooks.on_lost = [this](TimePoint heard_at) {
    directory_.OnStoreLost(heard_at);
  };
  hooks.on_followed = [this] { directory_.OnStoreFollowed(timeline_->now); };
  hooks.on_known_until = [this](TimePoint known_until) {
    directory_.OnKnownUntil(known_until);
  };
  hooks.list_needed_at = [this] { return directory_.AbsenceDue(); };
  hooks.jitter = std::move(jitter);
  return hooks;
}

void FollowingEntry::Apply(const std::vector<TargetChange>& changes) {
  for (const TargetChange& it : changes) {
    switch (it.kind) {
      case TargetChange::Kind::kAdded:
        if (!it.target.leaving) {
          usable_.insert(it.target.id);
        }
        break;
      case TargetChange::Kind::kReturned:
        usable_.insert(it.target.id);
        break;
      case TargetChange::Kind::kLeaving:
      case TargetChange::Kind::kRemoved:
        usable_.erase(it.target.id);
        break;
      case TargetChange::Kind::kUpdated:
      case TargetChange::Kind::kRestarted:
        break;
    }
  }
}

void FollowingEntry::Tick() {
  follower_.Tick();
  Apply(directory_.Tick(timeline_->now));
  timeline_->After(kTick, [this] { Tick(); });
}

}  // namespace indigolead::testing
