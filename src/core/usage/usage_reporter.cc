#include "core/usage/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

WallMicros ToMicros(Duration length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

std::uint64_t Total(const WindowCounts& counts) {
  std::uint64_t total = 0;
  for (const auto& [account, n] : counts.requests) {
    total += n;
  }
  return total;
}

}  // namespace

std::string_view ReportOutcomeName(ReportOutcome outcome) {
  switch (outcome) {
    case ReportOutcome::kDelivered:
      return "delivered";
    case ReportOutcome::kRefused:
      return "refused";
    case ReportOutcome::kUnknown:
      break;
  }
  return "unknown";
}

UsageReporter::UsageReporter(const Options& options)
    : options_(options), collector_(options_.collector) {}

void UsageReporter::Reset() {
  in_flight_.reset();
  read_ = false;
  finalized_ = {};
  version_ = 0;
  done_.clear();
  listed_at_.reset();
  searched_window_.reset();
  finalizing_report_.reset();
  next_step_at_ = TimePoint{};
}

bool UsageReporter::IsDue(UsageWindow window, WallMicros calendar,
                          Duration after) const {
  return calendar >= StartOf(window + 1, options_.window) + ToMicros(after);
}

std::optional<UsageReporter::Step> UsageReporter::Tick(
    std::optional<FencingNumber> number, WallMicros calendar, TimePoint now) {
  if (number != fencing_number_) {
    // Another holder may have finalized reports in the meantime.
    Reset();
    fencing_number_ = number;
  }
  if (!fencing_number_ || in_flight_ || now < next_step_at_) {
    return std::nullopt;
  }
  if (auto action = NextAction(calendar, now)) {
    in_flight_ = Step{++last_ticket_, std::move(*action)};
  }
  return in_flight_;
}

std::optional<UsageReporter::Action> UsageReporter::NextAction(
    WallMicros calendar, TimePoint now) {
  if (!read_) {
    return ReadFinalized{};
  }
  if (auto send = SendFinalized(calendar)) {
    return send;
  }
  return FinalizeNextWindow(calendar, now);
}

template <typename T>
const T* UsageReporter::ActionInFlight(std::uint64_t ticket) const {
  const bool known = in_flight_ && in_flight_->ticket == ticket;
  return known ? std::get_if<T>(&in_flight_->action) : nullptr;
}

std::optional<UsageReporter::Action> UsageReporter::SendFinalized(
    WallMicros calendar) {
  for (const WindowCounts& it : finalized_.windows) {
    if (done_.contains(it.window)) {
      continue;
    }
    if (IsDue(it.window, calendar,
              options_.due_after + options_.abandon_after)) {
      done_.insert(it.window);
      abandoned_.push_back(it.window);
      continue;
    }
    return Send{it, *fencing_number_};
  }
  return std::nullopt;
}

std::optional<UsageWindow> UsageReporter::NextWindow() const {
  if (!finalized_.windows.empty()) {
    return finalized_.windows.back().window + 1;
  }
  return collector_.first();
}

std::optional<UsageReporter::Action> UsageReporter::FinalizeNextWindow(
    WallMicros calendar, TimePoint now) {
  const std::optional<UsageWindow> next = NextWindow();
  // Before the very first report, the records determine the first window. They
  // are listed as for the newest window that can be collected.
  const UsageWindow collected =
      WindowAt(calendar - ToMicros(options_.collect_after), options_.window) -
      1;
  if (!next && searched_window_ == collected) {
    return std::nullopt;
  }
  const UsageWindow window = next.value_or(collected);
  if (!IsDue(window, calendar, options_.collect_after)) {
    return std::nullopt;
  }
  const WallMicros needed =
      StartOf(window + 1, options_.window) + ToMicros(options_.collect_after);
  const bool listed = listed_at_ && *listed_at_ >= needed;
  if (!listed) {
    list_requested_at_ = calendar;
    return ListEntries{};
  }
  if (!next) {
    searched_window_ = collected;  // No requests have been counted yet.
    return std::nullopt;
  }
  const bool complete = collector_.IsComplete(window);
  if (!complete &&
      !IsDue(window, calendar, options_.due_after - options_.due_margin)) {
    next_step_at_ = now + options_.retry_interval;
    listed_at_.reset();
    return std::nullopt;
  }
  finalizing_report_ = FinalizedReport{window, complete};
  return WriteFinalized{WithNextWindow(window), version_};
}

