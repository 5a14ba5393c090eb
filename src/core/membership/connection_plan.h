#ifndef INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace indigolead {

/// Role of a process: an entry accepts requests from callers; a side runs
/// beside one target and forwards requests to it.
enum class MemberKind { kEntry, kSide };

/// The fields of an instance in the platform's list that membership uses.
struct ListedInstance {
  std::string name;
  MemberKind kind = MemberKind::kEntry;
  std::string failure_domain;
  std::string region;
  std::string link_address;  ///< "IP:port".
  bool leaving = false;

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

/// Selects the connections that a process opens.
struct ConnectionPlanOptions {
  std::string self_name;
  MemberKind self_kind = MemberKind::kSide;
  /// Entries that a side connects to in each region; all of them if there are
  /// no more than this.
  std::uint32_t entries_per_region = 64;
  /// Entries that an entry exchanges notices with in each region.
  std::uint32_t entry_peers_per_region = 64;

  friend bool operator==(const ConnectionPlanOptions&,
                         const ConnectionPlanOptions&) = default;
};

/// Returns the addresses that the process opens and keeps connections to.
///
/// A side selects entries by rendezvous hashing, so that each entry has about
/// sides * entries_per_region * regions / entries connections to sides at any
/// fleet size, unless a region has fewer than `entries_per_region` entries.
/// Entries select their peers in the same way; if two select each other, the
/// one with the smaller name opens the connection. Leaving entries are skipped.
std::set<std::string> PlanConnections(
    const ConnectionPlanOptions& options,
    const std::vector<ListedInstance>& instances);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_
