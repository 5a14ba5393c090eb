#ifndef INDIGOLEAD_ENTRY_ACCOUNT_COUNTERS_H_
#define INDIGOLEAD_ENTRY_ACCOUNT_COUNTERS_H_

#include <cstddef>
#include <map>
#include <string>

#include "observe/metrics.h"

namespace indigolead {

/// Counts finished requests by client account.
///
/// Accounts come from the operator's configuration. Each has its own counters
/// up to a bound; accounts seen after that share one pair of counters.
class AccountCounters {
 public:
  /// `metrics` must outlive this object.
  explicit AccountCounters(MetricsRegistry* metrics,
                           std::size_t max_accounts = 1000);

  void OnAnswered(const std::string& account) {
    CountersFor(account).answered.Add();
  }
  /// The request was refused or ended without a complete answer.
  void OnFailed(const std::string& account) {
    CountersFor(account).failed.Add();
  }

 private:
  struct Counters {
    Counter& answered;
    Counter& failed;
  };

  Counters& CountersFor(const std::string& account);
  Counters MakeCounters(const std::string& label);

  MetricsRegistry* metrics_;
  std::size_t max_accounts_;
  std::map<std::string, Counters> counters_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ACCOUNT_COUNTERS_H_
