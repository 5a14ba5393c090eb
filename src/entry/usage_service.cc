#include "entry/usage_service.h"

#include <algorithm>
#include <utility>

#include "core/usage/usage_codec.h"
#include "entry/event_fields.h"
#include "entry/usage_events.h"

namespace indigolead {
namespace {

WallMicros ToMicros(Duration length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

std::string RecordKey(const UsageService::Options& options) {
  return options.entries_prefix + options.instance + "." +
         ToHex(options.incarnation.value);
}

}  // namespace

UsageService::UsageService(ObjectStore* store, TargetClient* receiver,
                           Options options, UsageDialect dialect, Hooks hooks,
                           Clock clock, WallClock wall_clock, EventLog log,
                           MetricsRegistry* metrics)
    : store_(store),
      receiver_(receiver),
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)),
      log_(std::move(log)),
      meter_(options_.meter),
      reporter_(options_.reporter),
      record_(store, RecordKey(options_), Call(), /*version=*/0),
      write_delay_(std::chrono::duration_cast<Duration>(options_.write_spread *
                                                        hooks_.jitter())),
      counted_(metrics->AddCounter("indigolead_usage_requests_counted_total",
                                   "Requests that began to run, by entry.")),
      reported_(metrics->AddCounter("indigolead_usage_windows_reported_total",
                                    "Windows whose usage was delivered.")),
      late_(metrics->AddCounter("indigolead_usage_windows_late_total",
                                "Windows delivered after they were due.")),
      repeated_(metrics->AddCounter(
          "indigolead_usage_reports_repeated_total",
          "Reports sent again, because it was not known what became of them.")),
      incomplete_(metrics->AddCounter(
          "indigolead_usage_windows_incomplete_total",
          "Windows settled before all entries had told what they counted.")),
      abandoned_(metrics->AddCounter(
          "indigolead_usage_windows_given_up_total",
          "Windows whose report was refused or could not be delivered.")),
      lost_(metrics->AddCounter(
          "indigolead_usage_requests_lost_total",
          "Requests counted and never reported: dropped, or told too late.")),
      alive_(std::make_shared<bool>(true)) {
  calendar_.Observe(clock_(), wall_clock_());
  started_at_ = *calendar_.At(clock_());
}

UsageService::~UsageService() { *alive_ = false; }

CallOptions UsageService::Call() const {
  return {CallPriority::kStatus, options_.call_deadline};
}

void UsageService::Count(const std::string& account, TimePoint at) {
  counted_.Add();
  meter_.Count(account, *calendar_.At(at));
}

void UsageService::Tick() {
  const TimePoint now = clock_();
  calendar_.Observe(now, wall_clock_());
  finished_call_.reset();
  const WallMicros calendar = *calendar_.At(now);
  if (!writing_ && !closing_ && WriteIsDue(calendar, now)) {
    Write(calendar, /*ended=*/false);
  }
  if (!closing_) {
    RunReporter(calendar);
  }
  ReportProgress();
}

bool UsageService::WriteIsDue(WallMicros calendar, TimePoint now) const {
  if (now < retry_write_at_) {
    return false;
  }
  if (!written_until_) {
    return true;  // The holder may be waiting for this process's counts.
  }
  if (meter_.request_count() == 0) {
    // No recent counts; the holder does not wait for a record without counts.
    return false;
  }
  const Duration window = options_.meter.window;
  const WallMicros delay = ToMicros(write_delay_);
  const WallMicros complete_until =
      calendar - ToMicros(options_.answer_time) - delay;
  const WallMicros begin = StartOf(WindowAt(complete_until, window), window);
  const WallMicros middle = begin + ToMicros(window) / 2;
  if (*written_until_ < begin) {
    return true;
  }
  // Nothing waits for the write in the middle of a window; it limits what is
  // lost when the process is killed.
  return complete_until >= middle && *written_until_ < middle &&
         meter_.has_unwritten_counts();
}

void UsageService::Write(WallMicros calendar, bool ended) {
  const WallMicros until =
      ended ? calendar : calendar - ToMicros(options_.answer_time);
  const EntryUsage usage{
      options_.instance, options_.incarnation, started_at_, until, ended,
      meter_.windows()};
  writing_ = true;
  record_.Write(EncodeEntryUsage(usage),
                [this, alive = alive_, request_count = meter_.request_count(),
                 until, ended](bool done) {
                  if (*alive) {
                    OnWritten(request_count, until, ended, done);
                  }
                });
}

