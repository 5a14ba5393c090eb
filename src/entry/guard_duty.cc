#include "entry/guard_duty.h"

#include <chrono>

#include "runtime/clock.h"
#include "store/run_after.h"

namespace indigolead {
namespace {

constexpr std::size_t kRingPlaces = 4096;
constexpr std::chrono::milliseconds kTickInterval{100};

double RandomShare() {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(RandomId().lo) / kRange;
}

}  // namespace

GuardDuty::GuardDuty(boost::asio::io_context* platform_io,
                     boost::asio::io_context* dispatch_io, ObjectStore* store,
                     const Settings& settings, const Incarnation& incarnation,
                     Hooks hooks, EventLog log, MetricsRegistry* metrics)
    : hooks_(std::move(hooks)),
      to_platform_(
          platform_io, kRingPlaces,
          [this](GuardMessage&& it) { keepers_.OnMessage(std::move(it)); }),
      to_dispatch_(dispatch_io, kRingPlaces,
                   [this](GuardEvent&& it) {
                     guards_.OnEvent(std::move(it), BootTimeNow());
                     hooks_.flush();
                   }),
      platform_outbox_(&to_platform_),
      dispatch_outbox_(&to_dispatch_),
      guards_({}, incarnation, GuardHooks(), BootTimeNow, log, metrics),
      keepers_(store, settings.store.call_deadline, KeeperHooks(), BootTimeNow,
               MakeRunAfter(platform_io), log),
      tick_timer_(*platform_io) {}

RequestGuards::Hooks GuardDuty::GuardHooks() {
  RequestGuards::Hooks hooks;
  hooks.send = hooks_.send;
  hooks.flow = hooks_.flow;
  hooks.policy = [this](const std::string& deployment) {
    const auto it = policies_.find(deployment);
    return it == policies_.end() ? Quarantine::Policy{} : it->second;
  };
  hooks.to_platform = [this](GuardMessage&& it) {
    platform_outbox_.Push(std::move(it));
  };
  return hooks;
}

GuardKeepers::Hooks GuardDuty::KeeperHooks() {
  GuardKeepers::Hooks hooks;
  hooks.emit = [this](GuardEvent&& it) {
    dispatch_outbox_.Push(std::move(it));
  };
  hooks.held_number = hooks_.held_number;
  hooks.jitter = RandomShare;
  return hooks;
}

EntryService GuardDuty::Service() {
  EntryService service = guards_.MakeService();
  service.tick = [this, tick = std::move(service.tick)](TimePoint now) {
    tick(now);
    platform_outbox_.Flush();
  };
  return service;
}

void GuardDuty::OnRevision(const Revision& revision) {
  const DeploymentSpec& spec = revision.spec;
  policies_[spec.name] = {spec.quarantine_kills, spec.quarantine_time};
}

void GuardDuty::Start() {
  keepers_.Start();
  ArmTick();
}

void GuardDuty::Stop() {
  stopped_ = true;
  tick_timer_.cancel();
}

void GuardDuty::OnPlatformEvent(const PlatformEvent& event) {
  if (const auto* instances = std::get_if<InstancesSeen>(&event)) {
    keepers_.OnInstances(instances->list);
  }
}

void GuardDuty::ArmTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) {
      return;
    }
    keepers_.Tick();
    dispatch_outbox_.Flush();
    ArmTick();
  });
}

}  // namespace indigolead
