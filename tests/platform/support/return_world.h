#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_RETURN_WORLD_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_RETURN_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/membership/target_directory.h"
#include "entry/target_follower.h"
#include "platform/object_store.h"
#include "platform/settings.h"
#include "store/object_store.h"
#include "tests/support/watch_world.h"

// Simulates, in simulated time, an entry that follows the targets in a store
// which becomes unreachable in several ways and returns.
namespace indigolead::testing {

/// How an entry's calls to the store fail, if they do.
enum class StorePath {
  kHealthy,
  kRefused,  ///< Answered with 503 at once.
  kReset,    ///< Each connection is reset at once.
  kSilent,   ///< Nothing is answered.
  kOneWay,   ///< Calls arrive, but their answers are lost.
  kSlow,     ///< Each answer takes 250 ms.
  /// Open connections carry no more data; new ones work.
  kKeptSilent,
};

/// Registrations of the targets, with the history of their changes.
class RegistrationTable {
 public:
  struct Change {
    std::string key;
    std::optional<std::string> value;
  };

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::uint64_t version() const { return changes_.size(); }
  /// Returns the changes after version `from`.
  WatchBatch After(std::uint64_t from) const;
  ObjectStore::Listing Listed() const;
  void OnChange(std::function<void()> hook) {
    hooks_.push_back(std::move(hook));
  }

 private:
  void Append(Change change);

  std::map<std::string, StoredObject> objects_;
  std::vector<Change> changes_;
  std::vector<std::function<void()>> hooks_;
};

/// Store client of one entry, with simulated connection faults.
class FaultyStoreClient : public ObjectStore {
 public:
  FaultyStoreClient(Timeline* timeline, RegistrationTable* table,
                    const platform::PlatformObjectStore::Options& options);

  void SetPath(StorePath path);
  std::uint64_t calls() const { return calls_; }

  void Get(const std::string& key, const CallOptions& options,
           Callback<std::optional<StoredObject>> done) override;
  void List(const std::string& prefix, const CallOptions& options,
            Callback<Listing> done) override;
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
  struct Call {
    bool arrived = false;
    bool answered = false;
    bool waits = false;
    std::uint64_t from = 0;
    bool lost = false;  ///< Its connection carries no more data.
    std::function<void()> answer;
    std::function<void(const Error&)> fail;
  };

  /// Starts a call, whose `answer` runs once the store has received it.
  std::uint64_t Begin(Duration deadline, Call call);
  void Poll(std::uint64_t from, Duration wait, Duration deadline,
            PolledWatch::PollDone done);
  void Arrive(std::uint64_t id);
  void Answer(std::uint64_t id);
  void Fail(std::uint64_t id, const Error& error);
  void OnChange();

  Timeline* timeline_;
  RegistrationTable* table_;
  platform::PlatformObjectStore::Options options_;
  StorePath path_ = StorePath::kHealthy;
  /// True while kept connections carry no data. A call that times out on one
  /// reveals this and ends it.
  bool kept_silent_ = false;
  std::map<std::uint64_t, Call> open_;
  std::uint64_t calls_ = 0;
};

/// Entry that decides from the store which targets may get new requests.
class FollowingEntry {
 public:
  FollowingEntry(Timeline* timeline, RegistrationTable* table,
                 const platform::PlatformSettings& settings,
                 std::function<double()> jitter);

  FaultyStoreClient& path() { return path_; }
  /// Returns the targets that may get new requests.
  const std::set<std::string>& usable() const { return usable_; }

 private:
  TargetFollower::Hooks Hooks(std::function<double()> jitter);
  void Apply(const std::vector<TargetChange>& changes);
  void Tick();

  Timeline* timeline_;
  FaultyStoreClient path_;
  TargetDirectory directory_;
  std::set<std::string> usable_;
  TargetFollower follower_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_RETURN_WORLD_H_
