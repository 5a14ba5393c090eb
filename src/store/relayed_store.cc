#include "store/relayed_store.h"

#include <utility>

namespace indigolead {
namespace {

/// Watch that owns the poller it reads from.
class RelayedWatch : public ObjectStore::Watch {
 public:
  RelayedWatch(std::unique_ptr<RelayedPoller> polls, std::uint64_t from_version,
               const WatchPace::Options& pace, PolledWatch::Hooks hooks,
               Clock clock, RunAfter run_after)
      : polls_(std::move(polls)),
        watch_(from_version, pace, std::move(hooks), std::move(clock),
               std::move(run_after)) {}

  TimePoint known_until(TimePoint now) const override {
    return watch_.known_until(now);
  }
  TimePoint heard_at(TimePoint now) const override {
    return watch_.heard_at(now);
  }
  std::uint64_t reported_version() const override {
    return watch_.reported_version();
  }

 private:
  std::unique_ptr<RelayedPoller> polls_;
  PolledWatch watch_;
};

}  // namespace

RelayedStore::RelayedStore(ObjectStore* store, const Options& options,
                           Hooks hooks, Clock clock, RunAfter run_after)
    : store_(store),
      options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      run_after_(std::move(run_after)) {}

void RelayedStore::Get(const std::string& key, const CallOptions& options,
                       Callback<std::optional<StoredObject>> done) {
  store_->Get(key, options, std::move(done));
}

void RelayedStore::List(const std::string& prefix, const CallOptions& options,
                        Callback<Listing> done) {
  store_->List(prefix, options, std::move(done));
}

void RelayedStore::ListInParts(const std::string& prefix,
                               const CallOptions& options, OnPart on_part,
                               Callback<Listing> done) {
  store_->ListInParts(prefix, options, std::move(on_part), std::move(done));
}

// Bypasses the relays: a caller that reads changes outside the watch needs the
// current state of the store itself.
void RelayedStore::ReadChanges(const std::string& prefix,
                               std::uint64_t from_version,
                               const CallOptions& options,
                               Callback<WatchBatch> done) {
  store_->ReadChanges(prefix, from_version, options, std::move(done));
}

void RelayedStore::Put(const std::string& key, const std::string& value,
                       ExpectedVersion expected, const CallOptions& options,
                       Callback<std::uint64_t> done) {
  store_->Put(key, value, expected, options, std::move(done));
}

void RelayedStore::Delete(const std::string& key, ExpectedVersion expected,
                          const CallOptions& options, Callback<Unit> done) {
  store_->Delete(key, expected, options, std::move(done));
}

std::unique_ptr<ObjectStore::Watch> RelayedStore::StartWatch(
    const std::string& prefix, std::uint64_t from_version,
    OnWatchEvents on_events, std::function<void(const Error&)> on_end) {
  RelayedPoller::Hooks calls;
  calls.ask = [this, prefix](std::uint64_t from, PolledWatch::PollDone done) {
    return hooks_.ask(prefix, from, std::move(done));
  };
  calls.call = [this, prefix](std::uint64_t from, WaitMode wait,
                              PolledWatch::PollDone done) {
    hooks_.call(prefix, from, wait, std::move(done));
  };
  calls.on_failed = hooks_.on_failed;
  auto polls = std::make_unique<RelayedPoller>(options_.answer_within,
                                               std::move(calls), run_after_);
  PolledWatch::Hooks hooks;
  hooks.poll = [it = polls.get()](std::uint64_t from,
                                  PolledWatch::PollDone done) {
    it->Poll(from, std::move(done));
  };
  hooks.on_events = std::move(on_events);
  hooks.on_end = std::move(on_end);
  return std::make_unique<RelayedWatch>(std::move(polls), from_version,
                                        options_.watch_pace, std::move(hooks),
                                        clock_, run_after_);
}

void RelayedStore::ListInstances(const CallOptions& options,
                                 Callback<InstanceList> done) {
  store_->ListInstances(options, std::move(done));
}

}  // namespace indigolead
