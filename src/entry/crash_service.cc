#include "entry/crash_service.h"

#include <utility>

#include "entry/crash_report_json.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

ListWatcher::Options WatchOptionsFor(const CrashService::Options& options) {
  ListWatcher::Options watch = options.watch;
  watch.prefix = options.prefix;
  return watch;
}

}  // namespace

CrashService::CrashService(ObjectStore* store, ObjectStore* watched,
                           Options options, Hooks hooks, Clock clock,
                           RunAfter run_after, EventLog log,
                           MetricsRegistry* metrics)
    : options_(std::move(options)),
      clock_(clock),
      run_after_(run_after),
      log_(log),
      hooks_(std::move(hooks)),
      ledger_(options_.ledger),
      part_ledger_(options_.part_ledger, hooks_.jitter),
      own_object_(store, options_.prefix + options_.instance, options_.write),
      suspects_(metrics->AddGauge(
          "indigolead_crash_suspects",
          "Requests that ran in a target which crashed, and were not answered "
          "since.")),
      suspect_parts_(metrics->AddGauge(
          "indigolead_crash_suspect_parts",
          "Prompt parts that ran in enough crashes of targets to block "
          "requests, and were not answered since.")),
      crashes_(metrics->AddCounter(
          "indigolead_target_crashes_total",
          "Crashes of targets under requests of this entry.")),
      alive_(std::make_shared<bool>(true)),
      watcher_(watched, WatchOptionsFor(options_),
               {[this](const ListWatcher::State& state, std::uint64_t) {
                  OnState(state);
                },
                [](const Error&) {}, hooks_.jitter},
               std::move(clock), std::move(run_after), std::move(log)) {}

CrashService::~CrashService() { *alive_ = false; }

void CrashService::OnState(const ListWatcher::State& state) {
  const bool first = !std::exchange(listed_, true);
  std::vector<CrashReport> others;
  std::vector<PartCrashReport> other_parts;
  for (const auto& [key, object] : state) {
    const bool is_own = key == own_object_.key();
    if (is_own && !first) {
      continue;
    }
    const auto report = DecodeCrashReport(key, object.value);
    if (!IsOk(report)) {
      log_(kCrashReportUnreadable, {{"error", ToString(ErrorOf(report))}});
    } else if (is_own) {
      ledger_.RestoreOwnReport(ValueOf(report).requests, clock_());
      part_ledger_.RestoreOwnReport(ValueOf(report).parts, clock_());
    } else {
      others.push_back(ValueOf(report).requests);
      other_parts.push_back(ValueOf(report).parts);
    }
  }
  NoteReported(others, first);
  ledger_.OnReports(std::move(others), clock_());
  part_ledger_.OnReports(std::move(other_parts), clock_());
  UpdateGauges();
  Write();
}

void CrashService::NoteReported(const std::vector<CrashReport>& reports,
                                bool first) {
  std::set<TargetCrash> reported;
  for (const CrashReport& report : reports) {
    for (const CrashRecord& it : report.crashes) {
      const bool is_new = reported.insert(it.crash).second &&
                          reported_.count(it.crash) == 0 && !first;
      if (is_new && hooks_.on_reported) {
        hooks_.on_reported(it.crash);
      }
    }
  }
  reported_ = std::move(reported);
}

void CrashService::OnCrash(const TargetCrash& crash,
                           const std::vector<RunningRequest>& running) {
  crashes_.Add();
  std::vector<Fingerprint> requests;
  std::vector<PromptPartId> parts;
  for (const RunningRequest& it : running) {
    requests.push_back(it.fingerprint);
    parts.insert(parts.end(), it.parts.begin(), it.parts.end());
  }
  ledger_.OnCrash(crash, requests, clock_());
  part_ledger_.OnCrash(crash, parts, clock_());
  PublishChanges();
}

void CrashService::OnAnswered(const RunningRequest& request) {
  ClearRequest(request.fingerprint);
  ClearParts(request.parts);
}

void CrashService::OnOutlived(const RunningRequest& request) {
  ClearParts(request.parts);
}

