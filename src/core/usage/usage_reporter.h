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

/// What became of a report that was sent.
enum class ReportOutcome {
  kDelivered,
  kRefused,  ///< Not taken, and a repeat would not be either.
  kUnknown,  ///< Not taken, or no answer: it is repeated as it was.
};

/// Returns the lower-case name of `outcome`.
std::string_view ReportOutcomeName(ReportOutcome outcome);

/// Decides when the usage of a window is settled and told, for the one holder
/// of the control lease.
///
/// Nobody can read back what was told, and two contents for one window are an
/// error that cannot be mended. So a report is settled before it is sent: its
/// content is written to the store on the condition that nobody has written
/// there since it was read, and only what is known to stand there is sent. A
/// holder that was paused or replaced between the two leaves a settled report,
/// which the next one repeats as it is.
///
/// The holder waits for all entries to have told what they counted, but not
/// longer than leaves time to send the report before it is due: an entry that
/// was killed tells nothing more.
///
/// Every step is answered once before the next one is asked for. Answers to
/// steps of an earlier authority are ignored.
class UsageReporter {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// A report is due so long after its window's end.
    Duration due_after = std::chrono::seconds(60);
    /// Entries have written what they counted so long after a window's end.
    Duration collect_after = std::chrono::seconds(2);
    /// Time before a report is due that is kept for settling and sending it.
    Duration due_margin = std::chrono::milliseconds(2500);
    /// Between two looks for entries that have not told, and two attempts.
    Duration retry_interval = std::chrono::seconds(1);
    /// A report that could not be delivered for so long after it was due is
    /// given up.
    Duration give_up_after = std::chrono::minutes(10);
    UsageCollector::Options collector;
  };

  /// Read the settled reports; answer with `OnFixedRead`.
  struct ReadFixed {
    friend bool operator==(const ReadFixed&, const ReadFixed&) = default;
  };
  /// Read the records of all entries; answer with `OnEntriesListed`.
  struct ListEntries {
    friend bool operator==(const ListEntries&, const ListEntries&) = default;
  };
  /// Write `value` if the object's version is `expected`; answer with
  /// `OnFixedWritten`.
  struct WriteFixed {
    FixedUsage value;
    std::uint64_t expected = 0;
    friend bool operator==(const WriteFixed&, const WriteFixed&) = default;
  };
  /// Send the report under `number`; answer with `OnReported`.
  struct Send {
    WindowCounts report;
    FencingNumber number = 0;
    friend bool operator==(const Send&, const Send&) = default;
  };
  using Action = std::variant<ReadFixed, ListEntries, WriteFixed, Send>;
  /// One action, with the ticket by which its answer is known.
  struct Step {
    std::uint64_t ticket = 0;
    Action action;
    friend bool operator==(const Step&, const Step&) = default;
  };

  /// Says how a window's report ended.
  struct Settled {
    UsageWindow window = 0;
    bool whole = false;  ///< All entries had told what they counted.
    friend bool operator==(const Settled&, const Settled&) = default;
  };

  explicit UsageReporter(const Options& options);

  /// Returns what to do now, if anything. `number` is the authority to act
  /// under, `calendar` the true time and `now` this machine's boot clock.
  std::optional<Step> Tick(std::optional<FencingNumber> number,
                           WallMicros calendar, TimePoint now);

  /// The settled reports were read: their version with them, or nothing.
  struct FixedView {
    FixedUsage value;
    std::uint64_t version = 0;
  };
  void OnFixedRead(std::uint64_t ticket,
                   const Result<std::optional<FixedView>>& answer,
                   TimePoint now);
  void OnEntriesListed(std::uint64_t ticket,
                       const Result<std::vector<EntryUsage>>& answer,
                       TimePoint now);
  void OnFixedWritten(std::uint64_t ticket, const Result<std::uint64_t>& answer,
                      TimePoint now);
  void OnReported(std::uint64_t ticket, ReportOutcome outcome, TimePoint now);

  /// Returns the report settled last under this authority, if it was not asked
  /// for before.
  std::optional<Settled> TakeSettled();
  /// Returns the reports given up since the last call.
  std::vector<UsageWindow> TakeGivenUp();
  /// Returns the requests that entries told of after their window's report was
  /// settled, since the last call.
  std::uint64_t TakeLate();

 private:
  void Forget();
  template <typename T>
  const T* Answered(std::uint64_t ticket) const;
  void NoteLate();
  bool IsDue(UsageWindow window, WallMicros calendar, Duration after) const;
  std::optional<UsageWindow> NextWindow() const;
  std::optional<Action> SendSettled(WallMicros calendar);
  std::optional<Action> Settle(WallMicros calendar, TimePoint now);
  std::optional<Action> Next(WallMicros calendar, TimePoint now);
  FixedUsage WithNext(UsageWindow window) const;

  Options options_;
  UsageCollector collector_;
  std::optional<FencingNumber> number_;
  std::optional<Step> in_flight_;
  std::uint64_t last_ticket_ = 0;
  TimePoint next_at_{};
  bool read_ = false;  ///< `fixed_` is what stands in the store.
  FixedUsage fixed_;
  std::uint64_t version_ = 0;
  /// Windows of `fixed_` that need not be sent any more.
  std::set<UsageWindow> done_;
  /// When the records last listed were asked for.
  std::optional<WallMicros> listed_at_;
  WallMicros asked_at_ = 0;
  /// Before the first report of all: the window for which the records were
  /// looked at, to see where to begin.
  std::optional<UsageWindow> looked_at_;
  /// Of the window settled last: requests told too late.
  std::uint64_t late_ = 0;
  std::uint64_t late_told_ = 0;
  std::optional<Settled> settling_;
  std::optional<Settled> settled_;
  std::vector<UsageWindow> given_up_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_REPORTER_H_