void UsageService::OnWritten(std::uint64_t request_count,
                             WallMicros counted_until, bool ended, bool done) {
  writing_ = false;
  closed_ = closed_ || ended;
  if (!done) {
    log_(kUsageCallFailed, {{"step", "write"}, {"key", record_.key()}});
    retry_write_at_ = clock_() + options_.retry_interval;
  } else {
    written_until_ = std::max(written_until_.value_or(0), counted_until);
    meter_.OnWritten(request_count, counted_until, clock_());
    log_(kUsageWritten, {{"counted", std::to_string(request_count)},
                         {"until_us", std::to_string(counted_until)},
                         {"ended", ended ? "yes" : "no"}});
  }
  if (closing_ && !closed_) {
    Write(*calendar_.At(clock_()), /*ended=*/true);
  }
}

void UsageService::Close() {
  if (std::exchange(closing_, true)) {
    return;
  }
  if (!writing_) {
    Write(*calendar_.At(clock_()), /*ended=*/true);
  }
}

void UsageService::RunReporter(WallMicros calendar) {
  // A step whose answer arrives at once is followed by the next at once.
  if (const auto step =
          reporter_.Tick(hooks_.authority(), calendar, clock_())) {
    ExecuteStep(*step);
  }
}

void UsageService::ExecuteStep(const UsageReporter::Step& step) {
  if (std::holds_alternative<UsageReporter::ReadFinalized>(step.action)) {
    ReadFinalized(step.ticket);
  } else if (std::holds_alternative<UsageReporter::ListEntries>(step.action)) {
    ListEntries(step.ticket);
  } else if (const auto* write =
                 std::get_if<UsageReporter::WriteFinalized>(&step.action)) {
    WriteFinalized(step.ticket, *write);
  } else if (const auto* send =
                 std::get_if<UsageReporter::Send>(&step.action)) {
    Send(step.ticket, *send);
  }
}

void UsageService::ReadFinalized(std::uint64_t ticket) {
  store_->Get(
      options_.finalized_key, Call(),
      [this, alive = alive_,
       ticket](const Result<std::optional<StoredObject>>& result) {
        if (!*alive) {
          return;
        }
        using View = std::optional<UsageReporter::FinalizedView>;
        Result<View> view = View();
        if (!IsOk(result)) {
          view = ErrorOf(result);
        } else if (const auto& object = ValueOf(result)) {
          auto finalized = DecodeFinalizedUsage(object->value);
          if (IsOk(finalized)) {
            view = View({ValueOf(std::move(finalized)), object->version});
          } else {
            view = ErrorOf(finalized);
          }
        }
        if (!IsOk(view)) {
          log_(kUsageCallFailed, {{"step", "read settled reports"},
                                  {"error", ToString(ErrorOf(view))}});
        }
        reporter_.OnFinalizedRead(ticket, view, clock_());
        RunReporter(*calendar_.At(clock_()));
      });
}

void UsageService::ListEntries(std::uint64_t ticket) {
  store_->List(
      options_.entries_prefix, Call(),
      [this, alive = alive_,
       ticket](const Result<ObjectStore::Listing>& result) {
        if (!*alive) {
          return;
        }
        if (IsOk(result)) {
          reporter_.OnEntriesListed(ticket, Decode(ValueOf(result)), clock_());
        } else {
          log_(kUsageCallFailed, {{"step", "list records"},
                                  {"error", ToString(ErrorOf(result))}});
          reporter_.OnEntriesListed(ticket, ErrorOf(result), clock_());
        }
        RunReporter(*calendar_.At(clock_()));
      });
}

std::vector<EntryUsage> UsageService::Decode(
    const ObjectStore::Listing& listing) {
  std::vector<EntryUsage> entries;
  entries.reserve(listing.objects.size());
  for (const StoredObject& it : listing.objects) {
    auto usage = DecodeEntryUsage(it.value);
    if (!IsOk(usage)) {
      log_(kUsageUnreadable,
           {{"key", it.key}, {"error", ToString(ErrorOf(usage))}});
      continue;
    }
    DeleteOld(it, ValueOf(usage));
    entries.push_back(ValueOf(std::move(usage)));
  }
  return entries;
}

