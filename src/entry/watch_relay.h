#ifndef INDIGOLEAD_ENTRY_WATCH_RELAY_H_
#define INDIGOLEAD_ENTRY_WATCH_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/membership/relay_choice.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/polled_watch.h"
#include "store/run_after.h"
#include "store/watch_feed.h"

namespace indigolead {

/// Relays the store's changes between the entries of a failure domain: asks the
/// entry that relays, and answers the entries that ask this one.
///
/// The entry that is asked reads the store itself. Entries that disagree on the
/// relay therefore make more store calls for a while, but form no cycle.
///
/// Runs on one thread. Memory is bounded by the changes that its feeds keep.
class WatchRelay {
 public:
  struct Options {
    RelayChoice::Options choice;
    WatchFeed::Options feed;
    std::vector<std::string> prefixes;  ///< The prefixes that may be relayed.
  };
  struct Hooks {
    /// Makes one store call that waits for changes below `prefix`.
    std::function<void(const std::string& prefix, std::uint64_t from,
                       Duration wait, PolledWatch::PollDone done)>
        call;
    /// Reads all objects below `prefix`; the result must not be stale.
    std::function<void(const std::string& prefix,
                       ObjectStore::Callback<ObjectStore::Listing> done)>
        list;
    /// Returns what this entry knows of the objects below `prefix`.
    std::function<ObjectStore::Listing(const std::string& prefix)> known;
    /// Sends a query to the entry at `address`. Returns false if it cannot be
    /// sent.
    std::function<bool(const std::string& address, std::uint64_t number,
                       const std::string& prefix, std::uint64_t from)>
        ask;
    /// Sends the answer to another entry's query.
    std::function<void(const std::string& asker, std::uint64_t number,
                       const Result<WatchBatch>& answer)>
        answer;
  };

  WatchRelay(Options options, Hooks hooks, Clock clock, RunAfter run_after,
             EventLog log, MetricsRegistry* metrics);
  ~WatchRelay();
  WatchRelay(const WatchRelay&) = delete;
  WatchRelay& operator=(const WatchRelay&) = delete;

  /// Takes the list of live entries.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// Asks the entry that relays, which may be this one, for the changes below
  /// `prefix` after `from`. Returns its name, or nothing if there is none.
  /// Before the first list of entries the relay is unknown: the query waits for
  /// the list, and the returned name is empty.
  std::optional<std::string> Ask(const std::string& prefix, std::uint64_t from,
                                 PolledWatch::PollDone done);

  /// Records that `relay` did not answer or answered with an error.
  void OnFailed(const std::string& relay, const Error& error);

  /// Handles a query of another entry.
  void OnQuery(const std::string& asker, std::uint64_t number,
               const std::string& prefix, std::uint64_t from);

  /// Handles the answer to a query of this entry.
  void OnAnswer(std::uint64_t number, const Result<WatchBatch>& answer);

  /// Returns true if an entry of the failure domain can relay.
  bool has_relay() const { return choice_.SelectRelay(clock_()).has_value(); }

  /// Refuses further queries of other entries, for a planned stop.
  void Stop() { stopped_ = true; }

 private:
  /// The open query of one prefix to another entry.
  struct PendingQuery {
    std::uint64_t number = 0;
    std::string relay;
    PolledWatch::PollDone done;
  };

  /// A query that waits for the first list of entries.
  struct DeferredQuery {
    std::uint64_t from = 0;
    PolledWatch::PollDone done;
  };

  WatchFeed::Hooks FeedHooks(const std::string& prefix);
  void SendDeferredQueries();
  bool QueryRelay(const RelayCandidate& relay, const std::string& prefix,
                  std::uint64_t from, PolledWatch::PollDone done);
  void UpdateRelay(const std::string& name);
  void RecordAnswer(const std::string& relay, const Result<WatchBatch>& answer);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  RelayChoice choice_;
  std::map<std::string, std::unique_ptr<WatchFeed>> feeds_;  ///< By prefix.
  std::map<std::string, PendingQuery> pending_queries_;      ///< By prefix.
  std::map<std::string, DeferredQuery> deferred_queries_;    ///< By prefix.
  bool listed_ = false;
  std::uint64_t next_number_ = 0;
  /// The relay asked last; empty if the store is read without a relay.
  std::string relay_;
  bool stopped_ = false;
  Counter& relayed_;
  Counter& failed_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_WATCH_RELAY_H_
