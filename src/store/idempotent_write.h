#ifndef INDIGOLEAD_STORE_IDEMPOTENT_WRITE_H_
#define INDIGOLEAD_STORE_IDEMPOTENT_WRITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "store/object_store.h"
#include "store/run_after.h"

namespace indigolead {

/// Conditional write whose value identifies its writer.
struct IdempotentPut {
  std::string key;
  std::string value;
  ExpectedVersion expected = 0;
  CallOptions call;  ///< Options of each call; the deadline is per call.
  /// Returns true if a value read back comes from this write, that is, holds
  /// its unique nonce.
  std::function<bool(const std::string& value)> is_ours;
  Duration total_timeout = std::chrono::seconds(10);  ///< For all attempts.
  Duration retry_delay = std::chrono::milliseconds(100);
};

/// Conditional writes that determine their outcome when a response is lost.
///
/// If the store performs a write and its response is lost, a plain retry gets a
/// conflict, and the writer takes its own write for another's: a controller
/// that holds the lease steps down, or an accepted edit is reported to the
/// operator as rejected. Instead, after an ambiguous result the same write is
/// repeated with the same nonce and expected version. Versions are never
/// reused, so at most one attempt takes effect. If an earlier one did, the
/// repeat gets a conflict and the value read back has the nonce. Reading alone
/// is not enough: the write may still be in flight when the read returns the
/// old version.
///
/// With `expected` = 0 this holds only if nobody deletes the object meanwhile,
/// because an object can become absent again.
class IdempotentWriter {
 public:
  using Done = ObjectStore::Callback<std::uint64_t>;

  /// `store` must outlive this object.
  IdempotentWriter(ObjectStore* store, Clock clock, RunAfter run_after);

  /// Abandons all writes in progress; their callbacks are not called.
  ~IdempotentWriter();
  IdempotentWriter(const IdempotentWriter&) = delete;
  IdempotentWriter& operator=(const IdempotentWriter&) = delete;

  /// Makes the write and calls `done` once, with
  /// - the version, if the write took effect and is the newest;
  /// - `kConflict`, if it provably had no effect;
  /// - `kUnavailable`, `kOverloaded` or `kInvalidInput`, if no attempt had an
  ///   effect;
  /// - `kUnknownEffect`, if the object now holds another write, which may have
  ///   replaced this one;
  /// - `kTimeout`, if the outcome could not be determined in time.
  void Put(IdempotentPut put, Done done);

 private:
  struct Shared;
  class Attempt;
  std::shared_ptr<Shared> shared_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_IDEMPOTENT_WRITE_H_
