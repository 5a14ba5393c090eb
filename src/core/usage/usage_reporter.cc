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

void UsageReporter::Forget() {
  in_flight_.reset();
  read_ = false;
  fixed_ = {};
  version_ = 0;
  done_.clear();
  listed_at_.reset();
  looked_at_.reset();
  settling_.reset();
  next_at_ = TimePoint{};
}

bool UsageReporter::IsDue(UsageWindow window, WallMicros calendar,
                          Duration after) const {
  return calendar >= StartOf(window + 1, options_.window) + ToMicros(after);
}

std::optional<UsageReporter::Step> UsageReporter::Tick(
    std::optional<FencingNumber> number, WallMicros calendar, TimePoint now) {
  if (number != number_) {
    // Another holder may have finalized reports in the meantime.
    Forget();
    number_ = number;
  }
  if (!number_ || in_flight_ || now < next_at_) {
    return std::nullopt;
  }
  if (auto action = Next(calendar, now)) {
    in_flight_ = Step{++last_ticket_, std::move(*action)};
  }
  return in_flight_;
}

std::optional<UsageReporter::Action> UsageReporter::Next(WallMicros calendar,
                                                         TimePoint now) {
  if (!read_) {
    return ReadFixed{};
  }
  if (auto send = SendSettled(calendar)) {
    return send;
  }
  return Settle(calendar, now);
}

template <typename T>
const T* UsageReporter::Answered(std::uint64_t ticket) const {
  const bool known = in_flight_ && in_flight_->ticket == ticket;
  return known ? std::get_if<T>(&in_flight_->action) : nullptr;
}

std::optional<UsageReporter::Action> UsageReporter::SendSettled(
    WallMicros calendar) {
  for (const WindowCounts& it : fixed_.windows) {
    if (done_.contains(it.window)) {
      continue;
    }
    if (IsDue(it.window, calendar,
              options_.due_after + options_.give_up_after)) {
      done_.insert(it.window);
      given_up_.push_back(it.window);
      continue;
    }
    return Send{it, *number_};
  }
  return std::nullopt;
}

std::optional<UsageWindow> UsageReporter::NextWindow() const {
  if (!fixed_.windows.empty()) {
    return fixed_.windows.back().window + 1;
  }
  return collector_.first();
}

std::optional<UsageReporter::Action> UsageReporter::Settle(WallMicros calendar,
                                                           TimePoint now) {
  const std::optional<UsageWindow> next = NextWindow();
  // Before the very first report, the records determine the first window. They
  // are listed as for the newest window that can be collected.
  const UsageWindow collected =
      WindowAt(calendar - ToMicros(options_.collect_after), options_.window) -
      1;
  if (!next && looked_at_ == collected) {
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
    asked_at_ = calendar;
    return ListEntries{};
  }
  if (!next) {
    looked_at_ = collected;  // No requests have been counted yet.
    return std::nullopt;
  }
  const bool whole = collector_.IsWhole(window);
  if (!whole &&
      !IsDue(window, calendar, options_.due_after - options_.due_margin)) {
    next_at_ = now + options_.retry_interval;
    listed_at_.reset();
    return std::nullopt;
  }
  settling_ = Settled{window, whole};
  return WriteFixed{WithNext(window), version_};
}

FixedUsage UsageReporter::WithNext(UsageWindow window) const {
  FixedUsage next;
  for (const WindowCounts& it : fixed_.windows) {
    // The list must have no gaps, so all windows after a kept one are kept.
    if (!next.windows.empty() || !done_.contains(it.window)) {
      next.windows.push_back(it);
    }
  }
  next.windows.push_back(collector_.Sum(window));
  return next;
}

void UsageReporter::OnFixedRead(std::uint64_t ticket,
                                const Result<std::optional<FixedView>>& answer,
                                TimePoint now) {
  if (!Answered<ReadFixed>(ticket)) {
    return;
  }
  in_flight_.reset();
  if (!IsOk(answer)) {
    next_at_ = now + options_.retry_interval;
    return;
  }
  const std::optional<FixedView>& view = ValueOf(answer);
  fixed_ = view ? view->value : FixedUsage{};
  version_ = view ? view->version : 0;
  read_ = true;
}

void UsageReporter::OnEntriesListed(
    std::uint64_t ticket, const Result<std::vector<EntryUsage>>& answer,
    TimePoint now) {
  if (!Answered<ListEntries>(ticket)) {
    return;
  }
  in_flight_.reset();
  if (!IsOk(answer)) {
    next_at_ = now + options_.retry_interval;
    return;
  }
  collector_.OnListed(ValueOf(answer));
  listed_at_ = asked_at_;
  NoteLate();
}

void UsageReporter::NoteLate() {
  if (fixed_.windows.empty()) {
    return;
  }
  const WindowCounts& settled = fixed_.windows.back();
  const std::uint64_t known = Total(collector_.Sum(settled.window));
  const std::uint64_t told = Total(settled);
  late_ = std::max(late_, known > told ? known - told : 0);
}

void UsageReporter::OnFixedWritten(std::uint64_t ticket,
                                   const Result<std::uint64_t>& answer,
                                   TimePoint now) {
  const auto* write = Answered<WriteFixed>(ticket);
  if (!write) {
    return;
  }
  if (IsOk(answer)) {
    fixed_ = write->value;
    version_ = ValueOf(answer);
    settled_ = settling_;
    late_told_ += std::exchange(late_, 0);
  } else {
    // The write may have taken effect or may do so later. The reports are read
    // again, and a later conditional write fails if this one takes effect
    // first.
    read_ = false;
    next_at_ = now + options_.retry_interval;
  }
  in_flight_.reset();
}

void UsageReporter::OnReported(std::uint64_t ticket, ReportOutcome outcome,
                               TimePoint now) {
  const auto* send = Answered<Send>(ticket);
  if (!send) {
    return;
  }
  if (outcome == ReportOutcome::kUnknown) {
    next_at_ = now + options_.retry_interval;
  } else {
    done_.insert(send->report.window);
    if (outcome == ReportOutcome::kRefused) {
      given_up_.push_back(send->report.window);
    }
  }
  in_flight_.reset();
}

std::optional<UsageReporter::Settled> UsageReporter::TakeSettled() {
  return std::exchange(settled_, std::nullopt);
}

std::vector<UsageWindow> UsageReporter::TakeGivenUp() {
  return std::exchange(given_up_, {});
}

std::uint64_t UsageReporter::TakeLate() { return std::exchange(late_told_, 0); }

}  // namespace indigolead
