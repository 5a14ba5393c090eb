#ifndef INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace indigolead {

/// One process that may be chosen.
struct RendezvousCandidate {
  std::string name;
  std::string failure_domain;

  friend bool operator==(const RendezvousCandidate&,
                         const RendezvousCandidate&) = default;
};

/// Returns the weight of `name` for `key`: the same on every machine.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);

/// Returns the indices of the `count` candidates that `key` prefers, the most
/// preferred first; all of them if there are no more.
///
/// Every process computes the same choice from the same list without asking
/// anyone, and a change of the list moves only the choices that it touches.
/// The choice takes the failure domains in turn, in an order that is the key's
/// own, so that the loss of one domain takes at most its share, rounded up.
std::vector<std::size_t> ChooseByRendezvous(
    std::string_view key, const std::vector<RendezvousCandidate>& candidates,
    std::size_t count);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_RENDEZVOUS_H_
