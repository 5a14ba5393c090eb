#include "entry/slot_keeper.h"

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

SlotKeeper::SlotKeeper(ObjectStore* store, Options options, Hooks hooks,
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

SlotKeeper::~SlotKeeper() { *alive_ = false; }

void SlotKeeper::OnState(const ListWatcher::State& state) {
  for (const auto& [key, object] : state) {
    wire::SlotMap message;
    const bool parsed = message.ParseFromString(object.value);
    auto map = parsed ? ReadSlotMap(message) : std::nullopt;
    if (!map) {
      log_(kSlotMapUnreadable, {{"key", key}});
      continue;
    }
    const std::string deployment = key.substr(sizeof(kSlotPrefix) - 1);
    Kept& kept = kept_[deployment];
    if (object.version <= kept.version) {
      continue;
    }
    kept.version = object.version;
    kept.map = std::move(map);
    hooks_.on_map(deployment, *kept.map);
  }
}

void SlotKeeper::OnHome(const std::string& deployment, const HomeState& state) {
  if (homes_.size() >= options_.max_homes_known &&
      homes_.count(state.ref.home) == 0) {
    return;
  }
  homes_[state.ref.home] = {deployment, state, true, {}};
  Kept& kept = kept_[deployment];
  if (!kept.first_home) {
    kept.first_home = clock_();
  }
}

void SlotKeeper::OnHomeDown(const std::string& instance) {
  const auto it = homes_.find(instance);
  if (it != homes_.end() && it->second.linked) {
    it->second.linked = false;
    it->second.down_since = clock_();
  }
}

void SlotKeeper::OnInstances(const InstanceList& list) {
  have_list_ = true;
  listed_.clear();
  for (const InstanceRecord& it : list.instances) {
    listed_.insert(it.name);
    if (seen_listed_.size() < options_.max_homes_known) {
      seen_listed_.insert(it.name);
    }
  }
}

bool SlotKeeper::IsRemoved(const std::string& instance) const {
  if (!have_list_ || listed_.count(instance) > 0) {
    return false;
  }
  const auto known = homes_.find(instance);
  if (known != homes_.end() && known->second.linked) {
    return false;
  }
  const TimePoint since =
      known == homes_.end() ? started_ : known->second.down_since;
  const Duration wait = seen_listed_.count(instance) > 0
                            ? options_.lost_after
                            : options_.unlisted_after;
  return clock_() - since >= wait;
}

SlotPlanner::Input SlotKeeper::InputFor(const std::string& deployment,
                                        const Kept& kept) const {
  SlotPlanner::Input input;
  input.fencing_number = *lease_;
  for (const auto& [name, known] : homes_) {
    if (known.deployment == deployment && known.linked) {
      input.homes.push_back(known.state);
    }
  }
  if (!kept.map) {
    return input;
  }
  std::set<std::string> named;
  for (const SlotAssignment& it : kept.map->slots) {
    named.insert(it.owner.home);
    for (const JournalRef& source : it.sources) {
      named.insert(source.home);
    }
  }
  const TimePoint now = clock_();
  for (const std::string& it : named) {
    const auto known = homes_.find(it);
    const bool linked = known != homes_.end() && known->second.linked;
    const TimePoint since =
        known == homes_.end() ? started_ : known->second.down_since;
    if (!linked && now - since >= options_.lost_after) {
      input.lost.insert(it);
    }
    if (IsRemoved(it)) {
      input.removed.insert(it);
    }
  }
  return input;
}

void SlotKeeper::Tick() {
  const TimePoint now = clock_();
  // Without a working watch the known map may be outdated, and a write based
  // on it would fail.
  if (!lease_ || !watcher_.following() || now < next_plan_) {
    return;
  }
  next_plan_ = now + options_.plan_interval;
  const SlotPlanner planner(options_.planner);
  for (auto& [deployment, kept] : kept_) {
    const bool too_early =
        !kept.map &&
        (!kept.first_home || now - *kept.first_home < options_.first_wait);
    if (kept.writing || too_early) {
      continue;
    }
    if (const auto next = planner.Plan(kept.map, InputFor(deployment, kept))) {
      Write(deployment, &kept, *next);
    }
  }
}

void SlotKeeper::Write(const std::string& deployment, Kept* kept,
                       const SlotMap& next) {
  wire::SlotMap message;
  FillSlotMap(deployment, next, &message);
  kept->writing = true;
  // The watch delivers the stored map whatever the result is, and the next plan
  // starts from it, so a lost result needs no recovery.
  store_->Put(kSlotPrefix + deployment, message.SerializeAsString(),
              kept->version, {CallPriority::kOrder, options_.call_deadline},
              [this, deployment, epoch = next.epoch,
               alive = alive_](const Result<std::uint64_t>& result) {
                if (!*alive) {
                  return;
                }
                kept_[deployment].writing = false;
                if (IsOk(result)) {
                  log_(kSlotMapWritten, {{"deployment", deployment},
                                         {"epoch", std::to_string(epoch)}});
                }
              });
}

}  // namespace indigolead
