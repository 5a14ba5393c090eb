#include "core/membership/entry_roster.h"

#include <algorithm>
#include <utility>

namespace indigolead {

void EntryRoster::OnListed(const std::vector<RosterRecord>& listed,
                           TimePoint now) {
  std::map<std::string, Seen> seen;
  std::size_t known_names = 0;
  for (const RosterRecord& it : listed) {
    const auto known = seen_.find(it.name);
    const bool renewed =
        known == seen_.end() || known->second.version != it.version;
    known_names += known != seen_.end() ? 1 : 0;
    seen[it.name] = renewed ? Seen{it.version, now, it.relay} : known->second;
  }
  unchanged_ =
      listed_ && known_names == seen.size() && known_names == seen_.size();
  seen_ = std::move(seen);
  listed_ = true;
}

std::uint64_t EntryRoster::own_version() const {
  const auto own = seen_.find(options_.own_name);
  return own == seen_.end() ? 0 : own->second.version;
}

bool EntryRoster::IsLive(const std::string& name, const Seen& seen,
                         TimePoint now) const {
  return name == options_.own_name ||
         now - seen.since < options_.pace.ExpireAfter(seen_.size());
}

std::size_t EntryRoster::live(TimePoint now) const {
  std::size_t n = seen_.count(options_.own_name) == 0 ? 1 : 0;
  for (const auto& [name, seen] : seen_) {
    n += IsLive(name, seen, now) ? 1 : 0;
  }
  return n;
}

std::vector<std::string> EntryRoster::LiveNames(TimePoint now) const {
  std::vector<std::string> names;
  if (seen_.count(options_.own_name) == 0) {
    names.push_back(options_.own_name);
  }
  for (const auto& [name, seen] : seen_) {
    if (IsLive(name, seen, now)) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<RelayCandidate> EntryRoster::LiveRelays(TimePoint now) const {
  std::vector<RelayCandidate> relays;
  for (const auto& [name, seen] : seen_) {
    if (IsLive(name, seen, now) && !seen.relay.address.empty()) {
      relays.push_back(seen.relay);
    }
  }
  return relays;
}

std::vector<RosterRecord> EntryRoster::ToDelete(TimePoint now) const {
  std::vector<RosterRecord> expired;
  for (const auto& [name, seen] : seen_) {
    if (!IsLive(name, seen, now)) {
      expired.push_back({name, seen.version, seen.relay});
    } else if (name < options_.own_name) {
      return {};  // The live entry `name` deletes them.
    }
  }
  return expired;
}

}  // namespace indigolead
