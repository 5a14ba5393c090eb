#ifndef INDIGOLEAD_CORE_USAGE_USAGE_REPORTER_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_REPORTER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/base/time.h"
#include "core/usage/usage_collector.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Result of sending a report.
enum class ReportOutcome {
  kDelivered,
  kRefused,  ///< Rejected permanently; a repeat would be rejected too.
  kUnknown,  ///< Rejected temporarily or no reply; repeated unchanged.
};

/// Returns the lower-case name of `outcome`.
std::string_view ReportOutcomeName(ReportOutcome outcome);

/// Finalizes and sends the usage report of each window. Used by the holder of
/// the control lease.
///
/// Sent reports cannot be read back, and two different reports for one window
/// are an error that cannot be corrected. The content of a report is therefore
/// finalized before it is sent: a conditional write stores it if nothing was
/// written since the last read, and only stored content is sent. If the holder
/// is paused or replaced in between, the next holder sends the stored report
/// unchanged.
///
/// The holder waits until all entry processes have stored their counts, but
/// leaves enough time to send the report before it is due: a killed entry
/// process stores nothing more.
///
/// Only one step is in flight at a time. Replies to steps under an earlier
/// fencing number are ignored.
class UsageReporter {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// Time from the end of a window until its report is due.
    Duration due_after = std::chrono::seconds(60);
    /// Time from the end of a window until the entry processes have stored
    /// their counts.
    Duration collect_after = std::chrono::seconds(2);
    /// Time reserved before the due time to finalize and send a report.
    Duration due_margin = std::chrono::milliseconds(2500);
    /// Time before missing counts are listed again, and before a failed step is
    /// retried.
    Duration retry_interval = std::chrono::seconds(1);
    /// An undelivered report is abandoned this long after it was due.
    Duration abandon_after = std::chrono::minutes(10);
    UsageCollector::Options collector;
  };

  /// Requests a read of the finalized reports; completed by `OnFinalizedRead`.
  struct ReadFinalized {
    friend bool operator==(const ReadFinalized&,
                           const ReadFinalized&) = default;
  };
  /// Requests the records of all entry processes; completed by
  /// `OnEntriesListed`.
  struct ListEntries {
    friend bool operator==(const ListEntries&, const ListEntries&) = default;
  };
  /// Requests a write of `value` if the object has the version `expected`;
  /// completed by `OnFinalizedWritten`.
  struct WriteFinalized {
    FinalizedUsage value;
    std::uint64_t expected = 0;
    friend bool operator==(const WriteFinalized&,
                           const WriteFinalized&) = default;
  };
  /// Requests that the report be sent under fencing number `number`; completed
  /// by `OnReported`.
  struct Send {
    WindowCounts report;
    FencingNumber number = 0;
    friend bool operator==(const Send&, const Send&) = default;
  };
  using Action = std::variant<ReadFinalized, ListEntries, WriteFinalized, Send>;
  /// An action with the ticket that identifies its reply.
  struct Step {
    std::uint64_t ticket = 0;
    Action action;
    friend bool operator==(const Step&, const Step&) = default;
  };

  /// Describes a report that was finalized.
  struct FinalizedReport {
    UsageWindow window = 0;
    bool complete = false;  ///< Has the counts of all entry processes.
    friend bool operator==(const FinalizedReport&,
                           const FinalizedReport&) = default;
  };

  explicit UsageReporter(const Options& options);

  /// Returns the next step, if any. `number` is the fencing number of the
  /// control lease, `calendar` the calendar time and `now` the boot clock.
  std::optional<Step> Tick(std::optional<FencingNumber> number,
                           WallMicros calendar, TimePoint now);

  /// Finalized reports as read from the store, with their version.
  struct FinalizedView {
    FinalizedUsage value;
    std::uint64_t version = 0;
  };
  void OnFinalizedRead(std::uint64_t ticket,
                       const Result<std::optional<FinalizedView>>& answer,
                       TimePoint now);
  void OnEntriesListed(std::uint64_t ticket,
                       const Result<std::vector<EntryUsage>>& answer,
                       TimePoint now);
  void OnFinalizedWritten(std::uint64_t ticket,
                          const Result<std::uint64_t>& answer, TimePoint now);
  void OnReported(std::uint64_t ticket, ReportOutcome outcome, TimePoint now);

  /// Returns the last report finalized under the current fencing number, unless
  /// an earlier call returned it.
  std::optional<FinalizedReport> TakeFinalizedReport();
  /// Returns the windows whose report was abandoned since the last call.
  std::vector<UsageWindow> TakeAbandoned();
  /// Returns the number of requests that arrived after the report of their
  /// window was finalized, counted since the last call. Those of the window
  /// finalized last are returned only after the next one is finalized.
  std::uint64_t TakeLateRequests();

 private:
  void Reset();
  template <typename T>
  const T* ActionInFlight(std::uint64_t ticket) const;
  void UpdateLateRequests();
  bool IsDue(UsageWindow window, WallMicros calendar, Duration after) const;
  std::optional<UsageWindow> NextWindow() const;
  std::optional<Action> SendFinalized(WallMicros calendar);
  std::optional<Action> FinalizeNextWindow(WallMicros calendar, TimePoint now);
  std::optional<Action> NextAction(WallMicros calendar, TimePoint now);
  FinalizedUsage WithNextWindow(UsageWindow window) const;

  Options options_;
  UsageCollector collector_;
  std::optional<FencingNumber> fencing_number_;
  std::optional<Step> in_flight_;
  std::uint64_t last_ticket_ = 0;
  TimePoint next_step_at_{};
  bool read_ = false;  ///< `finalized_` has been read from the store.
  FinalizedUsage finalized_;
  std::uint64_t version_ = 0;
  /// Windows of `finalized_` that need not be sent again.
  std::set<UsageWindow> done_;
  /// Calendar time at which the last listed records were requested.
  std::optional<WallMicros> listed_at_;
  WallMicros list_requested_at_ = 0;
  /// Before the very first report: the window for which the records were last
  /// listed to find the first window with counts.
  std::optional<UsageWindow> searched_window_;
  /// Late requests of the window that was finalized last;
  /// `total_late_requests_` holds those of earlier windows until
  /// `TakeLateRequests`.
  std::uint64_t current_late_requests_ = 0;
  std::uint64_t total_late_requests_ = 0;
  std::optional<FinalizedReport> finalizing_report_;
  std::optional<FinalizedReport> finalized_report_;
  std::vector<UsageWindow> abandoned_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_REPORTER_H_