// Store objects do not expire and each process start leaves a record, so
// without this the list would grow with every restart.
void UsageService::DeleteOld(const StoredObject& object,
                             const EntryUsage& usage) {
  const WallMicros age = *calendar_.At(clock_()) - usage.counted_until;
  if (age < ToMicros(options_.delete_after)) {
    return;
  }
  store_->Delete(object.key, object.version, Call(),
                 [log = log_, key = object.key](const Result<Unit>& result) {
                   if (!IsOk(result)) {
                     log(kUsageCallFailed,
                         {{"step", "delete an old record"},
                          {"key", key},
                          {"error", ToString(ErrorOf(result))}});
                   }
                 });
}

void UsageService::WriteFinalized(std::uint64_t ticket,
                                  const UsageReporter::WriteFinalized& write) {
  store_->Put(
      options_.finalized_key, EncodeFinalizedUsage(write.value), write.expected,
      Call(),
      [this, alive = alive_, ticket](const Result<std::uint64_t>& result) {
        if (!*alive) {
          return;
        }
        if (!IsOk(result)) {
          log_(kUsageCallFailed, {{"step", "settle a report"},
                                  {"error", ToString(ErrorOf(result))}});
        }
        reporter_.OnFinalizedWritten(ticket, result, clock_());
        RunReporter(*calendar_.At(clock_()));
      });
}

void UsageService::Send(std::uint64_t ticket, const UsageReporter::Send& send) {
  call_ = FetchAnswer(
      receiver_, dialect_.report(send.report, options_.instance, send.number),
      options_.max_answer_bytes,
      [this, ticket, send](const Result<TargetAnswer>& answer) {
        OnSent(ticket, send, answer);
      },
      // Checked at the last moment before anything is sent: if the
      // process is suspended, or connecting takes long, another entry may hold
      // the lease and have reported under a higher number. The receiver would
      // then see numbers fall.
      [this, number = send.number] { return hooks_.authority() == number; });
}

void UsageService::OnSent(std::uint64_t ticket, const UsageReporter::Send& send,
                          const Result<TargetAnswer>& answer) {
  finished_call_ = std::move(call_);
  const ReportOutcome outcome = IsOk(answer)
                                    ? dialect_.read_outcome(ValueOf(answer))
                                    : ReportOutcome::kUnknown;
  const WallMicros calendar = *calendar_.At(clock_());
  const WallMicros after =
      calendar - StartOf(send.report.window + 1, options_.meter.window);
  const bool late = after > ToMicros(options_.reporter.due_after);
  const bool delivered = outcome == ReportOutcome::kDelivered;
  reported_.Add(delivered ? 1 : 0);
  late_.Add(delivered && late ? 1 : 0);
  repeated_.Add(outcome == ReportOutcome::kUnknown ? 1 : 0);
  log_(kUsageReported,
       {{"window", std::to_string(send.report.window)},
        {"accounts", std::to_string(send.report.requests.size())},
        {"number", std::to_string(send.number)},
        {"after_ms", std::to_string(after / 1000)},
        {"outcome", std::string(ReportOutcomeName(outcome))},
        {"detail", IsOk(answer)
                       ? "status " + std::to_string(ValueOf(answer).status)
                       : ToString(ErrorOf(answer))}});
  reporter_.OnReported(ticket, outcome, clock_());
}

void UsageService::ReportProgress() {
  if (const auto finalized_report = reporter_.TakeFinalizedReport()) {
    incomplete_.Add(finalized_report->complete ? 0 : 1);
    log_(kUsageSettled, {{"window", std::to_string(finalized_report->window)},
                         {"whole", finalized_report->complete ? "yes" : "no"}});
  }
  for (const UsageWindow it : reporter_.TakeAbandoned()) {
    abandoned_.Add();
    log_(kUsageGivenUp, {{"window", std::to_string(it)}});
  }
  if (const std::uint64_t late = reporter_.TakeLateRequests(); late > 0) {
    lost_.Add(late);
    log_(kUsageLate, {{"requests", std::to_string(late)}});
  }
  if (const std::uint64_t lost = meter_.lost(); lost > lost_reported_) {
    lost_.Add(lost - lost_reported_);
    log_(kUsageLost, {{"requests", std::to_string(lost - lost_reported_)}});
    lost_reported_ = lost;
  }
}

}  // namespace indigolead
