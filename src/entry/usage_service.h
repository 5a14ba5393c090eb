#ifndef INDIGOLEAD_ENTRY_USAGE_SERVICE_H_
#define INDIGOLEAD_ENTRY_USAGE_SERVICE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/usage/steady_calendar.h"
#include "core/usage/usage_meter.h"
#include "core/usage/usage_reporter.h"
#include "entry/own_object.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/object_store.h"
#include "target/fetch_answer.h"
#include "target/target_client.h"

namespace indigolead {

/// The words of a usage report, as `TargetDialect` is those of requests.
struct UsageDialect {
  std::function<TargetRequest(const WindowCounts&, const std::string& holder,
                              FencingNumber)>
      report;
  std::function<ReportOutcome(const TargetAnswer&)> read_outcome;
};

/// Counts the requests that enter here, writes the counts to the store, and
/// reports those of all entries while this one holds the control lease.
///
/// Counts stand in the store a moment after each window's end and in its
/// middle, under a key of this process's own, so that a successor under the
/// same name does not overwrite them. A process that is killed loses what it
/// counted since its last write, half a window at most.
///
/// Lives on the thread of its store.
class UsageService {
 public:
  struct Options {
    std::string instance;
    Incarnation incarnation;
    std::string entries_prefix;  ///< Of entries' records, with the slash.
    std::string fixed_key;       ///< Of the settled reports.
    UsageMeter::Options meter;
    UsageReporter::Options reporter;
    /// A request that is counted when its answer comes has begun by so much
    /// earlier: counts are whole up to that long ago.
    Duration answer_time = std::chrono::milliseconds(300);
    /// Entries spread their writes over this time after a window's end.
    Duration write_spread = std::chrono::seconds(1);
    Duration retry_interval = std::chrono::seconds(1);
    /// A record that ends so long ago holds nothing that is still reported.
    Duration delete_after = std::chrono::minutes(15);
    Duration call_deadline = std::chrono::milliseconds(1500);
    std::size_t max_answer_bytes = 64U << 10;
  };
  struct Hooks {
    /// Returns the number to act under, as of now.
    std::function<std::optional<FencingNumber>()> authority;
    /// Returns a draw from [0, 1), which spreads the writes of many entries.
    std::function<double()> jitter;
  };

  /// `store`, `receiver`, which takes the reports, and `metrics` must outlive
  /// this object.
  UsageService(ObjectStore* store, TargetClient* receiver, Options options,
               UsageDialect dialect, Hooks hooks, Clock clock,
               WallClock wall_clock, EventLog log, MetricsRegistry* metrics);
  ~UsageService();
  UsageService(const UsageService&) = delete;
  UsageService& operator=(const UsageService&) = delete;

  /// Counts a request of `account` that began to run at `at`.
  void Count(const std::string& account, TimePoint at);

  /// Drives the timers; call several times a second.
  void Tick();

  /// Writes what is left, as the last that this process counts.
  void Close();
  /// Returns true once that stands in the store, or could not be written.
  bool closed() const { return closed_; }

 private:
  bool WriteIsDue(WallMicros calendar, TimePoint now) const;
  void Write(WallMicros calendar, bool ended);
  void OnWritten(std::uint64_t request_count, WallMicros counted_until,
                 bool ended, bool done);
  void Drive(WallMicros calendar);
  void Act(const UsageReporter::Step& step);
  void ReadFinalized(std::uint64_t ticket);
  void ListEntries(std::uint64_t ticket);
  std::vector<EntryUsage> Decode(const ObjectStore::Listing& listing);
  void DeleteOld(const StoredObject& object, const EntryUsage& usage);
  void WriteFinalized(std::uint64_t ticket,
                      const UsageReporter::WriteFinalized& write);
  void Send(std::uint64_t ticket, const UsageReporter::Send& send);
  void OnSent(std::uint64_t ticket, const UsageReporter::Send& send,
              const Result<TargetAnswer>& answer);
  void TellProgress();
  CallOptions Call() const;

  ObjectStore* store_;
  TargetClient* receiver_;
  Options options_;
  UsageDialect dialect_;
  Hooks hooks_;
  Clock clock_;
  WallClock wall_clock_;
  EventLog log_;
  SteadyCalendar calendar_;
  UsageMeter meter_;
  UsageReporter reporter_;
  OwnObject record_;
  Duration write_delay_;  ///< This entry's draw, after a window's end.
  WallMicros started_at_ = 0;
  std::optional<WallMicros> written_until_;
  TimePoint write_again_at_{};
  bool writing_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::uint64_t lost_told_ = 0;
  std::unique_ptr<TargetClient::Call> call_;
  /// Destroyed outside its own callback.
  std::unique_ptr<TargetClient::Call> ended_call_;
  Counter& counted_;
  Counter& reported_;
  Counter& late_;
  Counter& repeated_;
  Counter& incomplete_;
  Counter& given_up_;
  Counter& lost_;
  /// Callbacks of the store may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_USAGE_SERVICE_H_
