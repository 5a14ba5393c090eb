#include "core/claims/slot_map.h"

#include <algorithm>
#include <map>
#include <utility>

namespace indigolead {
namespace {

using LoadByHome = std::map<JournalRef, std::size_t>;

const HomeState* FindHome(const std::vector<HomeState>& homes,
                          const std::string& name) {
  const auto it = std::find_if(
      homes.begin(), homes.end(),
      [&](const HomeState& home) { return home.ref.home == name; });
  return it == homes.end() ? nullptr : &*it;
}

LoadByHome CountSlots(const std::vector<JournalRef>& homes,
                      const SlotMap& map) {
  LoadByHome load;
  for (const JournalRef& it : homes) {
    load[it] = 0;
  }
  for (const SlotAssignment& it : map.slots) {
    const auto found = load.find(it.owner);
    if (found != load.end()) {
      ++found->second;
    }
  }
  return load;
}

LoadByHome::iterator LeastLoaded(LoadByHome* load) {
  return std::min_element(
      load->begin(), load->end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
}

void MoveSlot(const JournalRef& to, SlotMap* map, SlotAssignment* slot) {
  if (slot->owner.home.empty()) {
    slot->sources.clear();
  } else {
    slot->sources.push_back(slot->owner);
    map->retired.insert(slot->owner);
  }
  slot->owner = to;
  slot->since_epoch = map->epoch;
}

/// Removes retired journals that no home can use again.
void PruneRetired(const SlotPlanner::Input& input, SlotMap* map) {
  std::erase_if(map->retired, [&](const JournalRef& it) {
    const HomeState* home = FindHome(input.homes, it.home);
    return home ? home->ref != it : input.removed.count(it.home) > 0;
  });
}

}  // namespace

std::optional<SlotMap> SlotPlanner::Plan(const std::optional<SlotMap>& current,
                                         const Input& input) const {
  SlotMap next = current.value_or(SlotMap{});
  next.slots.resize(options_.slot_count);
  ++next.epoch;
  next.fencing_number = input.fencing_number;
  PruneRetired(input, &next);
  const std::vector<JournalRef> homes = PickHomes(next, input);
  LoadByHome load = CountSlots(homes, next);
  for (SlotAssignment& slot : next.slots) {
    const HomeState* owner = FindHome(input.homes, slot.owner.home);
    if (owner && owner->ref == slot.owner &&
        owner->absorbed_epoch >= slot.since_epoch) {
      slot.sources.clear();
    }
    const bool replaced = owner && owner->ref != slot.owner;
    const bool removed = input.removed.count(slot.owner.home) > 0;
    if (replaced || (removed && !owner)) {
      next.gone.insert(slot.owner);
    }
    for (const JournalRef& it : slot.sources) {
      const HomeState* source = FindHome(input.homes, it.home);
      if ((source && source->ref != it) || input.removed.count(it.home) > 0) {
        next.gone.insert(it);
      }
    }
    const bool keep = !slot.owner.home.empty() && !replaced && !removed &&
                      input.lost.count(slot.owner.home) == 0 &&
                      !(owner && owner->leaving);
    if (keep || load.empty() || slot.sources.size() >= options_.max_sources) {
      continue;
    }
    const auto same_name = std::find_if(
        load.begin(), load.end(),
        [&](const auto& it) { return it.first.home == slot.owner.home; });
    const auto to =
        same_name != load.end() && replaced ? same_name : LeastLoaded(&load);
    ++to->second;
    MoveSlot(to->first, &next, &slot);
  }
  Rebalance(homes, &next);
  std::set<JournalRef> named;
  for (const SlotAssignment& it : next.slots) {
    named.insert(it.sources.begin(), it.sources.end());
  }
  std::erase_if(next.gone, [&](const auto& it) { return !named.count(it); });
  if (current && next.slots == current->slots && next.gone == current->gone &&
      next.retired == current->retired) {
    return std::nullopt;
  }
  if (!current && load.empty()) {
    return std::nullopt;
  }
  return next;
}

std::vector<JournalRef> SlotPlanner::PickHomes(const SlotMap& map,
                                               const Input& input) const {
  // Current owners stay homes. The others are picked round-robin over the
  // failure domains, so that the loss of one domain affects few slots.
  std::set<std::string> owners;
  for (const SlotAssignment& it : map.slots) {
    owners.insert(it.owner.home);
  }
  std::vector<JournalRef> picked;
  std::map<std::string, std::vector<JournalRef>> by_domain;
  for (const HomeState& it : input.homes) {
    // A home that was paused while it lost a slot still reports its old
    // journal. If that journal became a source after those of later homes, its
    // old records would count as the newest, and a key that ran in between
    // would run again.
    if (it.leaving || input.removed.count(it.ref.home) > 0 ||
        map.retired.count(it.ref) > 0) {
      continue;
    }
    if (owners.count(it.ref.home) > 0) {
      picked.push_back(it.ref);
    } else {
      by_domain[it.failure_domain].push_back(it.ref);
    }
  }
  for (std::size_t turn = 0; picked.size() < options_.max_homes; ++turn) {
    bool any = false;
    for (const auto& [domain, refs] : by_domain) {
      if (turn < refs.size() && picked.size() < options_.max_homes) {
        picked.push_back(refs[turn]);
        any = true;
      }
    }
    if (!any) {
      break;
    }
  }
  return picked;
}

void SlotPlanner::Rebalance(const std::vector<JournalRef>& homes,
                            SlotMap* map) const {
  // A move seals the whole journal of the previous owner, so no move starts
  // while another is unfinished.
  const bool moves_finished =
      std::all_of(map->slots.begin(), map->slots.end(),
                  [](const SlotAssignment& it) { return it.sources.empty(); });
  LoadByHome load = CountSlots(homes, *map);
  if (!moves_finished || load.size() < 2) {
    return;
  }
  const double mean =
      static_cast<double>(map->slots.size()) / static_cast<double>(load.size());
  const bool imbalanced =
      std::any_of(load.begin(), load.end(), [&](const auto& it) {
        return static_cast<double>(it.second) > mean * options_.imbalance;
      });
  for (SlotAssignment& slot : map->slots) {
    const auto from = load.find(slot.owner);
    const auto to = LeastLoaded(&load);
    if (imbalanced && from != load.end() && from->second > to->second + 1) {
      --from->second;
      ++to->second;
      MoveSlot(to->first, map, &slot);
    }
  }
}

}  // namespace indigolead
