#ifndef INDIGOLEAD_CORE_CONTROL_AUDIT_H_
#define INDIGOLEAD_CORE_CONTROL_AUDIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/base/time.h"

namespace indigolead {

/// Kind of an audited change.
enum class AuditKind {
  kEdit,
  kOrder,
  kRoleChange,
  kDrain,
  kQuarantine,
  kLease,
};

/// Returns "edit", "order", "role-change", "drain", "quarantine" or "lease".
std::string_view AuditKindName(AuditKind kind);

/// Returns the kind with this name, or nothing.
std::optional<AuditKind> AuditKindFromName(std::string_view name);

/// Audit record of one accepted change.
struct AuditRecord {
  AuditKind kind = AuditKind::kEdit;
  std::string subject;  ///< Changed object: a deployment or a target.
  std::string cause;
  std::string actor;  ///< Operator or entry that made the change.
  FencingNumber fencing_number = 0;  ///< 0 if no authority was needed.
  std::string before;
  std::string after;
  WallMicros at = 0;

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

/// Returns `record` as one line of JSON, without the line feed.
std::string EncodeAuditRecord(const AuditRecord& record);

/// Decodes a record from one line of JSON.
Result<AuditRecord> DecodeAuditRecord(std::string_view line);

/// Records of one segment, oldest first. Unreadable lines are counted in
/// `bad_lines`.
struct AuditSegment {
  std::vector<AuditRecord> records;
  std::size_t bad_lines = 0;
};
/// Returns the records of a segment at or after `since`.
AuditSegment ReadAuditSegment(std::string_view text, WallMicros since);

/// Returns the key of an entry's segment: "audit/ENTRY-INDEX". Each entry has a
/// ring of segments, so that the trail is bounded and no two entries write to
/// the same object.
std::string AuditSegmentKey(const std::string& entry, std::size_t index);

/// Collects audit records into segments and schedules their writes to the
/// store.
///
/// Each segment is written whole, so a lost or repeated write does no harm.
/// Writes are spaced out, so that the audit trail does not use up the store's
/// call budget.
class AuditTrail {
 public:
  struct Options {
    std::string entry;
    std::size_t segments = 8;
    std::size_t max_segment_bytes = 256U << 10;
    std::size_t max_waiting = 1024;  ///< Records not yet in a segment.
    Duration write_interval = std::chrono::seconds(2);
  };

  /// Requests an unconditional write of `value` to `key`; answered by
  /// `OnWritten`.
  struct Write {
    std::string key;
    std::string value;
    friend bool operator==(const Write&, const Write&) = default;
  };

  explicit AuditTrail(Options options);

  /// Continues in the newest segment that the store holds. Records wait until
  /// this call, so that a restart does not overwrite the trail.
  void OnLoaded(const std::vector<std::string>& segments);

  /// Appends a record. Returns false if it was dropped because too many records
  /// wait while the store is unavailable; the log still contains it.
  bool Append(const AuditRecord& record);

  /// Returns the write that is due, if any.
  std::optional<Write> Tick(TimePoint now);

  /// Handles the answer to the last write.
  void OnWritten(bool ok);

  std::uint64_t dropped() const { return dropped_; }

 private:
  void MoveWaitingToSegment();

  Options options_;
  bool loaded_ = false;
  std::size_t segment_index_ = 0;
  std::string segment_text_;
  std::deque<std::string> waiting_;
  bool dirty_ = false;
  bool in_flight_ = false;
  std::optional<TimePoint> last_write_;
  std::uint64_t dropped_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_AUDIT_H_
