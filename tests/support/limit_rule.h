#ifndef INDIGOLEAD_TESTS_SUPPORT_LIMIT_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_LIMIT_RULE_H_

#include <algorithm>
#include <chrono>
#include <vector>

// Operator's requirement on targets that advertise a rate limit: in any span of
// `kLimitSpan`, entries that received the limit at least `kLimitReaction` ago
// send at most `kLimitTolerance` times what the limit allows plus `kLimitSlack`
// requests. It holds from `kLimitGracePeriod` after the limit was first
// advertised. The first such span begins before that moment and counts in full.
namespace indigolead::testing {

inline constexpr std::chrono::seconds kLimitSpan{4};
inline constexpr double kLimitTolerance = 1.5;
inline constexpr double kLimitSlack = 5;
inline constexpr std::chrono::milliseconds kLimitReaction{500};
inline constexpr std::chrono::seconds kLimitGracePeriod{3};

/// Returns the number of requests that a limit of `per_second` allows in one
/// `kLimitSpan`.
inline double MaxAllowedInSpan(double per_second) {
  return kLimitTolerance * per_second *
             static_cast<double>(kLimitSpan.count()) +
         kLimitSlack;
}

/// Returns the maximum number of `times` in any `kLimitSpan` between `from` and
/// `to`. `times` must be sorted.
template <typename Time>
int MaxInSpan(const std::vector<Time>& times, Time from,
              Time to = Time::max()) {
  int most = 0;
  auto first = std::lower_bound(times.begin(), times.end(), from);
  for (auto it = first; it != times.end() && *it < to; ++it) {
    while (*it - *first >= kLimitSpan) {
      ++first;
    }
    most = std::max(most, static_cast<int>(it - first) + 1);
  }
  return most;
}

/// Returns the maximum number of `times` in any `kLimitSpan` that ends at
/// `from` or later. `times` must be sorted.
template <typename Time>
int MaxInSpanEnding(const std::vector<Time>& times, Time from) {
  int most = 0;
  auto first = times.begin();
  for (auto it = times.begin(); it != times.end(); ++it) {
    while (*it - *first >= kLimitSpan) {
      ++first;
    }
    if (*it >= from) {
      most = std::max(most, static_cast<int>(it - first) + 1);
    }
  }
  return most;
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_LIMIT_RULE_H_
