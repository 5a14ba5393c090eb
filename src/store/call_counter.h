#ifndef INDIGOLEAD_STORE_CALL_COUNTER_H_
#define INDIGOLEAD_STORE_CALL_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"
#include "observe/event_log.h"

namespace indigolead {

/// Counts the store calls of a process by step and kind of object, and logs the
/// counts at a fixed interval.
///
/// The store's rate metrics cover the whole fleet and each call is billed;
/// without these counts the source of excess calls could not be identified.
class CallCounter {
 public:
  /// Long enough for a record to hold meaningful counts, and short enough for
  /// at least one record in each phase of an outage.
  static constexpr Duration kInterval = std::chrono::seconds(10);

  explicit CallCounter(EventLog log) : log_(std::move(log)) {}

  /// Counts a call of `step`, as named in errors ("store.get"), on objects of
  /// `kind`.
  void Add(const std::string& step, const std::string& kind);

  /// Logs and resets the counts if the interval is over. Must be called several
  /// times a second.
  void Tick(TimePoint now);

 private:
  EventLog log_;
  std::map<std::string, std::uint64_t> counts_;  ///< By "STEP.KIND".
  TimePoint interval_start_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_CALL_COUNTER_H_
