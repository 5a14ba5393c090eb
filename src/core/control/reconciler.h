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

/// Turns declarations into one desired order per target and keeps the engines
/// true to them.
///
/// An engine that got two orders at once could end up as neither. So a target
/// has one order, in one object of the store; the next differing one is
/// written only after its side confirmed or refused the last. A new holder
/// reads every order before it writes any, and then writes each again under
/// its own number, in the same words: from then on a write of the holder
/// before it fails on the object's version.
///
/// A failed change counts as one in change until it is mended, so a bad
/// revision stops after the stated share of a deployment's engines.
class Reconciler {
 public:
  struct Options {
    std::string actor;  ///< This entry's name, for the audit trail.
    std::size_t max_targets = 4096;
    std::size_t max_deployments = 256;
    std::size_t max_writes_in_flight = 8;
    /// Weights are loaded by at most so many engines at once...
    std::size_t max_weight_loads = 4;
    /// ...and started no faster than this: the weight store is rate-limited.
    Duration weight_load_interval = std::chrono::seconds(2);
    /// An engine that differs from its confirmed order for this long has
    /// drifted; less may be a report that lags.
    Duration drift_grace = std::chrono::seconds(5);
    std::uint32_t max_tries = 2;
    Duration retry_interval = std::chrono::seconds(10);
    /// A target taken out of service is tried again after this.
    Duration out_of_service_time = std::chrono::minutes(15);
    /// A change under way for longer is shown as stuck.
    Duration stuck_after = std::chrono::minutes(5);
    Duration call_timeout = std::chrono::seconds(5);
    /// Pause before a target's next write after one that had no effect.
    Duration write_backoff = std::chrono::seconds(1);
  };

  /// Read every order with the newest lease; answer with `OnOrders`.
  struct ReadOrders {
    friend bool operator==(const ReadOrders&, const ReadOrders&) = default;
  };
  /// Read one order; answer with `OnOrder`.
  struct ReadOrder {
    std::string target;
    friend bool operator==(const ReadOrder&, const ReadOrder&) = default;
  };
  /// Write `order` if its object's version is `expected`; answer with
  /// `OnWritten`. Check the authority again immediately before the send.
  struct WriteOrder {
    TargetOrder order;
    std::uint64_t expected = 0;
    friend bool operator==(const WriteOrder&, const WriteOrder&) = default;
  };
  using Action = std::variant<ReadOrders, ReadOrder, WriteOrder, AuditRecord>;
  using Actions = std::vector<Action>;

  /// How one target stands.
  struct TargetView {
    std::string deployment;
    StoredOrder stored;
    std::optional<OrderPhase> phase;  ///< Of the stored order.
    std::string detail;
    bool stuck = false;
    bool drifted = false;
  };

  Reconciler(Options options, RolePlan role_plan, IdSource ids);

  /// A newer revision of a deployment is in force here.
  void OnRevision(const Revision& revision);

  /// A side described its engine.
  void OnTarget(const TargetObservation& seen, TimePoint now);
  /// The platform no longer lists the target.
  void OnTargetGone(const std::string& target);
  /// An operator's drain, or its end: a drained target gets no new order.
  void OnDrain(const std::string& target, bool drained);
  /// A side reported on an order.
  void OnReport(const OrderReport& report, TimePoint now);

  /// The orders asked for by `ReadOrders`, with the lease of that moment.
  void OnOrders(const Result<std::vector<StoredOrder>>& orders,
                const LeaseRecord& lease, TimePoint now);
  /// A read or a watch showed one order.
  void OnOrder(const std::string& target, const StoredOrder& stored,
               const LeaseRecord& lease, TimePoint now);
  /// A `WriteOrder` was answered.
  void OnWritten(const std::string& target, const Id128& nonce,
                 const Result<std::uint64_t>& answer, TimePoint now);

  /// Returns what to do now under `authority`; nothing without one.
  Actions Tick(std::optional<FencingNumber> authority, TimePoint now);

  /// Returns how `target` stands; nothing if it is not known.
  std::optional<TargetView> View(const std::string& target,
                                 TimePoint now) const;

 private:
  struct PendingWrite {
    TargetOrder order;
    std::uint64_t expected = 0;
    TimePoint sent_at;
    bool settle = false;  ///< Its effect is unknown: read, then decide.
    bool read_sent = false;
    bool may_repeat = false;
    /// Goes to the audit trail once the write is known to have taken effect.
    std::optional<AuditRecord> record;
  };
  struct Slot {
    std::optional<TargetObservation> seen;
    StoredOrder stored;
    bool void_order = false;  ///< Written after its number had ended.
    std::optional<OrderPhase> phase;
    std::string detail;
    TimePoint ordered_at;
    TimePoint phase_at;
    std::optional<TimePoint> drift_since;
    std::optional<PendingWrite> write;
    TimePoint next_write;  ///< Not before this, after a write that failed.
    bool loads_weights = false;
    bool drained = false;
  };
  /// What one pass over a deployment works with.
  struct Pass {
    const Revision& revision;
    std::size_t changes_left = 0;
    TimePoint now;
    Actions* actions;
  };

  bool Begin(FencingNumber number, TimePoint now, Actions* actions);
  void Reconcile(const Revision& revision, TimePoint now, Actions* actions);
  void Step(const std::string& target, const DesiredState& desired, Slot* slot,
            Pass* pass);
  void First(const std::string& target, const DesiredState& desired, Slot* slot,
             Pass* pass);
  void Change(const DesiredState& desired, Slot* slot, Pass* pass);
  void Retry(const DesiredState& desired, Slot* slot, Pass* pass);
  void MendDrift(Slot* slot, Pass* pass);
  void Seal(Slot* slot, Pass* pass);
  bool MayChange(const DesiredState& desired, const Slot& slot,
                 const Pass& pass) const;
  void Write(TargetOrder order, Slot* slot, Pass* pass);
  TargetOrder Following(const Slot& slot, const DesiredState& desired,
                        std::uint64_t revision, std::string cause) const;

  void SettleWrites(TimePoint now, Actions* actions);
  void Settle(Slot* slot, const StoredOrder& stored);
  void Accept(Slot* slot);
  void Store(Slot* slot, const StoredOrder& stored, const LeaseRecord& lease,
             TimePoint now);
  Slot* FindOrAdd(const std::string& target);
  static void Confirm(Slot* slot, TimePoint now);

  std::vector<TargetObservation> Members(const std::string& deployment) const;
  std::size_t CountInChange(const std::string& deployment) const;
  std::size_t CountWeightLoads() const;
  std::size_t CountWrites() const;
  static bool InChange(const Slot& slot);
  static bool LoadsWeights(const Slot& slot, const DesiredState& desired);
  AuditRecord Describe(const Slot& slot, const TargetOrder& order) const;

  Options options_;
  RolePlan role_plan_;
  IdSource ids_;
  std::map<std::string, Revision> revisions_;
  std::map<std::string, Slot> slots_;
  std::optional<FencingNumber> number_;
  bool orders_read_ = false;
  std::optional<TimePoint> list_sent_at_;
  std::optional<TimePoint> last_weight_load_;
  /// Changes accepted since the last tick; at most one for each write.
  std::vector<AuditRecord> accepted_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_RECONCILER_H_
