#ifndef INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// The rule on requests that crash their targets, as the targets' operator
// states it: once three targets have crashed under a request, all entries
// together send it on no more than `kSentOnAllowed` times later than
// `kCrashKnown` after the third crash, whatever ids its repeats bear.
namespace indigolead::testing {

inline constexpr std::size_t kCrashesToStop = 3;
inline constexpr int kSentOnAllowed = 3;
inline constexpr std::chrono::seconds kCrashKnown{3};

/// Returns how many of `arrivals` count against that. Both lists are of one
/// request, under any of its ids.
template <typename Time>
int SentOnAfterCrashes(std::vector<Time> crashes,
                       const std::vector<Time>& arrivals) {
  if (crashes.size() < kCrashesToStop) {
    return 0;
  }
  std::sort(crashes.begin(), crashes.end());
  const Time from = crashes[kCrashesToStop - 1] + kCrashKnown;
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                        [&](Time it) { return it > from; }));
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
