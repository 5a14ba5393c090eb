#include "entry/control_runner.h"

#include <map>

#include "runtime/clock.h"
#include "store/run_after.h"

namespace indigolead {
namespace {

constexpr std::size_t kMailboxCapacity = 4096;
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kSnapshotInterval{500};

double RandomFraction() {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(RandomId().lo) / kRange;
}

ControlService::Options ServiceOptions(const Settings& settings,
                                       const Incarnation& incarnation) {
  ControlService::Options options;
  options.instance = settings.instance.name;
  options.incarnation = incarnation;
  options.failure_domain = settings.instance.failure_domain;
  options.call_deadline = settings.store.call_deadline;
  options.audit.entry = settings.instance.name;
  options.controller.enabled = settings.entry.run_controller;
  options.controller.call_deadline = settings.store.call_deadline;
  options.controller.lease.holder = settings.instance.name;
  options.controller.lease.incarnation = incarnation;
  options.controller.reconciler.actor = settings.instance.name;
  return options;
}

}  // namespace

ControlRunner::ControlRunner(boost::asio::io_context* platform_io,
                             boost::asio::io_context* dispatch_io,
                             ObjectStore* store,
                             const RevisionTable* revision_table,
                             const Settings& settings,
                             const Incarnation& incarnation, Hooks hooks,
                             EventLog log)
    : revision_table_(revision_table),
      hooks_(std::move(hooks)),
      log_(std::move(log)),
      to_platform_(
          platform_io, kMailboxCapacity,
          [this](ToPlatform&& it) { OnPlatformMessage(std::move(it)); }),
      to_send_(
          dispatch_io, kMailboxCapacity,
          [this](OutgoingMessage&& it) { hooks_.send(it.link, it.message); }),
      platform_outbox_(&to_platform_),
      send_outbox_(&to_send_),
      service_(store, ServiceOptions(settings, incarnation), ServiceHooks(),
               BootTimeNow, WallTimeNow, RandomId, MakeRunAfter(platform_io),
               log_),
      tick_timer_(*platform_io) {}

ControlService::Hooks ControlRunner::ServiceHooks() {
  return {[this](LinkId link, const wire::Envelope& message) {
            send_outbox_.Push(OutgoingMessage{link, message});
            return true;
          },
          hooks_.role_plan, RandomFraction};
}

EntryService ControlRunner::Service() {
  EntryService service;
  service.handle_message = [this](LinkId link, const wire::Envelope& message) {
    return OnMessage(link, message);
  };
  service.on_link_up = [this](LinkId link, const wire::Hello& hello) {
    platform_outbox_.Push(LinkUp{link, hello});
  };
  service.on_link_down = [this](LinkId link) {
    platform_outbox_.Push(LinkDown{link});
  };
  service.tick = [this](TimePoint now) { DispatchTick(now); };
  return service;
}

void ControlRunner::OnRevision(const Revision& revision) {
  platform_outbox_.Push(std::make_shared<const Revision>(revision));
}

void ControlRunner::Start() {
  service_.Start();
  ArmTick();
}

void ControlRunner::Stop() {
  stopped_ = true;
  tick_timer_.cancel();
  service_.Stop();
}

bool ControlRunner::Stopped() {
  service_.Stop();
  return !service_.named_in_lease();
}

void ControlRunner::OnPlatformEvent(const PlatformEvent& event) {
  if (const auto* drains = std::get_if<DrainListRead>(&event)) {
    std::map<std::string, std::string> causes;
    for (const std::string& instance : drains->instances) {
      causes.emplace(instance, "drained by an operator");
    }
    service_.OnDrains(causes);
  } else if (const auto* instances = std::get_if<InstanceListRead>(&event)) {
    service_.OnInstances(instances->list);
  }
}

std::string ControlRunner::StatusJson() const {
  const std::lock_guard<std::mutex> lock(status_mutex_);
  return status_;
}

void ControlRunner::PublishStatus(TimePoint now) {
  if (now < next_status_) {
    return;
  }
  next_status_ = now + kStatusInterval;
  std::string status = service_.StatusJson();
  const std::lock_guard<std::mutex> lock(status_mutex_);
  status_ = std::move(status);
}

bool ControlRunner::OnMessage(LinkId link, const wire::Envelope& message) {
  // A heartbeat is dropped while earlier messages wait for room in the ring;
  // the next one carries the same data.
  const bool room = platform_outbox_.waiting() == 0;
  if (message.has_order_status() || (message.has_heartbeat() && room)) {
    platform_outbox_.Push(IncomingMessage{link, message});
  }
  return message.has_order_status();
}

void ControlRunner::OnPlatformMessage(ToPlatform&& event) {
  if (stopped_) {
    return;
  }
  if (const auto* up = std::get_if<LinkUp>(&event)) {
    service_.OnLinkUp(up->link, up->hello);
  } else if (const auto* down = std::get_if<LinkDown>(&event)) {
    service_.OnLinkDown(down->link);
  } else if (const auto* received = std::get_if<IncomingMessage>(&event)) {
    service_.HandleMessage(received->link, received->message);
  } else if (const auto* revision =
                 std::get_if<std::shared_ptr<const Revision>>(&event)) {
    service_.OnRevision(**revision);
  } else if (auto* snapshot = std::get_if<ConfigSnapshot>(&event)) {
    service_.OnConfig(std::move(*snapshot));
  }
}

void ControlRunner::DispatchTick(TimePoint now) {
  platform_outbox_.Flush();
  if (now < next_snapshot_ || platform_outbox_.waiting() > 0) {
    return;
  }
  next_snapshot_ = now + kSnapshotInterval;
  ConfigSnapshot snapshot;
  for (const auto& [deployment, number] : revision_table_->Known()) {
    snapshot.in_force.emplace(deployment,
                              revision_table_->RolloutOf(deployment));
  }
  for (const RevisionPeer& peer : revision_table_->Peers()) {
    snapshot.by_peer.emplace(peer.instance,
                             revision_table_->AppliedBy(peer.instance));
  }
  platform_outbox_.Push(std::move(snapshot));
}

void ControlRunner::ArmTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) {
      return;
    }
    send_outbox_.Flush();
    service_.Tick(BootTimeNow());
    PublishStatus(BootTimeNow());
    ArmTick();
  });
}

}  // namespace indigolead
