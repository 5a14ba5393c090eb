#ifndef INDIGOLEAD_STORE_CALL_TALLY_H_
#define INDIGOLEAD_STORE_CALL_TALLY_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"
#include "observe/event_log.h"

namespace indigolead {

/// Counts a process's calls of the store by what they asked of which objects,
/// and logs the counts at a fixed pace.
///
/// The store's rates are the fleet's, and each call is paid for; without this a
/// fleet that asks too much shows only as a sum, with nobody to name.
class CallTally {
 public:
  /// Long enough for one line to say something, short enough for one line to
  /// fall into each phase of an outage.
  static constexpr Duration kInterval = std::chrono::seconds(10);

  explicit CallTally(EventLog log) : log_(std::move(log)) {}

  /// Counts a call: `step` as in errors ("store.get"), and the objects' kind.
  void Add(const std::string& step, const std::string& kind);

  /// Logs what was counted if it is time. Call several times a second.
  void Tick(TimePoint now);

 private:
  EventLog log_;
  std::map<std::string, std::uint64_t> counts_;  ///< By "STEP.KIND".
  TimePoint since_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_CALL_TALLY_H_
