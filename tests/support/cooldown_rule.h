#ifndef INDIGOLEAD_TESTS_SUPPORT_COOLDOWN_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_COOLDOWN_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// Operator's requirements on cooldown and leaving notices.
//
// After a target requests a cooldown from an entry, at most
// `kMaxRequestsDuringCooldown` requests of that entry reach it between
// `kCooldownReaction` after the notice and the end of the cooldown. After a
// target announces in an answer that it leaves, no request of that entry
// reaches it later than `kLeavingDrain` after the answer. A restart or freeze
// of the entry since the notice exempts it.
namespace indigolead::testing {

inline constexpr std::chrono::milliseconds kCooldownReaction{500};
inline constexpr int kMaxRequestsDuringCooldown = 2;
inline constexpr std::chrono::seconds kLeavingDrain{2};

/// Cooldown that a target requested from an entry.
template <typename Time>
struct RequestedCooldown {
  Time asked_at;
  typename Time::duration length;
};

/// Returns true if one of `exemptions` lies in [from, to].
template <typename Time>
bool IsExempt(const std::vector<Time>& exemptions, Time from, Time to) {
  return std::any_of(exemptions.begin(), exemptions.end(),
                     [&](Time it) { return it >= from && it <= to; });
}

/// Returns the maximum number of `arrivals` that count against any one
/// cooldown. `exemptions` are the times at which the entry was killed, stopped
/// or resumed.
template <typename Time>
int MaxArrivalsDuringCooldown(
    const std::vector<RequestedCooldown<Time>>& cooldowns,
    const std::vector<Time>& arrivals,
    const std::vector<Time>& exemptions = {}) {
  std::ptrdiff_t most = 0;
  for (const RequestedCooldown<Time>& cooldown_request : cooldowns) {
    const Time end = cooldown_request.asked_at + cooldown_request.length;
    const auto counts = [&](Time at) {
      return at > cooldown_request.asked_at + kCooldownReaction && at < end &&
             !IsExempt(exemptions, cooldown_request.asked_at, at);
    };
    most =
        std::max(most, std::count_if(arrivals.begin(), arrivals.end(), counts));
  }
  return static_cast<int>(most);
}

/// Returns how many of `arrivals` came too late after one of the answers at
/// `announced_at`, which announced that the target leaves.
template <typename Time>
int CountArrivalsAfterLeaving(const std::vector<Time>& announced_at,
                              const std::vector<Time>& arrivals,
                              const std::vector<Time>& exemptions = {}) {
  const auto counts = [&](Time at) {
    return std::any_of(announced_at.begin(), announced_at.end(),
                       [&](Time announcement) {
                         return at > announcement + kLeavingDrain &&
                                !IsExempt(exemptions, announcement, at);
                       });
  };
  return static_cast<int>(
      std::count_if(arrivals.begin(), arrivals.end(), counts));
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_COOLDOWN_RULE_H_
