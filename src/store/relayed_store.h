#ifndef INDIGOLEAD_STORE_RELAYED_STORE_H_
#define INDIGOLEAD_STORE_RELAYED_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/object_store.h"
#include "store/polled_watch.h"
#include "store/relayed_poller.h"
#include "store/run_after.h"
#include "store/watch_pace.h"

namespace indigolead {

/// Store whose watches receive changes through other entries that relay them.
///
/// Every entry of a large fleet watches the same prefixes and each store call
/// is billed. With relays, the number of calls grows with the failure domains
/// and not with the entries. All other calls go to the store directly.
class RelayedStore : public ObjectStore {
 public:
  struct Options {
    WatchPace::Options watch_pace{};  ///< Pace of direct polls.
    /// A relay that takes longer is considered failed.
    Duration answer_within = std::chrono::milliseconds(800);
  };
  struct Hooks {
    /// As in `RelayedPoller`, for one prefix.
    std::function<std::optional<std::string>(const std::string& prefix,
                                             std::uint64_t from,
                                             PolledWatch::PollDone done)>
        ask;
    std::function<void(const std::string& prefix, std::uint64_t from,
                       WaitMode wait, PolledWatch::PollDone done)>
        call;
    std::function<void(const std::string& relay, const Error& error)> on_failed;
  };

  /// `store` must outlive this object.
  RelayedStore(ObjectStore* store, const Options& options, Hooks hooks,
               Clock clock, RunAfter run_after);

  void Get(const std::string& key, const CallOptions& options,
           Callback<std::optional<StoredObject>> done) override;
  void List(const std::string& prefix, const CallOptions& options,
            Callback<Listing> done) override;
  void ListInParts(const std::string& prefix, const CallOptions& options,
                   OnPart on_part, Callback<Listing> done) override;
  void ReadChanges(const std::string& prefix, std::uint64_t from_version,
                   const CallOptions& options,
                   Callback<WatchBatch> done) override;
  void Put(const std::string& key, const std::string& value,
           ExpectedVersion expected, const CallOptions& options,
           Callback<std::uint64_t> done) override;
  void Delete(const std::string& key, ExpectedVersion expected,
              const CallOptions& options, Callback<Unit> done) override;
  std::unique_ptr<Watch> StartWatch(
      const std::string& prefix, std::uint64_t from_version,
      OnWatchEvents on_events,
      std::function<void(const Error&)> on_end) override;
  void ListInstances(const CallOptions& options,
                     Callback<InstanceList> done) override;

 private:
  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_RELAYED_STORE_H_
