#include "entry/watch_relay.h"

#include <algorithm>
#include <utility>

#include "entry/events.h"

namespace indigolead {

WatchRelay::WatchRelay(Options options, Hooks hooks, Clock clock,
                       RunAfter run_after, EventLog log,
                       MetricsRegistry* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(clock),
      log_(std::move(log)),
      choice_(options_.choice),
      relayed_(metrics->AddCounter(
          "indigolead_watch_questions_answered_total",
          "Questions of other entries for the store's changes, answered.")),
      failed_(metrics->AddCounter(
          "indigolead_watch_relay_failures_total",
          "Times the entry that relays the store's changes failed this one.")) {
  for (const std::string& it : options_.prefixes) {
    feeds_[it] = std::make_unique<WatchFeed>(options_.feed, FeedHooks(it),
                                             clock, run_after);
  }
}

WatchFeed::Hooks WatchRelay::FeedHooks(const std::string& prefix) {
  WatchFeed::Hooks hooks;
  hooks.poll = [this, prefix](std::uint64_t from, Duration wait,
                              PolledWatch::PollDone done) {
    hooks_.call(prefix, from, wait, std::move(done));
  };
  hooks.list = [this,
                prefix](ObjectStore::Callback<ObjectStore::Listing> done) {
    log_(kRelayLists, {{"prefix", prefix}});
    hooks_.list(prefix, std::move(done));
  };
  hooks.known = [this, prefix] { return hooks_.known(prefix); };
  return hooks;
}

WatchRelay::~WatchRelay() = default;

void WatchRelay::OnEntries(const std::vector<RelayCandidate>& entries) {
  choice_.OnEntries(entries);
  if (!std::exchange(listed_, true)) {
    SendDeferredQueries();
  }
}

void WatchRelay::SendDeferredQueries() {
  std::map<std::string, DeferredQuery> deferred;
  deferred.swap(deferred_queries_);
  for (auto& [prefix, it] : deferred) {
    if (!Ask(prefix, it.from, it.done)) {
      it.done(Error{ErrorCode::kNotFound, "relay.ask", "",
                    "no entry of the failure domain relays"});
    }
  }
}

void WatchRelay::UpdateRelay(const std::string& name) {
  if (name != relay_) {
    log_(kRelayChanged, {{"relay", name.empty() ? "none" : name},
                         {"before", relay_.empty() ? "none" : relay_}});
    relay_ = name;
  }
}

std::optional<std::string> WatchRelay::Ask(const std::string& prefix,
                                           std::uint64_t from,
                                           PolledWatch::PollDone done) {
  if (!listed_) {
    deferred_queries_[prefix] = {from, std::move(done)};
    return std::string();
  }
  const auto relay = choice_.SelectRelay(clock_());
  const auto feed = feeds_.find(prefix);
  if (!relay || feed == feeds_.end()) {
    UpdateRelay("");
    return std::nullopt;
  }
  UpdateRelay(relay->name);
  if (relay->name == options_.choice.own_name) {
    feed->second->Ask(from, [this, name = relay->name, done = std::move(done)](
                                const Result<WatchBatch>& answer) {
      RecordAnswer(name, answer);
      done(answer);
    });
    return relay->name;
  }
  if (!QueryRelay(*relay, prefix, from, std::move(done))) {
    return std::nullopt;
  }
  return relay->name;
}

bool WatchRelay::QueryRelay(const RelayCandidate& relay,
                            const std::string& prefix, std::uint64_t from,
                            PolledWatch::PollDone done) {
  const std::uint64_t number = ++next_number_;
  // Replaces a query of this prefix that is still open; its caller has given it
  // up.
  pending_queries_[prefix] = {number, relay.name, std::move(done)};
  if (hooks_.ask(relay.address, number, prefix, from)) {
    return true;
  }
  pending_queries_.erase(prefix);
  OnFailed(relay.name, {ErrorCode::kOverloaded, "relay.ask", relay.name,
                        "the query could not be sent"});
  return false;
}

void WatchRelay::OnFailed(const std::string& relay, const Error& error) {
  if (relay.empty()) {
    return;  // The query still waits for the list of entries.
  }
  log_(kRelayFailed, {{"relay", relay}, {"error", ToString(error)}});
  failed_.Add();
  // `kNotFound` means that the changes are no longer kept, which is not a
  // failure of the relay.
  if (error.code != ErrorCode::kNotFound) {
    choice_.OnFailed(relay, clock_());
  }
}

void WatchRelay::RecordAnswer(const std::string& relay,
                              const Result<WatchBatch>& answer) {
  if (IsOk(answer)) {
    choice_.OnAnswered(relay);
  }
}

void WatchRelay::OnQuery(const std::string& asker, std::uint64_t number,
                         const std::string& prefix, std::uint64_t from) {
  const auto feed = feeds_.find(prefix);
  if (stopped_ || feed == feeds_.end()) {
    hooks_.answer(asker, number,
                  Error{ErrorCode::kUnavailable, "relay.answer", "",
                        stopped_ ? "the entry is stopping"
                                 : "prefix \"" + prefix + "\" is not relayed"});
    return;
  }
  feed->second->Ask(from,
                    [this, asker, number](const Result<WatchBatch>& answer) {
                      relayed_.Add();
                      hooks_.answer(asker, number, answer);
                    });
}

void WatchRelay::OnAnswer(std::uint64_t number,
                          const Result<WatchBatch>& answer) {
  const auto it = std::find_if(pending_queries_.begin(), pending_queries_.end(),
                               [number](const auto& open_query) {
                                 return open_query.second.number == number;
                               });
  if (it == pending_queries_.end()) {
    return;  // Late: the query was given up and sent again.
  }
  const PendingQuery open_query =
      std::move(pending_queries_.extract(it).mapped());
  RecordAnswer(open_query.relay, answer);
  open_query.done(answer);
}

}  // namespace indigolead
