#ifndef INDIGOLEAD_REPORT_REQUEST_REPORT_H_
#define INDIGOLEAD_REPORT_REQUEST_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "report/log_line.h"

namespace indigolead::report {

/// A set of durations in milliseconds with quantiles.
class Durations {
 public:
  void Add(double ms) { ms_.push_back(ms); }
  std::size_t size() const { return ms_.size(); }
  /// Returns the quantile `share` (0 to 1), or 0 if the set is empty.
  double Quantile(double share) const;

 private:
  std::vector<double> ms_;
};

/// Outcomes and time breakdown of a group of requests.
struct RequestStats {
  std::uint64_t answered = 0;   ///< With a status below 500.
  std::uint64_t failed = 0;     ///< With a failure status of the target.
  std::uint64_t refused = 0;    ///< Certainly not executed.
  std::uint64_t unknown = 0;    ///< Possibly executed, without full response.
  std::uint64_t abandoned = 0;  ///< The caller disconnected.
  std::uint64_t further_attempts = 0;
  Durations before_first_attempt;  ///< From acceptance to the first attempt.
  Durations prefill_time;          ///< From there to the end of prefill.
  Durations first_event;           ///< From there to the first event.
  Durations pause;                 ///< Longest pause between two events.
  Durations whole;                 ///< From acceptance to the end.

  std::uint64_t ended() const {
    return answered + failed + refused + unknown + abandoned;
  }
};

/// Aggregates the log lines of entries for analysis after an incident.
///
/// Shows where requests spent their time, by route and by second, the causes of
/// failures, and the store calls of each process. Memory: one record per open
/// request, and all durations.
class RequestReport {
 public:
  /// Adds line `number` of the log `source`. Counts unreadable lines and
  /// records the places of the first few.
  void Add(const std::string& source, std::uint64_t number,
           std::string_view text);

  /// Requests by route.
  const std::map<std::string, RequestStats>& by_route() const {
    return by_route_;
  }
  /// Requests by the second in which they ended, counted from the first line.
  const std::map<std::int64_t, RequestStats>& by_second() const {
    return by_second_;
  }
  /// Requests without a response, by cause.
  const std::map<std::string, std::uint64_t>& causes() const { return causes_; }
  /// Attempts that a target did not execute, by cause and target.
  const std::map<std::string, std::map<std::string, std::uint64_t>>&
  attempts_refused() const {
    return attempts_refused_;
  }
  /// Number of store calls by process, then by step and kind.
  const std::map<std::string, std::map<std::string, std::uint64_t>>&
  store_calls() const {
    return store_calls_;
  }

  std::uint64_t lines() const { return lines_; }
  std::uint64_t unreadable() const { return unreadable_; }
  /// Places of the first unreadable lines, "FILE:LINE".
  const std::vector<std::string>& unreadable_places() const {
    return unreadable_places_;
  }

 private:
  struct OpenRequest {
    std::string route;
    std::optional<double> placed_ms;  ///< Since acceptance.
    std::optional<double> prefilled_ms;
  };

  void Count(const LogLine& line);
  void OnPlaced(const LogLine& line);
  void OnEnd(const LogLine& line, std::uint64_t RequestStats::*outcome);
  static void AddTimes(const OpenRequest& open, const LogLine& line,
                       RequestStats* stats);

  std::map<std::string, OpenRequest>
      open_requests_;  ///< By process and request id.
  std::map<std::string, RequestStats> by_route_;
  std::map<std::int64_t, RequestStats> by_second_;
  std::map<std::string, std::uint64_t> causes_;
  std::map<std::string, std::map<std::string, std::uint64_t>> attempts_refused_;
  std::map<std::string, std::map<std::string, std::uint64_t>> store_calls_;
  std::optional<std::int64_t> first_ms_;
  std::uint64_t lines_ = 0;
  std::uint64_t unreadable_ = 0;
  std::vector<std::string> unreadable_places_;
};

}  // namespace indigolead::report

#endif  // INDIGOLEAD_REPORT_REQUEST_REPORT_H_
