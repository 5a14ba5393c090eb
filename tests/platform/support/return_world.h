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

// Entries that follow the targets through a store that is lost in many ways and
// comes back, in simulated time.
namespace indigolead::testing {

/// What becomes of an entry's calls of the store.
enum class StorePath {
  kWell,
  kRefused,  ///< Answered with 503 at once.
  kReset,    ///< Each connection is reset at once.
  kSilent,   ///< Nothing is answered.
  kOneWay,   ///< Calls arrive, their answers do not.
  kSlow,     ///< Each answer comes a quarter of a second late.
  /// Connections that were open bear nothing any more, new ones are well.
  kKeptSilent,
};

/// The targets' registrations, with the history of their changes.
class RegistrationTable {
 public:
  struct Change {
    std::string key;
    std::optional<std::string> value;
  };

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::uint64_t version() const { return changes_.size(); }
  /// Returns the changes after `from`.
  WatchBatch After(std::uint64_t from) const;
  ObjectStore::Listing Listed() const;
  void OnChange(std::function<void()> hook) {
    hooks_.push_back(std::move(hook));
  }

 private:
  void Make(Change change);

  std::map<std::string, StoredObject> objects_;
  std::vector<Change> changes_;
  std::vector<std::function<void()>> hooks_;
};

/// The store as one entry reaches it.
class PathToStore : public ObjectStore {
 public:
  PathToStore(Timeline* timeline, RegistrationTable* table,
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
    bool lost = false;  ///< Its connection bears nothing any more.
    std::function<void()> answer;
    std::function<void(const Error&)> fail;
  };

  /// Makes a call that `answer` ends once the store has it.
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
  StorePath path_ = StorePath::kWell;
  /// Kept connections that bear nothing; a call that runs out of time shows it.
  bool kept_silent_ = false;
  std::map<std::uint64_t, Call> open_;
  std::uint64_t calls_ = 0;
};

/// An entry that judges by the store which targets may get new work.
class FollowingEntry {
 public:
  FollowingEntry(Timeline* timeline, RegistrationTable* table,
                 const platform::PlatformSettings& settings,
                 std::function<double()> jitter);

  PathToStore& path() { return path_; }
  /// Returns the targets that may get new work.
  const std::set<std::string>& usable() const { return usable_; }

 private:
  TargetFollower::Hooks Hooks(std::function<double()> jitter);
  void Apply(const std::vector<TargetChange>& changes);
  void Tick();

  Timeline* timeline_;
  PathToStore path_;
  TargetDirectory directory_;
  std::set<std::string> usable_;
  TargetFollower follower_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_RETURN_WORLD_H_