void CrashService::ClearParts(const std::vector<PromptPartId>& parts) {
  if (part_ledger_.OnAnswered(parts) && !publish_parts_at_) {
    const Duration delay = std::chrono::duration_cast<Duration>(
        hooks_.jitter() * options_.max_part_delay);
    publish_parts_at_ = clock_() + delay;
  }
}

void CrashService::ClearRequest(Fingerprint request) {
  const std::size_t counted = ledger_.CountCrashes(request);
  if (counted > 0) {
    log_(kCrashesCleared, {{"fingerprint", FingerprintText(request)},
                           {"crashes", std::to_string(counted)}});
  }
  switch (ledger_.OnAnswered(request, clock_())) {
    case CrashLedger::ReportUrgency::kNow:
      PublishChanges();
      break;
    case CrashLedger::ReportUrgency::kSoon:
      publish_at_ = publish_at_.value_or(clock_() + options_.clear_batch_delay);
      break;
    case CrashLedger::ReportUrgency::kNone:
      break;
  }
}

void CrashService::Tick() {
  const bool changed = ledger_.Tick(clock_());
  const bool parts_changed = part_ledger_.Tick(clock_());
  const bool parts_due = publish_parts_at_ && clock_() >= *publish_parts_at_;
  if (parts_due) {
    publish_parts_at_.reset();
  }
  LogReleased();
  if (changed || parts_changed || (publish_at_ && clock_() >= *publish_at_) ||
      (parts_due && part_ledger_.HasUnsharedAnswers())) {
    PublishChanges();
  }
}

std::optional<RequestBlock> CrashService::BlockOf(
    const RunningRequest& request) {
  const TimePoint now = clock_();
  if (const auto left = ledger_.BlockedFor(request.fingerprint, now)) {
    return RequestBlock{*left, std::nullopt};
  }
  const auto part =
      part_ledger_.BlockOf(request.fingerprint, request.parts, now);
  if (!part) {
    return std::nullopt;
  }
  LogBlocked(*part);
  return RequestBlock{part->left, part};
}

void CrashService::LogBlocked(const PromptPartBlock& block) {
  if (blocking_parts_.insert(block.part).second) {
    log_(kPromptPartBlocked, {{"part", PartText(block.part)},
                              {"crashes", std::to_string(block.crashes)},
                              {"left_ms", FormatMilliseconds(block.left)}});
  }
}

void CrashService::LogReleased() {
  std::erase_if(blocking_parts_, [this](PromptPartId it) {
    const bool released = part_ledger_.CountCrashes(it) == 0;
    if (released) {
      log_(kPromptPartReleased, {{"part", PartText(it)}});
    }
    return released;
  });
}

void CrashService::UpdateGauges() {
  suspects_.Set(static_cast<std::int64_t>(ledger_.suspects()));
  suspect_parts_.Set(static_cast<std::int64_t>(part_ledger_.suspects()));
}

void CrashService::PublishChanges() {
  UpdateGauges();
  unpublished_ = true;
  Write();
}

void CrashService::Write() {
  // Until the first list has been read, the stored object may hold reports of a
  // previous process of this entry, which a write would overwrite.
  if (!listed_ || !unpublished_ || std::exchange(writing_, true)) {
    return;
  }
  unpublished_ = false;
  publish_at_.reset();
  own_object_.Write(EncodeCrashReport({ledger_.own(), part_ledger_.own()}),
                    [this, alive = alive_](bool written) {
                      if (*alive) {
                        OnWritten(written);
                      }
                    });
}

void CrashService::OnWritten(bool written) {
  log_(kCrashesTold, {{"crashes", std::to_string(ledger_.own().crashes.size())},
                      {"suspects", std::to_string(ledger_.suspects())},
                      {"outcome", written ? "written" : "failed"}});
  if (written) {
    writing_ = false;
    Write();
    return;
  }
  unpublished_ = true;
  run_after_(options_.write_retry_delay, [this, alive = alive_] {
    if (*alive) {
      writing_ = false;
      Write();
    }
  });
}

}  // namespace indigolead
