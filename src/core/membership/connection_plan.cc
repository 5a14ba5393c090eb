#include "core/membership/connection_plan.h"

#include <algorithm>
#include <map>

#include "core/membership/rendezvous.h"

namespace indigolead {
namespace {

using Region = std::vector<const ListedInstance*>;

std::map<std::string, Region> EntriesByRegion(
    const std::vector<ListedInstance>& instances) {
  std::map<std::string, Region> regions;
  for (const ListedInstance& instance : instances) {
    if (instance.kind == MemberKind::kEntry && !instance.leaving &&
        !instance.link_address.empty()) {
      regions[instance.region].push_back(&instance);
    }
  }
  return regions;
}

/// Returns the entries of `region` that `chooser` selects, excluding itself.
Region Choose(const std::string& chooser, const Region& region,
              std::size_t count) {
  Region others;
  std::vector<RendezvousCandidate> candidates;
  for (const ListedInstance* entry : region) {
    if (entry->name != chooser) {
      others.push_back(entry);
      candidates.push_back({entry->name, entry->failure_domain});
    }
  }
  Region chosen;
  for (const std::size_t n : ChooseByRendezvous(chooser, candidates, count)) {
    chosen.push_back(others[n]);
  }
  return chosen;
}

bool Contains(const Region& region, const std::string& name) {
  return std::any_of(
      region.begin(), region.end(),
      [&name](const ListedInstance* entry) { return entry->name == name; });
}

/// Returns true if `peer`, selected by this entry, opens the connection. If
/// both opened one, every notice would be sent twice.
bool PeerOpens(const ConnectionPlanOptions& options, const ListedInstance& peer,
               const std::map<std::string, Region>& regions) {
  if (peer.name > options.self_name) {
    return false;
  }
  for (const auto& [name, region] : regions) {
    if (Contains(region, options.self_name)) {
      return Contains(Choose(peer.name, region, options.entry_peers_per_region),
                      options.self_name);
    }
  }
  return false;  // This entry is not listed yet.
}

}  // namespace

std::set<std::string> PlanConnections(
    const ConnectionPlanOptions& options,
    const std::vector<ListedInstance>& instances) {
  const bool is_side = options.self_kind == MemberKind::kSide;
  const std::size_t count =
      is_side ? options.entries_per_region : options.entry_peers_per_region;
  const auto regions = EntriesByRegion(instances);
  std::set<std::string> addresses;
  for (const auto& [name, region] : regions) {
    for (const ListedInstance* entry :
         Choose(options.self_name, region, count)) {
      if (is_side || !PeerOpens(options, *entry, regions)) {
        addresses.insert(entry->link_address);
      }
    }
  }
  return addresses;
}

}  // namespace indigolead
