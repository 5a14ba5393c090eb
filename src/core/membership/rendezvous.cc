#include "core/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace indigolead {
namespace {

using Weighted = std::pair<std::uint64_t, std::size_t>;  // Weight, index.

/// Candidates of one failure domain, most preferred first.
struct Domain {
  std::uint64_t weight = 0;
  std::vector<Weighted> members;
};

}  // namespace

std::uint64_t RendezvousWeight(std::string_view key, std::string_view name) {
  // Seeding with the hash of one part keeps "ab"+"c" and "a"+"bc" apart.
  return XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<std::size_t> ChooseByRendezvous(
    std::string_view key, const std::vector<RendezvousCandidate>& candidates,
    std::size_t count) {
  std::map<std::string_view, Domain> by_name;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    const RendezvousCandidate& candidate = candidates[n];
    Domain& domain = by_name[candidate.failure_domain];
    domain.weight = RendezvousWeight(key, candidate.failure_domain);
    domain.members.emplace_back(RendezvousWeight(key, candidate.name), n);
  }
  std::vector<Domain> domains;
  for (auto& [name, domain] : by_name) {
    std::sort(domain.members.rbegin(), domain.members.rend());
    domains.push_back(std::move(domain));
  }
  std::sort(
      domains.begin(), domains.end(),
      [](const Domain& a, const Domain& b) { return a.weight > b.weight; });
  const std::size_t wanted = std::min(count, candidates.size());
  std::vector<std::size_t> chosen;
  for (std::size_t round = 0; chosen.size() < wanted; ++round) {
    for (const Domain& domain : domains) {
      if (round < domain.members.size() && chosen.size() < wanted) {
        chosen.push_back(domain.members[round].second);
      }
    }
  }
  return chosen;
}

}  // namespace indigolead
