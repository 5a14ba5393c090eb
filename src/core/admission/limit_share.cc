#include "core/admission/limit_share.h"

#include <algorithm>

#include "core/membership/rendezvous.h"

namespace indigolead {
namespace {

/// Returns true if the entry of `view` is among the `count` entries with the
/// highest rendezvous weights for `target`.
bool IsAmongFirst(const std::string& target, const EntryView& view,
                  std::size_t count) {
  const std::uint64_t own = RendezvousWeight(target, view.own_name);
  const auto before = std::count_if(view.names.begin(), view.names.end(),
                                    [&](const std::string& it) {
                                      return RendezvousWeight(target, it) > own;
                                    });
  return static_cast<std::size_t>(before) < count;
}

}  // namespace

LimitShare::Standing LimitShare::StandingOf(const EntryView& view,
                                            TimePoint now) const {
  return indigolead::StandingOf(view, {options_.join_time, options_.fresh_list},
                                now);
}

std::size_t LimitShare::MaxParticipants(double limit_rps) const {
  constexpr double kMaxCount = 1e6;
  return static_cast<std::size_t>(std::min(
      kMaxCount,
      options_.participants_base + options_.participants_per_rps * limit_rps));
}

RateShare LimitShare::Compute(const std::string& target, double limit_rps,
                              const EntryView& view, Standing standing) const {
  if (standing == Standing::kNotJoined) {
    return {};
  }
  const double limit =
      std::max(limit_rps, options_.min_limit_rps) *
      (standing == Standing::kStale ? options_.stale_factor : 1);
  const std::size_t n = std::max<std::size_t>(view.names.size(), 1);
  const std::size_t participants = std::min(n, MaxParticipants(limit_rps));
  if (participants == n || IsAmongFirst(target, view, participants)) {
    return {
        options_.participant_share * limit / static_cast<double>(participants),
        std::nullopt};
  }
  return {
      options_.probing_share * limit / static_cast<double>(n - participants),
      options_.probe_validity};
}

}  // namespace indigolead
