#include "entry/guard_runtime.h"

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

GuardRuntime::GuardRuntime(boost::asio::io_context* platform_io,
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

RequestGuards::Hooks GuardRuntime::GuardHooks() {
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

GuardStateStore::Hooks GuardRuntime::StateStoreHooks() {
  GuardStateStore::Hooks hooks;
  hooks.emit = [this](GuardEvent&& it) {
    dispatch_outbox_.Push(std::move(it));
  };
  hooks.fencing_number = hooks_.fencing_number;
  hooks.jitter = RandomFraction;
  return hooks;
}

EntryService GuardRuntime::Service() {
  EntryService service = guards_.MakeService();
  service.tick = [this, tick = std::move(service.tick)](TimePoint now) {
    tick(now);
    platform_outbox_.Flush();
  };
  return service;
}

void GuardRuntime::OnRevision(const Revision& revision) {
  const DeploymentSpec& spec = revision.spec;
  policies_[spec.name] = {spec.quarantine_kills, spec.quarantine_time};
}

void GuardRuntime::Start() {
  state_store_.Start();
  ArmTick();
}

void GuardRuntime::Stop() {
  stopped_ = true;
  tick_timer_.cancel();
}

void GuardRuntime::OnPlatformEvent(const PlatformEvent& event) {
  if (const auto* instances = std::get_if<InstanceListRead>(&event)) {
    state_store_.OnInstances(instances->list);
  }
}

void GuardRuntime::ArmTick() {
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
