#ifndef INDIGOLEAD_TESTS_SUPPORT_RETRY_RULE_H_
#define INDIGOLEAD_TESTS_SUPPORT_RETRY_RULE_H_

#include <algorithm>
#include <chrono>
#include <ostream>
#include <vector>

// Operator's requirement on retries: in any span of `window`, a service gets
// from all entries together at most `ratio` times its requests plus `slack`
// arrivals beyond the first of each request. The requests are those that
// callers sent in that span, in the one before it, or in the one that begins
// half a window before it, whichever has the most.
namespace indigolead::testing {

struct RetryRule {
  double ratio = 0.2;
  double slack = 54;
  std::chrono::milliseconds window{10'000};
};

/// Span with the most retry arrivals relative to the allowance.
struct RetryWindow {
  int further = 0;
  int requests = 0;
  double allowed = 0;

  friend bool operator==(const RetryWindow&, const RetryWindow&) = default;
};

inline std::ostream& operator<<(std::ostream& os, const RetryWindow& it) {
  return os << it.further << " further arrivals in a window of " << it.requests
            << " requests, " << it.allowed << " allowed";
}

/// Returns how many of `times`, which are sorted, lie in [from, to).
template <typename Time>
int CountBetween(const std::vector<Time>& times, Time from, Time to) {
  return static_cast<int>(std::lower_bound(times.begin(), times.end(), to) -
                          std::lower_bound(times.begin(), times.end(), from));
}

/// Returns the span that uses the most of its allowance. Both lists must be
/// sorted. Considers each span that begins or ends with a retry arrival.
template <typename Time>
RetryWindow WorstRetryWindow(const RetryRule& rule,
                             const std::vector<Time>& requests,
                             const std::vector<Time>& further) {
  const auto window = rule.window;
  constexpr std::chrono::nanoseconds kSmallestStep{1};
  RetryWindow worst;
  const auto consider = [&](Time from) {
    RetryWindow it;
    it.further = CountBetween(further, from, from + window);
    it.requests = std::max(
        {CountBetween(requests, from, from + window),
         CountBetween(requests, from - window, from),
         CountBetween(requests, from - window / 2, from + window / 2)});
    it.allowed = rule.ratio * it.requests + rule.slack;
    if (it.further * worst.allowed > worst.further * it.allowed ||
        worst.allowed == 0) {
      worst = it;
    }
  };
  for (const Time it : further) {
    consider(it);
    consider(it + kSmallestStep - window);
  }
  return worst;
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_RETRY_RULE_H_