FinalizedUsage UsageReporter::WithNextWindow(UsageWindow window) const {
  FinalizedUsage next;
  for (const WindowCounts& it : finalized_.windows) {
    // The list must have no gaps, so all windows after a kept one are kept.
    if (!next.windows.empty() || !done_.contains(it.window)) {
      next.windows.push_back(it);
    }
  }
  next.windows.push_back(collector_.Sum(window));
  return next;
}

void UsageReporter::OnFinalizedRead(
    std::uint64_t ticket, const Result<std::optional<FinalizedView>>& answer,
    TimePoint now) {
  if (!ActionInFlight<ReadFinalized>(ticket)) {
    return;
  }
  in_flight_.reset();
  if (!IsOk(answer)) {
    next_step_at_ = now + options_.retry_interval;
    return;
  }
  const std::optional<FinalizedView>& view = ValueOf(answer);
  finalized_ = view ? view->value : FinalizedUsage{};
  version_ = view ? view->version : 0;
  read_ = true;
}

void UsageReporter::OnEntriesListed(
    std::uint64_t ticket, const Result<std::vector<EntryUsage>>& answer,
    TimePoint now) {
  if (!ActionInFlight<ListEntries>(ticket)) {
    return;
  }
  in_flight_.reset();
  if (!IsOk(answer)) {
    next_step_at_ = now + options_.retry_interval;
    return;
  }
  collector_.OnListed(ValueOf(answer));
  listed_at_ = list_requested_at_;
  UpdateLateRequests();
}

void UsageReporter::UpdateLateRequests() {
  if (finalized_.windows.empty()) {
    return;
  }
  const WindowCounts& last_report = finalized_.windows.back();
  const std::uint64_t known = Total(collector_.Sum(last_report.window));
  const std::uint64_t reported_total = Total(last_report);
  current_late_requests_ =
      std::max(current_late_requests_,
               known > reported_total ? known - reported_total : 0);
}

void UsageReporter::OnFinalizedWritten(std::uint64_t ticket,
                                       const Result<std::uint64_t>& answer,
                                       TimePoint now) {
  const auto* write = ActionInFlight<WriteFinalized>(ticket);
  if (!write) {
    return;
  }
  if (IsOk(answer)) {
    finalized_ = write->value;
    version_ = ValueOf(answer);
    finalized_report_ = finalizing_report_;
    total_late_requests_ += std::exchange(current_late_requests_, 0);
  } else {
    // The write may have taken effect or may do so later. The reports are read
    // again, and a later conditional write fails if this one takes effect
    // first.
    read_ = false;
    next_step_at_ = now + options_.retry_interval;
  }
  in_flight_.reset();
}

void UsageReporter::OnReported(std::uint64_t ticket, ReportOutcome outcome,
                               TimePoint now) {
  const auto* send = ActionInFlight<Send>(ticket);
  if (!send) {
    return;
  }
  if (outcome == ReportOutcome::kUnknown) {
    next_step_at_ = now + options_.retry_interval;
  } else {
    done_.insert(send->report.window);
    if (outcome == ReportOutcome::kRefused) {
      abandoned_.push_back(send->report.window);
    }
  }
  in_flight_.reset();
}

std::optional<UsageReporter::FinalizedReport>
UsageReporter::TakeFinalizedReport() {
  return std::exchange(finalized_report_, std::nullopt);
}

std::vector<UsageWindow> UsageReporter::TakeAbandoned() {
  return std::exchange(abandoned_, {});
}

std::uint64_t UsageReporter::TakeLateRequests() {
  return std::exchange(total_late_requests_, 0);
}

}  // namespace indigolead
