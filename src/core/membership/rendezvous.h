#ifndef INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace indigolead {

/// A process that can be selected.
struct RendezvousCandidate {
  std::string name;
  std::string failure_domain;

  friend bool operator==(const RendezvousCandidate&,
                         const RendezvousCandidate&) = default;
};

/// Returns the weight of `name` for `key`. It is the same on every machine.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);

/// Returns the indices of the `count` candidates that `key` prefers, the most
/// preferred first; all of them if there are no more than `count`.
///
/// Every process computes the same selection from the same list without
/// coordination. Removing a candidate changes only the selections that
/// contained it, and by one candidate each. Failure domains are taken round
/// robin in an order that depends on the key, so the loss of one domain loses
/// at most its share, rounded up.
std::vector<std::size_t> ChooseByRendezvous(
    std::string_view key, const std::vector<RendezvousCandidate>& candidates,
    std::size_t count);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_
