#ifndef INDIGOLEAD_STORE_OBJECT_STORE_H_
#define INDIGOLEAD_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"

namespace indigolead {

/// One object of the platform's object API.
struct StoredObject {
  std::string key;
  std::string value;          ///< At most 1 MiB.
  std::uint64_t version = 0;  ///< Store-wide, strictly growing; never 0.

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// State of an instance as the platform's lagging list has it.
enum class InstanceState { kLive, kLeaving };

/// One line of the platform's instance list.
struct InstanceRecord {
  std::string name;
  std::string kind;  ///< "entry" or "target".
  std::string failure_domain;
  std::string region;
  std::string link_address;  ///< "IP:port" of its process of this system.
  InstanceState state = InstanceState::kLive;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// The instance list with its version.
struct InstanceList {
  std::uint64_t version = 0;
  std::vector<InstanceRecord> instances;

  friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

/// Order in which calls get tokens when the call rate is limited.
enum class CallPriority { kLease, kOrder, kClaim, kConfig, kStatus, kAudit };

/// Limits of one call.
struct CallOptions {
  CallPriority priority = CallPriority::kStatus;
  Duration deadline = std::chrono::seconds(2);
  /// A read may show the state of seconds ago, where that costs the store
  /// less. Without effect on a store that knows no such reads.
  bool may_be_stale = false;
  /// The call opens a connection, for which it waits behind no other call: what
  /// was kept may bear nothing any more.
  bool new_connection = false;
};

/// Change seen by a watch. A deleted object has no value.
struct WatchEvent {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t version = 0;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

/// Changes that one answer of the store tells.
struct WatchBatch {
  std::vector<WatchEvent> events;
  std::uint64_t version = 0;  ///< Up to which they are told.
  /// Another entry relayed it, and keeps the pace.
  bool relayed = false;

  friend bool operator==(const WatchBatch&, const WatchBatch&) = default;
};

/// Condition of a write: the version that the object must have now; 0 if it
/// must not exist.
using ExpectedVersion = std::uint64_t;

/// Calls of the platform's object API.
///
/// Every call ends by calling its callback exactly once, on the thread that
/// the implementation was built for, with a value or an error. `kUnavailable`,
/// `kConflict` and `kOverloaded` mean that a write had no effect; `kTimeout`
/// and `kUnknownEffect` mean that it may have had: settle it by reading back
/// the nonce that the writer put into the value.
class ObjectStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  /// Stops its watch when destroyed; the callbacks are not called afterwards.
  class Watch {
   public:
    virtual ~Watch() = default;

    /// Returns up to when every change is known here, at the time `now`. A
    /// watch that the store tells of each change at once knows all until `now`.
    virtual TimePoint known_until(TimePoint now) const { return now; }

    /// Returns when the store was last heard, at the time `now`.
    virtual TimePoint heard_at(TimePoint now) const { return now; }

    /// Returns the version up to which every change has been told; 0 if the
    /// watch does not count.
    virtual std::uint64_t told_version() const { return 0; }
  };

  /// Takes changes that one answer told, in order; there is at least one.
  using OnWatchEvents = std::function<void(const std::vector<WatchEvent>&)>;

  virtual ~ObjectStore() = default;

  /// Reads one object; nothing if it does not exist.
  virtual void Get(const std::string& key, const CallOptions& options,
                   Callback<std::optional<StoredObject>> done) = 0;

  /// Reads every object whose key starts with `prefix`, with the store-wide
  /// version of the snapshot (in `InstanceList` fashion, as `version`).
  struct Listing {
    std::uint64_t version = 0;
    std::vector<StoredObject> objects;
  };
  virtual void List(const std::string& prefix, const CallOptions& options,
                    Callback<Listing> done) = 0;

  /// As `List`, and shows what was read so far to `on_part` before each further
  /// call that a long list takes. Without such calls nothing is shown.
  using OnPart = std::function<void(const Listing&)>;
  virtual void ListInParts(const std::string& prefix,
                           const CallOptions& options, OnPart /*on_part*/,
                           Callback<Listing> done) {
    List(prefix, options, std::move(done));
  }

  /// Reads the changes below `prefix` after `from_version`, without a wait for
  /// any. Fails with `kNotFound`, which may come from inside the call, where
  /// the store does not have them: list then.
  virtual void ReadChanges(const std::string& prefix,
                           std::uint64_t /*from_version*/,
                           const CallOptions& /*options*/,
                           Callback<WatchBatch> done) {
    done(Error{ErrorCode::kNotFound, "store.changes", prefix,
               "the store tells changes by watches only"});
  }

  /// Writes `value` if the object's version is `expected`. Returns the new
  /// version, or `kConflict` with the version found in `detail`.
  virtual void Put(const std::string& key, const std::string& value,
                   ExpectedVersion expected, const CallOptions& options,
                   Callback<std::uint64_t> done) = 0;

  /// Deletes the object if its version is `expected`.
  virtual void Delete(const std::string& key, ExpectedVersion expected,
                      const CallOptions& options, Callback<Unit> done) = 0;

  /// Reports the changes after `from_version` below `prefix` until the watch
  /// breaks or falls silent; then calls `on_end` once. The caller lists again.
  virtual std::unique_ptr<Watch> StartWatch(
      const std::string& prefix, std::uint64_t from_version,
      OnWatchEvents on_events, std::function<void(const Error&)> on_end) = 0;

  /// Reads the platform's instance list, which lags behind reality.
  virtual void ListInstances(const CallOptions& options,
                             Callback<InstanceList> done) = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_OBJECT_STORE_H_
