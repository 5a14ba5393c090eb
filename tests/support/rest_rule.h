#ifndef INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// Operator's requirements on back-off and leaving notices.
//
// After a target asks an entry to back off, at most `kRestAllowed` requests of
// that entry reach it between `kRestReaction` after the notice and the end of
// the back-off. After a target announces in an answer that it leaves, no
// request of that entry reaches it later than `kLeavingDrain` after the answer.
// A restart or freeze of the entry since the notice exempts it.
namespace indigolead::testing {

inline constexpr std::chrono::milliseconds kRestReaction{500};
inline constexpr int kRestAllowed = 2;
inline constexpr std::chrono::seconds kLeavingDrain{2};

/// Back-off that a target asked an entry for.
template <typename Time>
struct AskedRest {
  Time asked_at;
  typename Time::duration length;
};

/// Returns true if one of `excuses` lies in [from, to].
template <typename Time>
bool IsExcused(const std::vector<Time>& excuses, Time from, Time to) {
  return std::any_of(excuses.begin(), excuses.end(),
                     [&](Time it) { return it >= from && it <= to; });
}

/// Returns the maximum number of `arrivals` that count against any one
/// back-off. `excuses` are the times at which the entry was killed, stopped or
/// resumed.
template <typename Time>
int MostDuringRest(const std::vector<AskedRest<Time>>& rests,
                   const std::vector<Time>& arrivals,
                   const std::vector<Time>& excuses = {}) {
  std::ptrdiff_t most = 0;
  for (const AskedRest<Time>& rest : rests) {
    const Time end = rest.asked_at + rest.length;
    const auto counts = [&](Time at) {
      return at > rest.asked_at + kRestReaction && at < end &&
             !IsExcused(excuses, rest.asked_at, at);
    };
    most =
        std::max(most, std::count_if(arrivals.begin(), arrivals.end(), counts));
  }
  return static_cast<int>(most);
}

/// Returns how many of `arrivals` came too late after one of the answers at
/// `said_at`, which announced that the target leaves.
template <typename Time>
int AfterLeaving(const std::vector<Time>& said_at,
                 const std::vector<Time>& arrivals,
                 const std::vector<Time>& excuses = {}) {
  const auto counts = [&](Time at) {
    return std::any_of(said_at.begin(), said_at.end(), [&](Time said) {
      return at > said + kLeavingDrain && !IsExcused(excuses, said, at);
    });
  };
  return static_cast<int>(
      std::count_if(arrivals.begin(), arrivals.end(), counts));
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_
