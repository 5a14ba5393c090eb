#include "core/membership/relay_choice.h"

#include <algorithm>
#include <tuple>

#include "core/membership/rendezvous.h"

namespace indigolead {

void RelayChoice::OnEntries(const std::vector<RelayCandidate>& entries) {
  ranked_.clear();
  for (const RelayCandidate& it : entries) {
    if (it.failure_domain == options_.failure_domain && !it.address.empty()) {
      ranked_.push_back(it);
    }
  }
  const auto rank = [this](const RelayCandidate& it) {
    return std::tuple(it.processor,
                      RendezvousWeight(options_.failure_domain, it.name));
  };
  std::sort(ranked_.begin(), ranked_.end(),
            [&rank](const RelayCandidate& a, const RelayCandidate& b) {
              return rank(a) > rank(b);
            });
  // Orders the relays by this entry's preference: itself first if it is one of
  // them, then by its own rendezvous weights, which spread entries over relays.
  const auto own_rank = [this](const RelayCandidate& it) {
    return std::tuple(it.name == options_.own_name,
                      RendezvousWeight(options_.own_name, it.name));
  };
  std::sort(ranked_.begin(),
            ranked_.begin() + static_cast<std::ptrdiff_t>(RelaysNeeded()),
            [&own_rank](const RelayCandidate& a, const RelayCandidate& b) {
              return own_rank(a) > own_rank(b);
            });
}

std::size_t RelayChoice::RelaysNeeded() const {
  double followers = 0;
  std::size_t relays = 0;
  while (relays < ranked_.size() &&
         followers < static_cast<double>(ranked_.size())) {
    followers += options_.followers_per_core * ranked_[relays].processor;
    ++relays;
  }
  return relays;
}

void RelayChoice::OnFailed(const std::string& name, TimePoint now) {
  Avoided& avoided = avoided_[name];
  if (now < avoided.until) {
    return;  // The request was sent before the failure was known.
  }
  avoided.length = std::clamp<Duration>(
      2 * avoided.length, options_.min_avoid_time, options_.max_avoid_time);
  avoided.until = now + avoided.length;
}

std::optional<RelayCandidate> RelayChoice::SelectRelay(TimePoint now) const {
  if (ranked_.size() < options_.min_entries) {
    return std::nullopt;
  }
  const auto best = std::find_if(
      ranked_.begin(), ranked_.end(), [&](const RelayCandidate& it) {
        const auto avoided = avoided_.find(it.name);
        return avoided == avoided_.end() || now >= avoided->second.until;
      });
  return best == ranked_.end() ? std::nullopt : std::optional(*best);
}

}  // namespace indigolead
