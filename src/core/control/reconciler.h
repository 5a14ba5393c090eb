#ifndef INDIGOLEAD_CORE_CONTROL_RECONCILER_H_
#define INDIGOLEAD_CORE_CONTROL_RECONCILER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/control/audit.h"
#include "core/control/orders.h"
#include "core/control/placement.h"

namespace indigolead {

/// Computes one desired order per target from the deployment revisions and
/// keeps the engines in that state.
///
/// An engine that receives two orders at once could end in neither state. So
/// each target has a single order object in the store, and a different order is
/// written only after the target's side has confirmed or refused the last one.
/// A new lease holder reads all orders before it writes any. It then rewrites
/// each one unchanged except for its own fencing number, so that a late write
/// by the previous holder fails on the object version.
///
/// A target whose change failed counts as changing until it is repaired, so a
/// bad revision stops after `max_change_share` of a deployment's engines.
class Reconciler {
 public:
  struct Options {
    std::string actor;  ///< Name of this entry, for the audit trail.
    std::size_t max_targets = 4096;
    std::size_t max_deployments = 256;
    std::size_t max_writes_in_flight = 8;
    /// Maximum number of engines that load weights at once.
    std::size_t max_weight_loads = 4;
    /// Minimum time between the starts of two weight loads; the weight store is
    /// rate-limited.
    Duration weight_load_interval = std::chrono::seconds(2);
    /// Time for which an engine must differ from its confirmed order before it
    /// counts as drifted. A shorter difference may be a delayed report.
    Duration drift_grace = std::chrono::seconds(5);
    std::uint32_t max_tries = 2;
    Duration retry_interval = std::chrono::seconds(10);
    /// Delay before a target that was taken out of service is tried again.
    Duration out_of_service_time = std::chrono::minutes(15);
    /// Age from which a change in progress is shown as stuck.
    Duration stuck_after = std::chrono::minutes(5);
    Duration call_timeout = std::chrono::seconds(5);
    /// Delay before a target's next write after one that failed.
    Duration write_backoff = std::chrono::seconds(1);
  };

  /// Requests a read of all orders and the newest lease; answered by
  /// `OnOrders`.
  struct ReadOrders {
    friend bool operator==(const ReadOrders&, const ReadOrders&) = default;
  };
  /// Requests a read of one order; answered by `OnOrder`.
  struct ReadOrder {
    std::string target;
    friend bool operator==(const ReadOrder&, const ReadOrder&) = default;
  };
  /// Requests a write of `order` if the object version is `expected`; answered
  /// by `OnWritten`. The caller must check the authority again immediately
  /// before it sends the write.
  struct WriteOrder {
    TargetOrder order;
    std::uint64_t expected = 0;
    friend bool operator==(const WriteOrder&, const WriteOrder&) = default;
  };
  using Action = std::variant<ReadOrders, ReadOrder, WriteOrder, AuditRecord>;
  using Actions = std::vector<Action>;

  /// State of one target.
  struct TargetView {
    std::string deployment;
    StoredOrder stored;
    std::optional<OrderPhase> phase;  ///< Of the stored order.
    std::string detail;
    bool stuck = false;
    bool drifted = false;
  };

  Reconciler(Options options, RolePlan role_plan, IdSource ids);

  /// Adopts a revision of a deployment that this entry applies; older ones are
  /// ignored.
  void OnRevision(const Revision& revision);

  /// Handles a side's observation of its engine.
  void OnTarget(const TargetObservation& seen, TimePoint now);
  /// Removes a target that the platform no longer lists.
  void OnTargetGone(const std::string& target);
  /// Starts or ends an operator's drain. A drained target gets no new orders.
  void OnDrain(const std::string& target, bool drained);
  /// Handles a side's report on an order.
  void OnReport(const OrderReport& report, TimePoint now);

  /// Handles the answer to `ReadOrders`; `lease` was read together with the
  /// orders.
  void OnOrders(const Result<std::vector<StoredOrder>>& orders,
                const LeaseRecord& lease, TimePoint now);
  /// Handles one order as seen by a read or a watch.
  void OnOrder(const std::string& target, const StoredOrder& stored,
               const LeaseRecord& lease, TimePoint now);
  /// Handles the answer to `WriteOrder`.
  void OnWritten(const std::string& target, const Id128& nonce,
                 const Result<std::uint64_t>& answer, TimePoint now);

