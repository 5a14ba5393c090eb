#ifndef INDIGOLEAD_STORE_SETTLED_WRITE_H_
#define INDIGOLEAD_STORE_SETTLED_WRITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "store/object_store.h"
#include "store/run_after.h"

namespace indigolead {

/// Conditional write whose value shows who wrote it.
struct SettledPut {
  std::string key;
  std::string value;
  ExpectedVersion expected = 0;
  CallOptions call;  ///< Limits of each call made, not of the whole.
  /// Returns true if a value read back is the one of this very write: it holds
  /// the write's nonce, which no other write has.
  std::function<bool(const std::string& value)> is_ours;
  Duration settle_for = std::chrono::seconds(10);  ///< Limit of the whole.
  Duration retry_delay = std::chrono::milliseconds(100);
};

/// Writes objects such that a lost answer does not leave the writer in doubt.
///
/// The failure: the store does the write and its answer is lost. The symptom:
/// the writer repeats it, is told of a conflict, and takes its own write for
/// another's (a controller that holds the lease stands back; an operator's
/// edit that was accepted is reported as refused). The remedy: after an answer
/// that leaves doubt, the same write is made again, with the same nonce and
/// the same expected version. A version never returns, so at most one of them
/// can take effect; and if an earlier one did, the repeat gets a conflict, and
/// the value read back carries the nonce. Reading alone would not do: a write
/// may be still on its way when the read finds the old version.
///
/// That holds for `expected` = 0 only if nobody deletes the object meanwhile:
/// "absent" is the one state that can return.
class SettledWriter {
 public:
  using Done = ObjectStore::Callback<std::uint64_t>;

  /// `store` must outlive this object.
  SettledWriter(ObjectStore* store, Clock clock, RunAfter run_after);

  /// Gives up all writes in progress; their callbacks are not called.
  ~SettledWriter();
  SettledWriter(const SettledWriter&) = delete;
  SettledWriter& operator=(const SettledWriter&) = delete;

  /// Makes the write and calls `done` once, with
  /// - the version, if the write took effect and is the newest;
  /// - `kConflict`, if it provably had no effect;
  /// - `kUnavailable`, `kOverloaded` or `kInvalidInput`, if it was never tried
  ///   with effect, either;
  /// - `kUnknownEffect`, if another write stands there now and ours may have
  ///   stood before it;
  /// - `kTimeout`, if the doubt could not be settled in time.
  void Put(SettledPut put, Done done);

 private:
  struct Shared;
  class Attempt;
  std::shared_ptr<Shared> shared_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_SETTLED_WRITE_H_
