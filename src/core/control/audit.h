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

/// What was changed.
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

/// One accepted change.
struct AuditRecord {
  AuditKind kind = AuditKind::kEdit;
  std::string subject;  ///< What was changed: a deployment, a target.
  std::string cause;
  std::string actor;  ///< Operator or entry that made the change.
  FencingNumber fencing_number = 0;  ///< 0: needed no authority.
  std::string before;
  std::string after;
  WallMicros at = 0;

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

/// Returns `record` as one line of JSON, without the line feed.
std::string EncodeAuditRecord(const AuditRecord& record);

/// Returns the record in one line of JSON.
Result<AuditRecord> DecodeAuditRecord(std::string_view line);

/// Returns the records of one segment at or after `since`, oldest first.
/// Lines that cannot be read are counted in `bad_lines`, not hidden.
struct AuditSegment {
  std::vector<AuditRecord> records;
  std::size_t bad_lines = 0;
};
AuditSegment ReadAuditSegment(std::string_view text, WallMicros since);

/// Returns the key of an entry's segment: "audit/ENTRY-SLOT". Segments form a
/// ring per entry, so that the trail is bounded and no two entries write to
/// one object.
std::string AuditSegmentKey(const std::string& entry, std::size_t slot);

/// Gathers records into segments and says when which object is to be written.
///
/// Each segment is written whole, so a lost or repeated write does no harm.
/// Writes are spaced out: an audit trail must not use up the store's calls.
class AuditTrail {
 public:
  struct Options {
    std::string entry;
    std::size_t segments = 8;
    std::size_t max_segment_bytes = 256U << 10;
    std::size_t max_waiting = 1024;  ///< Records not yet in a segment.
    Duration write_interval = std::chrono::seconds(2);
  };

  /// Write `value` to `key`, whatever is there; answer with `OnWritten`.
  struct Write {
    std::string key;
    std::string value;
    friend bool operator==(const Write&, const Write&) = default;
  };

  explicit AuditTrail(Options options);

  /// Starts after the newest segment that the store holds. Before this call
  /// records wait, so that a restart does not write over the trail.
  void OnLoaded(const std::vector<std::string>& segments);

  /// Appends a record. Returns false if it was dropped because too many wait
  /// while the store is away; the logs still have it.
  bool Append(const AuditRecord& record);

  /// Returns the write that is due, if any.
  std::optional<Write> Tick(TimePoint now);

  /// The last write was answered.
  void OnWritten(bool ok);

  std::uint64_t dropped() const { return dropped_; }

 private:
  void MoveWaiting();

  Options options_;
  bool loaded_ = false;
  std::size_t slot_ = 0;
  std::string text_;
  std::deque<std::string> waiting_;
  bool dirty_ = false;
  bool in_flight_ = false;
  std::optional<TimePoint> last_write_;
  std::uint64_t dropped_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_AUDIT_H_
