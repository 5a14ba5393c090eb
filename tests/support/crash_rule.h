#ifndef INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// Operator's requirement on requests that crash their targets: after a request
// has crashed three targets, all entries together forward it at most
// `kMaxForwardedAfterCrashes` times later than `kCrashReaction` after the third
// crash, whatever ids its retries have.
namespace indigolead::testing {

inline constexpr std::size_t kCrashesToBlock = 3;
inline constexpr int kMaxForwardedAfterCrashes = 3;
inline constexpr std::chrono::seconds kCrashReaction{3};

/// Returns how many of `arrivals` count towards `kMaxForwardedAfterCrashes`.
/// Both lists cover one request under all of its ids.
template <typename Time>
int CountForwardedAfterCrashes(std::vector<Time> crashes,
                               const std::vector<Time>& arrivals) {
  if (crashes.size() < kCrashesToBlock) {
    return 0;
  }
  std::sort(crashes.begin(), crashes.end());
  const Time from = crashes[kCrashesToBlock - 1] + kCrashReaction;
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                        [&](Time it) { return it > from; }));
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
