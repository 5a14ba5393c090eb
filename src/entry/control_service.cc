#include "entry/control_service.h"

#include <utility>

#include "core/config/enum_names.h"
#include "entry/control_events.h"

namespace indigolead {
namespace {

Incarnation IncarnationOf(const std::string& bytes) {
  return Incarnation{Id128FromBytes(bytes).value_or(Id128{})};
}

ObservedHealth HealthOf(wire::TargetHealth health) {
  switch (health) {
    case wire::TARGET_UP:
      return ObservedHealth::kUp;
    case wire::TARGET_DOWN:
      return ObservedHealth::kDown;
    case wire::TARGET_CHANGING:
      return ObservedHealth::kChanging;
    default:
      return ObservedHealth::kUnknown;
  }
}

std::optional<OrderPhase> PhaseOf(wire::OrderPhase phase) {
  switch (phase) {
    case wire::ORDER_ACCEPTED:
      return OrderPhase::kAccepted;
    case wire::ORDER_DRAINING:
      return OrderPhase::kDraining;
    case wire::ORDER_APPLYING:
      return OrderPhase::kApplying;
    case wire::ORDER_IN_FORCE:
      return OrderPhase::kInForce;
    case wire::ORDER_REFUSED_STALE:
      return OrderPhase::kRefusedStale;
    case wire::ORDER_FAILED:
      return OrderPhase::kFailed;
    default:
      return std::nullopt;
  }
}

Roles FixedRoles(const DeploymentSpec& spec,
                 const std::vector<TargetObservation>& targets, TimePoint) {
  return StaticRoles(spec, targets);
}

ListWatcher::Options WatchOptions(Duration deadline) {
  ListWatcher::Options options;
  options.prefix = kControlPrefix;
  options.list = CallOptions{CallPriority::kOrder, deadline};
  return options;
}

}  // namespace

ControlService::ControlService(ObjectStore* store, Options options, Hooks hooks,
                               Clock clock, WallClock wall_clock, IdSource ids,
                               RunAfter run_after, EventLog log)
    : store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)),
      log_(std::move(log)),
      controller_(store, options_.controller, ControllerHooks(), clock_, ids,
                  log_),
      forwarder_(options_.forwarder, ForwarderHooks(), log_),
      audit_(options_.audit),
      watcher_(store, WatchOptions(options_.call_deadline),
               {[this](const ListWatcher::State& state, std::uint64_t) {
                  OnControlState(state);
                },
                [](const Error&) {}, hooks_.jitter},
               clock_, std::move(run_after), log_),
      applied_object_(store, "applied/" + options_.instance,
                      {CallPriority::kStatus, options_.call_deadline}),
      alive_(std::make_shared<bool>(true)) {}

ControlService::~ControlService() { *alive_ = false; }

void ControlService::Start() { watcher_.Start(); }

void ControlService::Stop() { controller_.Resign(); }

Controller::Hooks ControlService::ControllerHooks() {
  return {[this](AuditRecord record) { Record(std::move(record)); },
          hooks_.role_plan ? hooks_.role_plan : RolePlan(FixedRoles),
          hooks_.jitter};
}

OrderForwarder::Hooks ControlService::ForwarderHooks() {
  return {[this](LinkId link, const wire::Envelope& message) {
            return hooks_.send(link, message);
          },
          [this] { ReadControlState(); }};
}

void ControlService::OnControlState(const ListWatcher::State& objects) {
  ControlState state;
  for (const auto& [key, object] : objects) {
    AddControlObject(object, &state);
  }
  for (const Error& error : state.unreadable) {
    log_(kControlObjectUnreadable, {{"error", ToString(error)}});
  }
  controller_.OnState(state);
  forwarder_.OnState(state, clock_());
}

void ControlService::ReadControlState() {
  store_->List(
      kControlPrefix, {CallPriority::kOrder, options_.call_deadline},
      [this, alive = alive_](const Result<ObjectStore::Listing>& result) {
        if (!*alive) {
          return;
        }
        if (!IsOk(result)) {
          forwarder_.OnStateRead(ErrorOf(result), clock_());
          return;
        }
        ControlState state;
        for (const StoredObject& object : ValueOf(result).objects) {
          AddControlObject(object, &state);
        }
        forwarder_.OnStateRead(state, clock_());
      });
}

bool ControlService::HandleMessage(LinkId link, const wire::Envelope& message) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return false;
  }
  if (message.has_order_status()) {
    OnOrderStatus(link, message.order_status());
    return true;
  }
  if (message.has_heartbeat()) {
    OnHeartbeat(&peers_.at(it->second), it->second, message.heartbeat());
  }
  return false;
}

