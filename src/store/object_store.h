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

/// State of an instance in the platform's instance list, which lags behind
/// reality.
enum class InstanceState { kLive, kLeaving };

/// Element of the platform's instance list.
struct InstanceRecord {
  std::string name;
  std::string kind;  ///< "entry" or "target".
  std::string failure_domain;
  std::string region;
  std::string link_address;  ///< "IP:port" of its process in this system.
  InstanceState state = InstanceState::kLive;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// Instance list and its version.
struct InstanceList {
  std::uint64_t version = 0;
  std::vector<InstanceRecord> instances;

  friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

/// Priority of a call under rate limiting, highest first.
enum class CallPriority { kLease, kOrder, kClaim, kConfig, kStatus, kAudit };

/// Deadline, priority and read options of one call.
struct CallOptions {
  CallPriority priority = CallPriority::kStatus;
  Duration deadline = std::chrono::seconds(2);
  /// Allows a read to return state that is a few seconds old if that is cheaper
  /// for the store. Stores without stale reads ignore it.
  bool may_be_stale = false;
  /// Opens a new connection and does not wait behind queued calls: pooled
  /// connections may be dead.
  bool new_connection = false;
};

/// Change reported by a watch. The value is absent if the object was deleted.
struct WatchEvent {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t version = 0;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

/// Changes in one response of the store.
struct WatchBatch {
  std::vector<WatchEvent> events;
  std::uint64_t version = 0;  ///< All changes up to it are included.
  /// The response came through another entry, which limits the polling rate.
  bool relayed = false;

  friend bool operator==(const WatchBatch&, const WatchBatch&) = default;
};

/// Precondition of a write: the current version of the object, or 0 if it must
/// not exist.
using ExpectedVersion = std::uint64_t;

/// Client of the platform's object API.
///
/// Every call invokes its callback exactly once, on the thread that the
/// implementation was built for, with a value or an error. `kUnavailable`,
/// `kConflict` and `kOverloaded` mean that a write had no effect. `kTimeout`
/// and `kUnknownEffect` mean that it may have had one; the caller finds out by
/// reading back the nonce that it put into the value.
class ObjectStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  /// Handle of a watch. Destroying it stops the watch; its callbacks are not
  /// called afterwards.
  class Watch {
   public:
    virtual ~Watch() = default;

    /// Returns the time up to which every change is known, as of `now`. A watch
    /// to which the store pushes each change at once knows all changes until
    /// `now`.
    virtual TimePoint known_until(TimePoint now) const { return now; }

    /// Returns when the store last responded, as of `now`.
    virtual TimePoint heard_at(TimePoint now) const { return now; }

    /// Returns the version up to which every change has been reported, or 0 if
    /// the watch does not track it.
    virtual std::uint64_t reported_version() const { return 0; }
  };

  /// Receives the changes of one response, in order; there is at least one.
  using OnWatchEvents = std::function<void(const std::vector<WatchEvent>&)>;

  virtual ~ObjectStore() = default;

  /// Reads one object. Returns nothing if it does not exist.
  virtual void Get(const std::string& key, const CallOptions& options,
                   Callback<std::optional<StoredObject>> done) = 0;

  /// Objects whose keys start with a prefix, with the store-wide version of the
  /// snapshot.
  struct Listing {
    std::uint64_t version = 0;
    std::vector<StoredObject> objects;
  };

  /// Lists all objects whose keys start with `prefix`.
  virtual void List(const std::string& prefix, const CallOptions& options,
                    Callback<Listing> done) = 0;

  /// Receives the objects read so far.
  using OnPart = std::function<void(const Listing&)>;

  /// Reads as `List` does. If the listing takes several calls, passes what was
  /// read so far to `on_part` before each further call.
  virtual void ListInParts(const std::string& prefix,
                           const CallOptions& options, OnPart /*on_part*/,
                           Callback<Listing> done) {
    List(prefix, options, std::move(done));
  }

  /// Reads the changes below `prefix` after `from_version` without waiting for
  /// new ones. Fails with `kNotFound` if the store does not have them; the
  /// caller then lists. This error may be reported from inside the call.
  virtual void ReadChanges(const std::string& prefix,
                           std::uint64_t /*from_version*/,
                           const CallOptions& /*options*/,
                           Callback<WatchBatch> done) {
    done(Error{ErrorCode::kNotFound, "store.changes", prefix,
               "the store reports changes through watches only"});
  }

  /// Writes `value` if the object's version is `expected`. Returns the new
  /// version, or `kConflict` with the current version in `detail`.
  virtual void Put(const std::string& key, const std::string& value,
                   ExpectedVersion expected, const CallOptions& options,
                   Callback<std::uint64_t> done) = 0;

  /// Deletes the object if its version is `expected`.
  virtual void Delete(const std::string& key, ExpectedVersion expected,
                      const CallOptions& options, Callback<Unit> done) = 0;

  /// Reports the changes after `from_version` below `prefix` until the watch
  /// breaks or goes silent; then calls `on_end` once. The caller then reads the
  /// missed changes or lists again.
  virtual std::unique_ptr<Watch> StartWatch(
      const std::string& prefix, std::uint64_t from_version,
      OnWatchEvents on_events, std::function<void(const Error&)> on_end) = 0;

  /// Reads the platform's instance list, which lags behind reality.
  virtual void ListInstances(const CallOptions& options,
                             Callback<InstanceList> done) = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_OBJECT_STORE_H_
