#ifndef INDIGOLEAD_REPORT_REQUEST_REPORT_H_
#define INDIGOLEAD_REPORT_REQUEST_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "report/log_line.h"

namespace indigolead::report {

/// Durations in milliseconds, of which quantiles are asked for.
class Durations {
 public:
  void Add(double ms) { ms_.push_back(ms); }
  std::size_t size() const { return ms_.size(); }
  /// Returns the quantile `share`; 0 if there are none.
  double Quantile(double share) const;

 private:
  std::vector<double> ms_;
};

/// Where the time of the requests of one kind went, and what became of them.
struct RequestTally {
  std::uint64_t answered = 0;   ///< With a success.
  std::uint64_t failed = 0;     ///< With a failure that the target gave.
  std::uint64_t refused = 0;    ///< Known not to have run.
  std::uint64_t unknown = 0;    ///< May have run, and no whole answer.
  std::uint64_t abandoned = 0;  ///< The caller left.
  std::uint64_t further_attempts = 0;
  Durations placing;      ///< From taking it to its first attempt.
  Durations reading;      ///< From there until its prompt was read.
  Durations first_event;  ///< From there to the first event.
  Durations pause;        ///< Longest between two events.
  Durations whole;        ///< From taking it to its end.

  std::uint64_t ended() const {
    return answered + failed + refused + unknown + abandoned;
  }
};

/// Adds up the log lines of entries.
///
/// For the morning after: which kind of request lost its time where, at which
/// second, and for what cause; and what each process asked of the store.
/// Memory: one record for each request that is open, and the durations.
class RequestReport {
 public:
  /// Takes one line of the log `source`. One that cannot be read is counted,
  /// with the place of the first few.
  void Add(const std::string& source, std::uint64_t number,
           std::string_view text);

  /// Requests by route.
  const std::map<std::string, RequestTally>& by_route() const {
    return by_route_;
  }
  /// Requests by the second in which they ended, from the first line on.
  const std::map<std::int64_t, RequestTally>& by_second() const {
    return by_second_;
  }
  /// Requests without an answer, by cause.
  const std::map<std::string, std::uint64_t>& causes() const { return causes_; }
  /// Attempts that a target did not run, by cause and target.
  const std::map<std::string, std::map<std::string, std::uint64_t>>&
  attempts_refused() const {
    return attempts_refused_;
  }
  /// Calls of the store by step and kind, for each process.
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
  struct Open {
    std::string route;
    std::optional<double> placed_ms;  ///< After it was taken.
    std::optional<double> read_ms;
  };

  void Count(const LogLine& line);
  void OnPlaced(const LogLine& line);
  void OnEnd(const LogLine& line, std::uint64_t RequestTally::*outcome);
  static void AddTimes(const Open& open, const LogLine& line,
                       RequestTally* tally);

  std::map<std::string, Open> open_;  ///< By process and request.
  std::map<std::string, RequestTally> by_route_;
  std::map<std::int64_t, RequestTally> by_second_;
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
