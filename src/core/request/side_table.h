#ifndef INDIGOLEAD_CORE_REQUEST_SIDE_TABLE_H_
#define INDIGOLEAD_CORE_REQUEST_SIDE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/base/time.h"
#include "core/request/request_types.h"

namespace indigolead {

/// Sides known to an entry, connected or absent (not connected), and the
/// attempts at each.
///
/// A side outlives its connection: an attempt whose connection broke still
/// belongs to the same incarnation of the side and can be resumed on the next
/// connection.
class SideTable {
 public:
  struct Side {
    SideInfo info;
    std::optional<SideLink> link;  ///< Absent while not connected.
    TimePoint absent_since;
    bool leave_requested = false;  ///< By the platform.
    bool drained = false;          ///< By an operator.
    std::unordered_set<AttemptId> attempts;
    /// Cancels to send when the side reconnects.
    std::vector<AttemptRef> pending_cancels;
  };

  /// Result of recording a connected side.
  struct ConnectResult {
    Side* side = nullptr;  ///< Null if the table is full.
    /// Attempts at an earlier incarnation of the instance, which are lost.
    std::vector<AttemptId> lost;
  };

  explicit SideTable(std::size_t max_sides) : max_sides_(max_sides) {}

  /// Records that the side described by `info` is connected by `link`.
  ConnectResult Connect(SideLink link, SideInfo info);
  /// Marks the side of `link` absent. Returns it, or null if the link is
  /// unknown or was replaced by a newer one.
  Side* Disconnect(SideLink link, TimePoint now);
  Side* FindByLink(SideLink link);
  const Side* FindByLink(SideLink link) const;
  Side* Find(const std::string& instance);
  const Side* Find(const std::string& instance) const;

  /// Records whether the platform reports `instance` as leaving.
  void SetLeaving(const std::string& instance, bool leaving);
  /// Replaces the set of instances that operators drain.
  void SetDrains(const std::vector<std::string>& instances);

  /// Returns true if new attempts may go to the side's target.
  static bool AcceptsAttempts(const Side& side);

  /// Returns the targets of `deployment` that accept new attempts.
  std::vector<Candidate> CandidatesFor(
      const std::string& deployment,
      const std::vector<std::string>& tried) const;

  /// Drops sides absent for longer than `limit` that hold no attempt.
  void DropAbsent(Duration limit, TimePoint now);

  std::size_t size() const { return sides_.size(); }
  const std::map<std::string, Side>& sides() const { return sides_; }
  std::map<std::string, Side>& sides() { return sides_; }

 private:
  std::size_t max_sides_;
  std::map<std::string, Side> sides_;
  std::map<SideLink, std::string> links_;
  /// Instances that the platform reports as leaving, also those not connected
  /// yet; bounded by `max_sides_`.
  std::unordered_set<std::string> leaving_;
  std::unordered_set<std::string> drains_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_SIDE_TABLE_H_
