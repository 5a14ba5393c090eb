#include "entry/slot_map_manager.h"

#include <utility>

#include "entry/claim_events.h"
#include "wire/claim_codec.h"

namespace indigolead {
namespace {

constexpr char kSlotPrefix[] = "slots/";

ListWatcher::Options WatchOptions(Duration deadline) {
  ListWatcher::Options options;
  options.prefix = kSlotPrefix;
  options.list = {CallPriority::kClaim, deadline};
  return options;
}

}  // namespace

SlotMapManager::SlotMapManager(ObjectStore* store, Options options, Hooks hooks,
                               Clock clock, RunAfter run_after, EventLog log)
    : store_(store),
      options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      watcher_(store, WatchOptions(options.call_deadline),
               {[this](const ListWatcher::State& state, std::uint64_t) {
                  OnState(state);
                },
                [](const Error&) {}, hooks_.jitter},
               clock_, std::move(run_after), log_),
      started_(clock_()),
      alive_(std::make_shared<bool>(true)) {}

SlotMapManager::~SlotMapManager() { *alive_ = false; }

void SlotMapManager::OnState(const ListWatcher::State& state) {
  for (const auto& [key, object] : state) {
    wire::SlotMap message;
    const bool parsed = message.ParseFromString(object.value);
    auto map = parsed ? ReadSlotMap(message) : std::nullopt;
    if (!map) {
      log_(kSlotMapUnreadable, {{"key", key}});
      continue;
    }
    const std::string deployment = key.substr(sizeof(kSlotPrefix) - 1);
    DeploymentMap& current = deployment_maps_[deployment];
    if (object.version <= current.version) {
      continue;
    }
    current.version = object.version;
    current.map = std::move(map);
    hooks_.on_map(deployment, *current.map);
  }
}

void SlotMapManager::OnHome(const std::string& deployment,
                            const HomeState& state) {
  if (homes_.size() >= options_.max_homes_known &&
      homes_.count(state.ref.home) == 0) {
    return;
  }
  homes_[state.ref.home] = {deployment, state, true, {}};
  DeploymentMap& current = deployment_maps_[deployment];
  if (!current.first_home) {
    current.first_home = clock_();
  }
}

void SlotMapManager::OnHomeDown(const std::string& instance) {
  const auto it = homes_.find(instance);
  if (it != homes_.end() && it->second.connected) {
    it->second.connected = false;
    it->second.disconnected_since = clock_();
  }
}

void SlotMapManager::OnInstances(const InstanceList& list) {
  has_instance_list_ = true;
  listed_instances_.clear();
  for (const InstanceRecord& it : list.instances) {
    listed_instances_.insert(it.name);
    if (ever_listed_.size() < options_.max_homes_known) {
      ever_listed_.insert(it.name);
    }
  }
}

bool SlotMapManager::IsRemoved(const std::string& instance) const {
  if (!has_instance_list_ || listed_instances_.count(instance) > 0) {
    return false;
  }
  const auto known = homes_.find(instance);
  if (known != homes_.end() && known->second.connected) {
    return false;
  }
  const TimePoint since =
      known == homes_.end() ? started_ : known->second.disconnected_since;
  const Duration wait = ever_listed_.count(instance) > 0
                            ? options_.lost_after
                            : options_.unlisted_after;
  return clock_() - since >= wait;
}

SlotPlanner::Input SlotMapManager::InputFor(
    const std::string& deployment, const DeploymentMap& current) const {
  SlotPlanner::Input input;
  input.fencing_number = *lease_;
  for (const auto& [name, known] : homes_) {
    if (known.deployment == deployment && known.connected) {
      input.homes.push_back(known.state);
    }
  }
  if (!current.map) {
    return input;
  }
  std::set<std::string> referenced_homes;
  for (const SlotAssignment& it : current.map->slots) {
    referenced_homes.insert(it.owner.home);
    for (const JournalRef& source : it.sources) {
      referenced_homes.insert(source.home);
    }
  }
  const TimePoint now = clock_();
  for (const std::string& it : referenced_homes) {
    const auto known = homes_.find(it);
    const bool connected = known != homes_.end() && known->second.connected;
    const TimePoint since =
        known == homes_.end() ? started_ : known->second.disconnected_since;
    if (!connected && now - since >= options_.lost_after) {
      input.lost.insert(it);
    }
    if (IsRemoved(it)) {
      input.removed.insert(it);
    }
  }
  return input;
}

void SlotMapManager::Tick() {
  const TimePoint now = clock_();
  // Without a working watch the known map may be outdated, and a write based
  // on it would fail.
  if (!lease_ || !watcher_.following() || now < next_plan_) {
    return;
  }
  next_plan_ = now + options_.plan_interval;
  const SlotPlanner planner(options_.planner);
  for (auto& [deployment, current] : deployment_maps_) {
    const bool too_early =
        !current.map && (!current.first_home ||
                         now - *current.first_home < options_.first_wait);
    if (current.writing || too_early) {
      continue;
    }
    if (const auto next =
            planner.Plan(current.map, InputFor(deployment, current))) {
      Write(deployment, &current, *next);
    }
  }
}

void SlotMapManager::Write(const std::string& deployment,
                           DeploymentMap* current, const SlotMap& next) {
  wire::SlotMap message;
  FillSlotMap(deployment, next, &message);
  current->writing = true;
  // The watch delivers the stored map whatever the result is, and the next plan
  // starts from it, so a lost result needs no recovery.
  store_->Put(kSlotPrefix + deployment, message.SerializeAsString(),
              current->version, {CallPriority::kOrder, options_.call_deadline},
              [this, deployment, epoch = next.epoch,
               alive = alive_](const Result<std::uint64_t>& result) {
                if (!*alive) {
                  return;
                }
                deployment_maps_[deployment].writing = false;
                if (IsOk(result)) {
                  log_(kSlotMapWritten, {{"deployment", deployment},
                                         {"epoch", std::to_string(epoch)}});
                }
              });
}

}  // namespace indigolead
