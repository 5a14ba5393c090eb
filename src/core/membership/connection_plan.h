#ifndef INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace indigolead {

/// What a process of this system does.
enum class MemberKind { kEntry, kSide };

/// One line of the platform's instance list, as far as membership needs it.
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

/// How many connections a process opens.
struct ConnectionPlanOptions {
  std::string self_name;
  MemberKind self_kind = MemberKind::kSide;
  /// Entries that a side connects to in each region. At least the number of
  /// entries means all of them.
  std::uint32_t entries_per_region = 64;
  /// Entries of each region that an entry exchanges notices with.
  std::uint32_t entry_peers_per_region = 64;

  friend bool operator==(const ConnectionPlanOptions&,
                         const ConnectionPlanOptions&) = default;
};

/// Returns the addresses that the process keeps connections to.
///
/// A side chooses entries by rendezvous hashing, so that an entry sees about
/// sides * entries_per_region * regions / entries targets at any fleet size.
/// An entry chooses entries likewise; where two choose each other, only the one
/// with the smaller name opens. Entries that leave are not chosen.
std::set<std::string> PlanConnections(
    const ConnectionPlanOptions& options,
    const std::vector<ListedInstance>& instances);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_CONNECTION_PLAN_H_
