#ifndef INDIGOLEAD_CORE_PLACEMENT_ROLE_CHANGE_WAIT_H_
#define INDIGOLEAD_CORE_PLACEMENT_ROLE_CHANGE_WAIT_H_

#include <compare>
#include <map>
#include <string>
#include <variant>

#include "core/base/time.h"

namespace indigolead {

/// The targets of one service that run one software version.
struct ServiceVersion {
  std::string service;
  std::string software_version;

  friend auto operator<=>(const ServiceVersion&,
                          const ServiceVersion&) = default;
};

/// The request waits: a target is expected to decode before its deadline.
struct WaitForRoleChange {
  Duration expected{0};  ///< Time until then.

  friend bool operator==(const WaitForRoleChange&,
                         const WaitForRoleChange&) = default;
};

/// The request is refused; its caller may come back after `retry_after`.
struct RefuseUntilRoleChange {
  Duration retry_after{0};

  friend bool operator==(const RefuseUntilRoleChange&,
                         const RefuseUntilRoleChange&) = default;
};

using RoleChangeDecision =
    std::variant<WaitForRoleChange, RefuseUntilRoleChange>;

/// Decides whether a request that continues a stream waits while all targets of
/// the stream's software version prefill.
///
/// The holder of the control lease then orders one of them to decode. A caller
/// that is refused meanwhile has lost the stream if it may not come back once
/// more, so the request waits as long as the change is not overdue and can be
/// in time for it.
///
/// Not thread-safe. Bounded by the number of services and versions.
class RoleChangeWait {
 public:
  struct Options {
    /// Time that passes beside the change itself: the loss is noticed, the
    /// order is sent, and the new role becomes known.
    Duration overhead = std::chrono::milliseconds(1500);
    /// Time that a request must have left when the change is done.
    Duration min_time_left = std::chrono::milliseconds(500);
    /// Least time after which a refused caller should come back.
    Duration min_retry_after = std::chrono::seconds(1);
    /// A change that no request has waited for during this time is over.
    Duration forget_after = std::chrono::seconds(1);
  };

  explicit RoleChangeWait(const Options& options) : options_(options) {}

  /// Decides about a request with this deadline. `change_time` is the time that
  /// an engine takes to change its role.
  RoleChangeDecision Decide(const ServiceVersion& version, Duration change_time,
                            TimePoint deadline, TimePoint now);

  /// Records that a target of the version decodes.
  void OnDecodes(const ServiceVersion& version) { changes_.erase(version); }

 private:
  struct Change {
    TimePoint since;    ///< When the first request found no target.
    TimePoint last_at;  ///< When the latest did.
  };

  Options options_;
  std::map<ServiceVersion, Change> changes_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ROLE_CHANGE_WAIT_H_
