#ifndef INDIGOLEAD_ENTRY_STRAY_ANSWERS_H_
#define INDIGOLEAD_ENTRY_STRAY_ANSWERS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "target/target_client.h"

namespace indigolead {

/// Returns the reason in the words of log lines and metrics.
std::string_view NameOf(StrayAnswer reason);

/// Counts bytes of targets that were not taken for answers, by reason, and logs
/// at most one line a second.
class StrayAnswers {
 public:
  /// `metrics` must outlive this object.
  StrayAnswers(MetricsRegistry* metrics, EventLog log);

  /// Counts one stray answer of the target `instance`.
  void Add(const std::string& instance, StrayAnswer reason, TimePoint now);

 private:
  static constexpr std::size_t kReasons = 4;

  EventLog log_;
  std::array<Counter*, kReasons> counters_;
  TimePoint next_line_at_{};
  std::uint64_t unlogged_ = 0;  ///< Since the last line.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STRAY_ANSWERS_H_
