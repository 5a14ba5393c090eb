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

/// Both ends of relaying the store's changes between the entries of a failure
/// domain: asks the entry that relays, and relays if this entry is asked.
///
/// Whoever is asked reads the store itself, so entries that disagree on who
/// relays make more calls for a while and no circle.
///
/// Runs on one thread. Memory: the changes that its feeds keep.
class WatchRelay {
 public:
  struct Options {
    RelayChoice::Options choice;
    WatchFeed::Options feed;
    std::vector<std::string> prefixes;  ///< All that may be asked for.
  };
  struct Hooks {
    /// Makes one call of the store that waits for changes below `prefix`.
    std::function<void(const std::string& prefix, std::uint64_t from,
                       Duration wait, PolledWatch::PollDone done)>
        call;
    /// Reads all objects below `prefix`, not stale.
    std::function<void(const std::string& prefix,
                       ObjectStore::Callback<ObjectStore::Listing> done)>
        list;
    /// Returns what this entry knows of the objects below `prefix`.
    std::function<ObjectStore::Listing(const std::string& prefix)> known;
    /// Sends a question to the entry at `address`; false if it cannot be.
    std::function<bool(const std::string& address, std::uint64_t number,
                       const std::string& prefix, std::uint64_t from)>
        ask;
    /// Sends the answer to a question of another entry.
    std::function<void(const std::string& asker, std::uint64_t number,
                       const Result<WatchBatch>& answer)>
        answer;
  };

  WatchRelay(Options options, Hooks hooks, Clock clock, RunAfter run_after,
             EventLog log, MetricsRegistry* metrics);
  ~WatchRelay();
  WatchRelay(const WatchRelay&) = delete;
  WatchRelay& operator=(const WatchRelay&) = delete;

  /// Takes the list of entries that are alive.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// Asks the entry that relays, which may be this one, for the changes below
  /// `prefix` after `from`. Returns its name, or nothing if there is none.
  /// Until the first list of entries nobody is known to ask, and the question
  /// waits for it: the name is empty then.
  std::optional<std::string> Ask(const std::string& prefix, std::uint64_t from,
                                 PolledWatch::PollDone done);

  /// `relay` did not answer, or could not.
  void OnFailed(const std::string& relay, const Error& error);

  /// A question of another entry came.
  void OnQuestion(const std::string& asker, std::uint64_t number,
                  const std::string& prefix, std::uint64_t from);

  /// The answer to a question of this entry came.
  void OnAnswer(std::uint64_t number, const Result<WatchBatch>& answer);

  /// Returns true if some entry of the failure domain is to relay.
  bool has_relay() const { return choice_.SelectRelay(clock_()).has_value(); }

  /// Takes no more questions of others: a planned stop has begun.
  void Stop() { stopped_ = true; }

 private:
  /// The question to another entry that is open, of one prefix.
  struct Asked {
    std::uint64_t number = 0;
    std::string relay;
    PolledWatch::PollDone done;
  };

  /// A question that waits for the first list of entries.
  struct Early {
    std::uint64_t from = 0;
    PolledWatch::PollDone done;
  };

  WatchFeed::Hooks FeedHooks(const std::string& prefix);
  void AskEarly();
  bool AskOther(const RelayCandidate& relay, const std::string& prefix,
                std::uint64_t from, PolledWatch::PollDone done);
  void NoteRelay(const std::string& name);
  void NoteAnswer(const std::string& relay, const Result<WatchBatch>& answer);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  RelayChoice choice_;
  std::map<std::string, std::unique_ptr<WatchFeed>> feeds_;  ///< By prefix.
  std::map<std::string, Asked> asked_;                       ///< By prefix.
  std::map<std::string, Early> early_;                       ///< By prefix.
  bool listed_ = false;
  std::uint64_t next_number_ = 0;
  std::string relay_;  ///< The one asked last; empty: the store.
  bool stopped_ = false;
  Counter& relayed_;
  Counter& failed_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_WATCH_RELAY_H_
