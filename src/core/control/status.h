#ifndef INDIGOLEAD_CORE_CONTROL_STATUS_H_
#define INDIGOLEAD_CORE_CONTROL_STATUS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/control/orders.h"

namespace indigolead {

/// A value with the time at which it was observed.
///
/// An operator must not take an outdated value for a current one. Once a value
/// is no longer updated, it is printed as "unknown since" a time, without the
/// value.
template <typename T>
struct Timestamped {
  std::optional<T> value;
  TimePoint seen_at;
  /// Set while nothing updates the value.
  std::optional<TimePoint> unknown_since;

  static Timestamped Seen(T value, TimePoint at) {
    return Timestamped{std::move(value), at, std::nullopt};
  }
  friend bool operator==(const Timestamped&, const Timestamped&) = default;
};

/// Load of one target, as its side reported it.
struct TargetLoadStatus {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t kv_used_bytes = 0;
  std::uint64_t kv_capacity_bytes = 0;

  friend bool operator==(const TargetLoadStatus&,
                         const TargetLoadStatus&) = default;
};

struct TargetStatus {
  std::string name;
  std::string deployment;
  std::string failure_domain;
  Timestamped<std::string> health;  ///< up, down, changing
  Timestamped<std::string> role;
  Timestamped<std::vector<std::string>> models;  ///< name@version
  std::string desired_role;                      ///< Empty: no order.
  std::string desired_model;                     ///< name@version
  std::uint64_t order_generation = 0;
  std::string order_phase;
  std::string order_detail;
  bool out_of_service = false;
  Timestamped<std::uint64_t> revision;
  Timestamped<TargetLoadStatus> load;
  std::string drain_cause;  ///< Empty: not drained.

  friend bool operator==(const TargetStatus&, const TargetStatus&) = default;
};

struct EntryStatus {
  std::string name;
  std::string failure_domain;
  Timestamped<bool> up;
  std::map<std::string, std::uint64_t> revisions;

  friend bool operator==(const EntryStatus&, const EntryStatus&) = default;
};

struct DeploymentStatus {
  std::string name;
  std::uint64_t revision = 0;
  std::string author;
  std::string source_version;
  WallMicros accepted_at = 0;
  bool in_force_everywhere = false;
  std::vector<std::string> waiting_for;
  std::map<std::string, TimePoint> unknown_since;

  friend bool operator==(const DeploymentStatus&,
                         const DeploymentStatus&) = default;
};

/// One quarantined request, by fingerprint.
struct QuarantineStatus {
  std::uint64_t fingerprint = 0;
  std::string client_account;
  std::string deployment;
  std::uint32_t kills = 0;
  Duration remaining{};
  std::string reason;

  friend bool operator==(const QuarantineStatus&,
                         const QuarantineStatus&) = default;
};

/// Content of `GET /admin/status`, as seen by one entry.
struct SystemStatus {
  std::string entry;  ///< Entry that answers the request.
  Timestamped<bool> store_answers;
  Timestamped<std::string> lease_holder;
  FencingNumber fencing_number = 0;
  bool controller_here = false;
  std::vector<DeploymentStatus> deployments;
  std::vector<TargetStatus> targets;
  std::vector<EntryStatus> entries;
  std::vector<QuarantineStatus> quarantines;

  friend bool operator==(const SystemStatus&, const SystemStatus&) = default;
};

/// Returns `status` as JSON. `now` and `wall_now` must be read together; ages
/// and "unknown_since" are computed from them.
///
/// Each `Timestamped` value is written as `{"value":V,"age_s":N}`, as
/// `{"unknown_since":WALL_MICROS,"unknown_for_s":N}`, or as `null` if it was
/// never observed.
std::string EncodeStatus(const SystemStatus& status, TimePoint now,
                         WallMicros wall_now);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_STATUS_H_
