#include "entry/guard_runner.h"

#include <chrono>

#include "runtime/clock.h"
#include "store/run_after.h"

namespace indigolead {
namespace {

constexpr std::size_t kMailboxCapacity = 4096;
constexpr std::chrono::milliseconds kTickInterval{100};

double RandomFraction() {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(RandomId().lo) / kRange;
}

}  // namespace

GuardRunner::GuardRunner(boost::asio::io_context* platform_io,
                         boost::asio::io_context* dispatch_io,
                         ObjectStore* store, const Settings& settings,
                         const Incarnation& incarnation, Hooks hooks,
                         EventLog log, MetricsRegistry* metrics)
    : hooks_(std::move(hooks)),
      to_platform_(
          platform_io, kMailboxCapacity,
          [this](GuardMessage&& it) { state_store_.OnMessage(std::move(it)); }),
      to_dispatch_(dispatch_io, kMailboxCapacity,
                   [this](GuardEvent&& it) {
                     guards_.OnEvent(std::move(it), BootTimeNow());
                     hooks_.flush();
                   }),
      platform_outbox_(&to_platform_),
      dispatch_outbox_(&to_dispatch_),
      guards_({}, incarnation, GuardHooks(), BootTimeNow, log, metrics),
      state_store_(store, settings.store.call_deadline, StateStoreHooks(),
                   BootTimeNow, MakeRunAfter(platform_io), log),
      tick_timer_(*platform_io) {}

RequestGuards::Hooks GuardRunner::GuardHooks() {
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

GuardStateStore::Hooks GuardRunner::StateStoreHooks() {
  GuardStateStore::Hooks hooks;
  hooks.emit = [this](GuardEvent&& it) {
    dispatch_outbox_.Push(std::move(it));
  };
  hooks.fencing_number = hooks_.fencing_number;
  hooks.jitter = RandomFraction;
  return hooks;
}

EntryService GuardRunner::Service() {
  EntryService service = guards_.MakeService();
  service.tick = [this, tick = std::move(service.tick)](TimePoint now) {
    tick(now);
    platform_outbox_.Flush();
  };
  return service;
}

void GuardRunner::OnRevision(const Revision& revision) {
  const DeploymentSpec& spec = revision.spec;
  policies_[spec.name] = {spec.quarantine_kills, spec.quarantine_time};
}

void GuardRunner::Start() {
  state_store_.Start();
  ArmTick();
}

void GuardRunner::Stop() {
  stopped_ = true;
  tick_timer_.cancel();
}

void GuardRunner::OnPlatformEvent(const PlatformEvent& event) {
  if (const auto* instances = std::get_if<InstanceListRead>(&event)) {
    state_store_.OnInstances(instances->list);
  }
}

void GuardRunner::ArmTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) {
      return;
    }
    state_store_.Tick();
    dispatch_outbox_.Flush();
    ArmTick();
  });
}

}  // namespace indigolead
