#ifndef INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// The rule on targets that ask an entry for rest, as their operator states it:
// no more than `kRestAllowed` requests of that entry reach the target between
// `kRestReaction` after it has asked and the end of the time.
namespace indigolead::testing {

inline constexpr std::chrono::milliseconds kRestReaction{500};
inline constexpr int kRestAllowed = 2;

/// A rest that a target asked an entry for.
template <typename Time>
struct AskedRest {
  Time asked_at;
  typename Time::duration length;
};

/// Returns the most of `arrivals` in the time of any one rest.
template <typename Time>
int MostDuringRest(const std::vector<AskedRest<Time>>& rests,
                   const std::vector<Time>& arrivals) {
  std::ptrdiff_t most = 0;
  for (const AskedRest<Time>& rest : rests) {
    most = std::max(
        most, std::count_if(arrivals.begin(), arrivals.end(), [&](Time at) {
          return at > rest.asked_at + kRestReaction &&
                 at < rest.asked_at + rest.length;
        }));
  }
  return static_cast<int>(most);
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_REST_RULE_H_
