#ifndef INDIGOLEAD_ENTRY_CONTROL_SERVICE_H_
#define INDIGOLEAD_ENTRY_CONTROL_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/control/audit.h"
#include "core/control/revision_table.h"
#include "core/control/status.h"
#include "entry/controller.h"
#include "entry/order_forwarder.h"
#include "entry/single_writer_object.h"
#include "observe/event_log.h"
#include "store/list_watcher.h"
#include "store/object_store.h"
#include "wire/links.h"

namespace indigolead {

/// A copy, for other threads, of the revisions in force that the dispatch
/// thread knows.
struct ConfigSnapshot {
  std::map<std::string, RevisionRollout> in_force;  ///< By deployment.
  std::map<std::string, KnownRevisions> by_peer;    ///< By instance.

  friend bool operator==(const ConfigSnapshot&,
                         const ConfigSnapshot&) = default;
};

/// Runs the control plane of one entry: follows the lease and the orders,
/// forwards orders to the sides, competes for the lease, acts as the controller
/// while it holds the lease, keeps the audit trail, and reports the state of
/// the system.
///
/// Runs on the platform thread, so that a slow store delays no request. The
/// dispatch thread hands over link messages in order.
class ControlService {
 public:
  struct Options {
    std::string instance;
    Incarnation incarnation;
    std::string failure_domain;
    Controller::Options controller;
    OrderForwarder::Options forwarder;
    AuditTrail::Options audit;
    Duration call_deadline = std::chrono::seconds(2);
    /// Minimum time between two writes of `applied/ENTRY`.
    Duration applied_interval = std::chrono::seconds(2);
    /// What a side reported counts as unknown while its link is down. A peer
    /// whose link has been down for longer than this is forgotten.
    Duration forget_peer_after = std::chrono::minutes(10);
    std::size_t max_peers = 8192;
  };

  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    RolePlan role_plan;  ///< If unset, the declaration fixes the roles.
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  ControlService(ObjectStore* store, Options options, Hooks hooks, Clock clock,
                 WallClock wall_clock, IdSource ids, RunAfter run_after,
                 EventLog log);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  void Start();
  /// Releases the lease, so that another entry need not wait until it expires.
  void Stop();

  /// Returns true if no other service needs the message.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  /// Drives the timers; must be called several times a second.
  void Tick(TimePoint now);

  void OnRevision(const Revision& revision);
  void OnConfig(ConfigSnapshot snapshot);
  /// Replaces the set of drained instances, with the cause of each.
  void OnDrains(const std::map<std::string, std::string>& drains);
  void OnInstances(const InstanceList& list);
  void OnQuarantines(std::vector<QuarantineStatus> quarantines);

  /// Appends a change made elsewhere in this entry to the audit trail and the
  /// log.
  void Record(AuditRecord record);

  SystemStatus Status() const;
  /// Returns `Status()` as JSON.
  std::string StatusJson() const;

  /// Returns the fencing number under which this entry acts, if it has
  /// authority.
  std::optional<FencingNumber> HeldFencingNumber() const;
  /// Returns true while this entry acts as the controller.
  bool holds_lease() const;
  /// Returns true while the newest lease seen names this entry, whether or not
  /// it is in force.
  bool named_in_lease() const;

 private:
  struct Peer {
    bool is_entry = false;
    Incarnation incarnation;
    std::string failure_domain;
    wire::TargetInfo target;
    std::optional<wire::LoadReport> load;
    TimePoint target_at;
    TimePoint load_at;
    std::optional<LinkId> link;
    std::optional<TimePoint> down_since;
  };

  Controller::Hooks ControllerHooks();
  OrderForwarder::Hooks ForwarderHooks();
  void OnControlState(const ListWatcher::State& objects);
  void ReadControlState();
  void OnHeartbeat(Peer* peer, const std::string& name,
                   const wire::Heartbeat& heartbeat);
  void OnOrderStatus(LinkId link, const wire::OrderStatus& status);
  void Observe(const std::string& name, const Peer& peer);
  void SendDrain(const std::string& instance, const Peer& peer);
  void ForgetPeers(TimePoint now);
  void LoadAudit();
  void WriteAudit(TimePoint now);
  void WriteApplied(TimePoint now);
  std::string AppliedJson() const;
  TargetStatus StatusOf(const std::string& name, const Peer& peer,
                        TimePoint now) const;
  EntryStatus EntryStatusOf(const std::string& name, const Peer& peer) const;
  DeploymentStatus StatusOf(const Revision& revision) const;

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  WallClock wall_clock_;
  EventLog log_;
  Controller controller_;
  OrderForwarder forwarder_;
  AuditTrail audit_;
  ListWatcher watcher_;
  SingleWriterObject applied_object_;
  std::map<std::string, SingleWriterObject> audit_objects_;

  std::map<std::string, Peer> peers_;
  std::map<LinkId, std::string> links_;
  std::map<std::string, std::string> drains_;
  std::map<std::string, Revision> revisions_;
  ConfigSnapshot config_;
  std::vector<QuarantineStatus> quarantines_;
  std::string applied_written_;
  bool applied_in_flight_ = false;
  TimePoint applied_at_;
  bool audit_loading_ = false;
  bool audit_loaded_ = false;
  TimePoint audit_load_at_;
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROL_SERVICE_H_
