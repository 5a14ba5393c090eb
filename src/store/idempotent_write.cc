#include "store/idempotent_write.h"

#include <optional>
#include <utility>

namespace indigolead {
namespace {

constexpr char kStep[] = "store.settle";

/// Returns true if a write that ended with `code` may have taken effect.
bool IsOutcomeUnknown(ErrorCode code) {
  return code == ErrorCode::kTimeout || code == ErrorCode::kUnknownEffect;
}

}  // namespace

/// State shared with the writes in progress, which end once `closed` is set.
struct IdempotentWriter::Shared {
  ObjectStore* store;
  Clock clock;
  RunAfter run_after;
  bool closed = false;
};

/// One write in progress, kept alive by its pending callbacks.
class IdempotentWriter::Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(std::shared_ptr<Shared> shared, IdempotentPut put, Done done)
      : shared_(std::move(shared)),
        put_(std::move(put)),
        done_(std::move(done)),
        deadline_(shared_->clock() + put_.total_timeout) {}

  void Write() {
    if (shared_->closed) {
      return;
    }
    shared_->store->Put(
        put_.key, put_.value, put_.expected, put_.call,
        [self = shared_from_this()](const Result<std::uint64_t>& result) {
          self->OnWritten(result);
        });
  }

 private:
  void OnWritten(const Result<std::uint64_t>& result) {
    if (shared_->closed) {
      return;
    }
    if (IsOk(result)) {
      done_(ValueOf(result));
      return;
    }
    const Error& error = ErrorOf(result);
    if (IsOutcomeUnknown(error.code)) {
      outcome_unknown_ = true;
      Retry(error);
    } else if (!outcome_unknown_) {
      done_(error);
    } else if (error.code == ErrorCode::kConflict) {
      ReadBack();
    } else {
      Retry(error);
    }
  }

  /// Repeats the write after the retry delay, or fails if time is up.
  void Retry(const Error& cause) {
    if (shared_->clock() + put_.retry_delay >= deadline_) {
      done_(Error{
          ErrorCode::kTimeout, kStep, cause.peer,
          "outcome not determined before the deadline: " + ToString(cause)});
      return;
    }
    shared_->run_after(put_.retry_delay,
                       [self = shared_from_this()] { self->Write(); });
  }

  /// Reads the object to find out whose write caused the conflict.
  void ReadBack() {
    shared_->store->Get(put_.key, put_.call,
                        [self = shared_from_this()](
                            const Result<std::optional<StoredObject>>& result) {
                          self->OnRead(result);
                        });
  }

  void OnRead(const Result<std::optional<StoredObject>>& result) {
    if (shared_->closed) {
      return;
    }
    if (!IsOk(result)) {
      Retry(ErrorOf(result));
      return;
    }
    const auto& object = ValueOf(result);
    if (object && put_.is_ours(object->value)) {
      done_(object->version);
      return;
    }
    const std::uint64_t found = object ? object->version : 0;
    const bool stale = object ? found <= put_.expected : put_.expected == 0;
    if (stale) {
      // The conflict proves that the object has changed, so this read is stale.
      Retry(Error{ErrorCode::kUnavailable, kStep, "", "stale read"});
      return;
    }
    done_(Error{ErrorCode::kUnknownEffect, kStep, "",
                "the object is at version " + std::to_string(found) +
                    " of another writer, which may have replaced this write"});
  }

  std::shared_ptr<Shared> shared_;
  IdempotentPut put_;
  Done done_;
  TimePoint deadline_;
  bool outcome_unknown_ = false;
};

IdempotentWriter::IdempotentWriter(ObjectStore* store, Clock clock,
                                   RunAfter run_after)
    : shared_(std::make_shared<Shared>(
          Shared{store, std::move(clock), std::move(run_after)})) {}

IdempotentWriter::~IdempotentWriter() { shared_->closed = true; }

void IdempotentWriter::Put(IdempotentPut put, Done done) {
  std::make_shared<Attempt>(shared_, std::move(put), std::move(done))->Write();
}

}  // namespace indigolead
