#include "entry/platform_watcher.h"

#include "runtime/clock.h"

namespace indigolead {
namespace {

constexpr const char* kDeployments = "deployments/";
constexpr const char* kDrains = "drains/";

/// Returns a number in [0, 1).
double Jitter() {
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  return static_cast<double>(RandomId().lo) * kScale;
}

}  // namespace

PlatformWatcher::PlatformWatcher(boost::asio::io_context* io,
                                 const StoreSettings& settings, Emit emit,
                                 const Clock& clock, EventLog log,
                                 MetricsRegistry* metrics)
    : settings_(settings),
      emit_(std::move(emit)),
      log_(std::move(log)),
      run_after_(MakeRunAfter(io)),
      store_(io, HttpObjectStore::OptionsFrom(settings), clock, metrics),
      deployments_(&store_, WatchOptions(kDeployments),
                   WatchHooks(&PlatformWatcher::OnDeployments), clock,
                   run_after_, log_),
      drains_(&store_, WatchOptions(kDrains),
              WatchHooks(&PlatformWatcher::OnDrains), clock, run_after_, log_) {
}

ListWatcher::Options PlatformWatcher::WatchOptions(
    const std::string& prefix) const {
  ListWatcher::Options options;
  options.prefix = prefix;
  options.list.priority = CallPriority::kConfig;
  options.list.deadline = settings_.call_deadline;
  return options;
}

ListWatcher::Hooks PlatformWatcher::WatchHooks(
    void (PlatformWatcher::*on_state)(const ListWatcher::State&)) {
  ListWatcher::Hooks hooks;
  hooks.on_state = [this, on_state](const ListWatcher::State& state,
                                    std::uint64_t) {
    (this->*on_state)(state);
  };
  hooks.on_error = [](const Error&) {};  // The watcher logs and retries.
  hooks.jitter = Jitter;
  return hooks;
}

void PlatformWatcher::Start() {
  if (settings_.address.empty()) {
    return;
  }
  deployments_.Start();
  drains_.Start();
  PollInstances();
}

void PlatformWatcher::OnDeployments(const ListWatcher::State& state) {
  // A deployment whose object has disappeared keeps its last revision: removing
  // it would fail its callers, and no command deletes a deployment.
  for (const auto& [key, object] : state) {
    std::uint64_t& emitted = emitted_versions_[key];
    if (object.version > emitted) {
      emitted = object.version;
      emit_(RevisionRead{object.value});
    }
  }
}

void PlatformWatcher::OnDrains(const ListWatcher::State& state) {
  DrainListRead seen;
  for (const auto& [key, object] : state) {
    seen.instances.push_back(key.substr(std::string(kDrains).size()));
  }
  emit_(std::move(seen));
}

void PlatformWatcher::PollInstances() {
  CallOptions options;
  options.priority = CallPriority::kConfig;
  options.deadline = settings_.call_deadline;
  store_.ListInstances(options, [this](Result<InstanceList> result) {
    if (IsOk(result)) {
      emit_(InstanceListRead{ValueOf(std::move(result))});
    }
    run_after_(settings_.instance_poll_interval, [this] { PollInstances(); });
  });
}

}  // namespace indigolead