  /// Returns the actions due under `authority`. Without authority only pending
  /// audit records are returned.
  Actions Tick(std::optional<FencingNumber> authority, TimePoint now);

  /// Returns the state of `target`, or nothing if it is unknown.
  std::optional<TargetView> View(const std::string& target,
                                 TimePoint now) const;

 private:
  struct PendingWrite {
    TargetOrder order;
    std::uint64_t expected = 0;
    TimePoint sent_at;
    bool outcome_unknown = false;  ///< Read the order back first.
    bool read_sent = false;
    bool may_repeat = false;
    /// Audit record to emit once the write is known to have taken effect.
    std::optional<AuditRecord> record;
  };
  struct TrackedTarget {
    std::optional<TargetObservation> seen;
    StoredOrder stored;
    bool void_order = false;  ///< Written under a superseded number.
    std::optional<OrderPhase> phase;
    std::string detail;
    TimePoint ordered_at;
    TimePoint phase_at;
    std::optional<TimePoint> drift_since;
    std::optional<PendingWrite> write;
    /// Earliest time of the next write, set after a write that failed.
    TimePoint next_write;
    bool loads_weights = false;
    bool drained = false;
  };
  /// State of one pass over a deployment.
  struct ReconcilePass {
    const Revision& revision;
    std::size_t changes_left = 0;
    TimePoint now;
    Actions* actions;
  };

  bool EnsureOrdersRead(FencingNumber number, TimePoint now, Actions* actions);
  void Reconcile(const Revision& revision, TimePoint now, Actions* actions);
  void ReconcileTarget(const std::string& target, const DesiredState& desired,
                       TrackedTarget* tracked, ReconcilePass* pass);
  void WriteFirstOrder(const std::string& target, const DesiredState& desired,
                       TrackedTarget* tracked, ReconcilePass* pass);
  void WriteChangedOrder(const DesiredState& desired, TrackedTarget* tracked,
                         ReconcilePass* pass);
  void RetryFailedOrder(const DesiredState& desired, TrackedTarget* tracked,
                        ReconcilePass* pass);
  void RepairDrift(TrackedTarget* tracked, ReconcilePass* pass);
  void RewriteUnderOwnNumber(TrackedTarget* tracked, ReconcilePass* pass);
  bool MayChange(const DesiredState& desired, const TrackedTarget& tracked,
                 const ReconcilePass& pass) const;
  void Write(TargetOrder order, TrackedTarget* tracked, ReconcilePass* pass);
  TargetOrder MakeNextOrder(const TrackedTarget& tracked,
                            const DesiredState& desired, std::uint64_t revision,
                            std::string cause) const;

  void ResolveWrites(TimePoint now, Actions* actions);
  void ResolveWrite(TrackedTarget* tracked, const StoredOrder& stored);
  void AcceptWrite(TrackedTarget* tracked);
  void StoreOrder(TrackedTarget* tracked, const StoredOrder& stored,
                  const LeaseRecord& lease, TimePoint now);
  TrackedTarget* FindOrAdd(const std::string& target);
  static void MarkIfInForce(TrackedTarget* tracked, TimePoint now);

  std::vector<TargetObservation> Members(const std::string& deployment) const;
  std::size_t CountChanging(const std::string& deployment) const;
  std::size_t CountWeightLoads() const;
  std::size_t CountWrites() const;
  static bool IsChanging(const TrackedTarget& tracked);
  static bool LoadsWeights(const TrackedTarget& tracked,
                           const DesiredState& desired);
  AuditRecord MakeAuditRecord(const TrackedTarget& tracked,
                              const TargetOrder& order) const;

  Options options_;
  RolePlan role_plan_;
  IdSource ids_;
  std::map<std::string, Revision> revisions_;
  std::map<std::string, TrackedTarget> targets_;
  std::optional<FencingNumber> number_;
  bool orders_read_ = false;
  std::optional<TimePoint> list_sent_at_;
  std::optional<TimePoint> last_weight_load_;
  /// Audit records of changes accepted since the last tick; at most one per
  /// write.
  std::vector<AuditRecord> accepted_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_RECONCILER_H_
