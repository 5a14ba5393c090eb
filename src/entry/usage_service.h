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
#include "entry/single_writer_object.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/object_store.h"
#include "target/fetch_answer.h"
#include "target/target_client.h"

namespace indigolead {

/// Encodes usage reports and decodes the answers, as `TargetDialect` does for
/// requests.
struct UsageDialect {
  std::function<TargetRequest(const WindowCounts&, const std::string& holder,
                              FencingNumber)>
      report;
  std::function<ReportOutcome(const TargetAnswer&)> read_outcome;
};

/// Counts the requests of this entry, writes the counts to the store, and
/// reports those of all entries while this one holds the control lease.
///
/// Counts are written in the middle and shortly after the end of each window,
/// under a key of this process alone, so that a successor of the same name does
/// not overwrite them. A killed process loses what it counted since its last
/// write, which is half a window at most.
///
/// Runs on the thread of its store.
class UsageService {
 public:
  struct Options {
    std::string instance;
    Incarnation incarnation;
    std::string entries_prefix;  ///< Of entries' records, with the final slash.
    std::string finalized_key;   ///< Key of the finalized reports.
    UsageMeter::Options meter;
    UsageReporter::Options reporter;
    /// A request is counted when its answer arrives, up to this long after it
    /// began, so counts are complete only up to this long ago.
    Duration answer_time = std::chrono::milliseconds(300);
    /// Time after a window's end over which entries spread their writes.
    Duration write_spread = std::chrono::seconds(1);
    Duration retry_interval = std::chrono::seconds(1);
    /// A record is deleted when its counts end this long ago, since none of
    /// them is reported any more.
    Duration delete_after = std::chrono::minutes(15);
    Duration call_deadline = std::chrono::milliseconds(1500);
    std::size_t max_answer_bytes = 64U << 10;
  };
  struct Hooks {
    /// Returns the fencing number to act under now, if there is authority.
    std::function<std::optional<FencingNumber>()> authority;
    /// Returns a random number in [0, 1), which spreads the writes of many
    /// entries.
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

  /// Drives the timers; must be called several times a second.
  void Tick();

  /// Writes the remaining counts as this process's last record.
  void Close();
  /// Returns true once that write has succeeded or failed.
  bool closed() const { return closed_; }

 private:
  bool WriteIsDue(WallMicros calendar, TimePoint now) const;
  void Write(WallMicros calendar, bool ended);
  void OnWritten(std::uint64_t request_count, WallMicros counted_until,
                 bool ended, bool done);
  void RunReporter(WallMicros calendar);
  void ExecuteStep(const UsageReporter::Step& step);
  void ReadFinalized(std::uint64_t ticket);
  void ListEntries(std::uint64_t ticket);
  std::vector<EntryUsage> Decode(const ObjectStore::Listing& listing);
  void DeleteOld(const StoredObject& object, const EntryUsage& usage);
  void WriteFinalized(std::uint64_t ticket,
                      const UsageReporter::WriteFinalized& write);
  void Send(std::uint64_t ticket, const UsageReporter::Send& send);
  void OnSent(std::uint64_t ticket, const UsageReporter::Send& send,
              const Result<TargetAnswer>& answer);
  void ReportProgress();
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
  SingleWriterObject record_;
  Duration write_delay_;  ///< Random delay of writes after a window's end.
  WallMicros started_at_ = 0;
  std::optional<WallMicros> written_until_;
  TimePoint retry_write_at_{};
  bool writing_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::uint64_t lost_reported_ = 0;
  std::unique_ptr<TargetClient::Call> call_;
  /// Kept so that it is destroyed outside its own callback.
  std::unique_ptr<TargetClient::Call> finished_call_;
  Counter& counted_;
  Counter& reported_;
  Counter& late_;
  Counter& repeated_;
  Counter& incomplete_;
  Counter& abandoned_;
  Counter& lost_;
  /// False once this object is destroyed; store callbacks may run after that.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_USAGE_SERVICE_H_