void ControlService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  const bool known = peers_.contains(hello.instance());
  if (hello.kind() == wire::PROCESS_OPERATOR ||
      (!known && peers_.size() >= options_.max_peers)) {
    return;
  }
  const TimePoint now = clock_();
  Peer peer;
  peer.is_entry = hello.kind() == wire::PROCESS_ENTRY;
  peer.incarnation = IncarnationOf(hello.incarnation());
  peer.failure_domain = hello.failure_domain();
  peer.target = hello.target();
  peer.target_at = now;
  peer.link = link;
  links_.insert_or_assign(link, hello.instance());
  peers_.insert_or_assign(hello.instance(), peer);
  if (!peer.is_entry) {
    forwarder_.OnSideUp(link, hello.instance(), now);
    Observe(hello.instance(), peer);
    if (drains_.contains(hello.instance())) {
      SendDrain(hello.instance(), peer);
    }
  }
}

void ControlService::OnLinkDown(LinkId link) {
  forwarder_.OnLinkDown(link);
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  Peer& peer = peers_.at(it->second);
  if (peer.link == link) {
    peer.link.reset();
    peer.down_since = clock_();
  }
  links_.erase(it);
}

void ControlService::Tick(TimePoint now) {
  controller_.Tick();
  forwarder_.Tick(now);
  ForgetPeers(now);
  LoadAudit();
  WriteAudit(now);
  WriteApplied(now);
}

void ControlService::OnHeartbeat(Peer* peer, const std::string& name,
                                 const wire::Heartbeat& heartbeat) {
  const TimePoint now = clock_();
  peer->target_at = now;
  if (heartbeat.has_load()) {
    peer->load = heartbeat.load();
    peer->load_at = now;
  }
  if (heartbeat.has_target()) {
    peer->target = heartbeat.target();
  }
  if (!peer->is_entry) {
    Observe(name, *peer);
  }
}

void ControlService::OnOrderStatus(LinkId link,
                                   const wire::OrderStatus& status) {
  const auto phase = PhaseOf(status.phase());
  const auto it = links_.find(link);
  if (!phase || it->second != status.target()) {
    return;
  }
  const OrderReport report{status.target(), status.fencing_number(),
                           status.generation(), *phase, status.detail()};
  forwarder_.OnReport(link, report);
  controller_.reconciler().OnReport(report, clock_());
}

void ControlService::Observe(const std::string& name, const Peer& peer) {
  const wire::TargetInfo& target = peer.target;
  if (!target.is_engine()) {
    return;
  }
  TargetObservation seen;
  seen.name = name;
  seen.deployment = target.deployment();
  seen.role = EngineRoleFromName(target.role()).value_or(EngineRole::kMixed);
  seen.models.assign(target.models().begin(), target.models().end());
  seen.adapters.assign(target.adapters().begin(), target.adapters().end());
  seen.health = HealthOf(target.health());
  seen.order_generation = target.order_generation();
  controller_.reconciler().OnTarget(seen, clock_());
}

void ControlService::OnRevision(const Revision& revision) {
  Revision& held = revisions_[revision.spec.name];
  if (held.number < revision.number) {
    held = revision;
    controller_.reconciler().OnRevision(revision);
  }
}

void ControlService::OnConfig(ConfigSnapshot snapshot) {
  config_ = std::move(snapshot);
}

void ControlService::OnDrains(
    const std::map<std::string, std::string>& drains) {
  const auto before = std::exchange(drains_, drains);
  for (auto& [name, peer] : peers_) {
    if (before.contains(name) != drains_.contains(name)) {
      SendDrain(name, peer);
    }
  }
  for (const auto& [name, cause] : before) {
    controller_.reconciler().OnDrain(name, drains_.contains(name));
  }
  for (const auto& [name, cause] : drains_) {
    controller_.reconciler().OnDrain(name, true);
  }
}

void ControlService::SendDrain(const std::string& instance, const Peer& peer) {
  if (!peer.link) {
    return;
  }
  const auto it = drains_.find(instance);
  wire::Envelope message;
  message.mutable_drain()->set_instance(instance);
  message.mutable_drain()->set_drain(it != drains_.end());
  message.mutable_drain()->set_cause(it == drains_.end() ? "" : it->second);
  hooks_.send(*peer.link, message);
}

void ControlService::OnInstances(const InstanceList& list) {
  // A target is gone only if the platform no longer lists it and its link is
  // down; either sign alone may be lag.
  std::map<std::string, bool> listed;
  for (const InstanceRecord& record : list.instances) {
    listed[record.name] = true;
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer.link && !listed.contains(name)) {
      controller_.reconciler().OnTargetGone(name);
    }
  }
}

void ControlService::OnQuarantines(std::vector<QuarantineStatus> quarantines) {
  quarantines_ = std::move(quarantines);
}

void ControlService::ForgetPeers(TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const auto& since = entry.second.down_since;
    return since && !entry.second.link &&
           now - *since > options_.forget_peer_after;
  });
}

bool ControlService::named_in_lease() const {
  const auto& record = controller_.lease().newest().record;
  return record && record->holder == options_.instance &&
         record->incarnation == options_.incarnation;
}

std::optional<FencingNumber> ControlService::HeldFencingNumber() const {
  return controller_.lease().Authority(clock_());
}

bool ControlService::holds_lease() const {
  return HeldFencingNumber().has_value();
}

}  // namespace indigolead
