#ifndef INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// Operator's requirements on requests that crash their targets.
//
// After a request has crashed three targets, all entries together forward it at
// most `kMaxForwardedAfterCrashes` times later than `kCrashReaction` after the
// third crash, whatever ids its retries have. The same holds for all requests
// with one prompt part together, from the fifth crash on.
//
// From `kNeighborsServedAfter` after that crash, or after the last one if there
// are fewer, requests that share only other parts with them are served at least
// `kMinNeighborsServed` times as often as without such requests.
namespace indigolead::testing {

inline constexpr std::size_t kCrashesToBlock = 3;
inline constexpr std::size_t kPartCrashesToBlock = 5;
inline constexpr int kMaxForwardedAfterCrashes = 3;
inline constexpr std::chrono::seconds kCrashReaction{3};
inline constexpr std::chrono::seconds kNeighborsServedAfter{6};
inline constexpr double kMinNeighborsServed = 0.5;
inline constexpr int kMinNeighbors = 20;  ///< Fewer prove nothing.

/// Returns how many of `arrivals` count towards `kMaxForwardedAfterCrashes`.
/// Both lists cover one request under all of its ids, or one prompt part, with
/// the crashes that block it.
template <typename Time>
int CountForwardedAfterCrashes(std::vector<Time> crashes,
                               const std::vector<Time>& arrivals,
                               std::size_t crashes_to_block = kCrashesToBlock) {
  if (crashes.size() < crashes_to_block) {
    return 0;
  }
  std::sort(crashes.begin(), crashes.end());
  const Time from = crashes[crashes_to_block - 1] + kCrashReaction;
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                        [&](Time it) { return it > from; }));
}

/// Returns the time from which neighbors must be served again. `crashes` must
/// not be empty.
template <typename Time>
Time NeighborsServedFrom(std::vector<Time> crashes) {
  std::sort(crashes.begin(), crashes.end());
  const std::size_t n = std::min(crashes.size(), kPartCrashesToBlock);
  return crashes[n - 1] + kNeighborsServedAfter;
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_CRASH_RULE_H_
