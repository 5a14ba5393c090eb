#include "core/admission/shared_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigolead {
namespace {

/// Relative difference from the limit up to which a shared value is not
/// updated.
constexpr double kSharedPrecision = 0.1;

}  // namespace

SharedRateLimits::SharedRateLimits(const LimitShare::Options& options,
                                   RandomSource random)
    : shares_(options), random_(std::move(random)) {}

void SharedRateLimits::OnEntries(EntryView view, TimePoint now) {
  view_ = std::move(view);
  standing_ = shares_.StandingOf(view_, now);
  SetShares(now);
}

void SharedRateLimits::Tick(TimePoint now) {
  const auto before = standing_;
  standing_ = shares_.StandingOf(view_, now);
  if (standing_ != before) {
    SetShares(now);
  }
}

std::optional<LimitChange> SharedRateLimits::OnAnswer(const std::string& target,
                                                      const LimitNotice& notice,
                                                      TimePoint now) {
  const auto change = advertised_.OnAnswer(target, notice, now);
  if (change) {
    ApplyChange(target, *change, now);
  }
  return change;
}

std::optional<LimitChange> SharedRateLimits::OnShared(
    const std::string& target, std::optional<double> limit, TimePoint now) {
  const auto it = shared_.find(target);
  const auto before = it == shared_.end() ? std::nullopt : it->second.limit;
  if (limit == before) {
    return std::nullopt;
  }
  shared_[target].limit = limit;
  const auto change = advertised_.OnShared(target, limit, now);
  if (change) {
    ApplyChange(target, *change, now);
  }
  return change;
}

bool SharedRateLimits::ShouldShare(const std::string& target, TimePoint now) {
  const std::optional<double> in_force = advertised_.Find(target);
  const auto it = shared_.find(target);
  const auto announced = it == shared_.end() ? std::nullopt : it->second.limit;
  const bool up_to_date =
      in_force && announced
          ? std::abs(*in_force - *announced) <= kSharedPrecision * *in_force
          : in_force.has_value() == announced.has_value();
  if (up_to_date) {
    return false;
  }
  Shared& shared = shared_[target];
  if (shared.shared_at && now - *shared.shared_at < kShareInterval) {
    return false;
  }
  shared.shared_at = now;
  return true;
}

void SharedRateLimits::ApplyChange(const std::string& target,
                                   const LimitChange& change, TimePoint now) {
  if (change.after) {
    standing_ = shares_.StandingOf(view_, now);
    SetShare(target, &pacers_[target], now);
  } else {
    pacers_.erase(target);
  }
}

void SharedRateLimits::SetShares(TimePoint now) {
  for (auto& [target, pacer] : pacers_) {
    SetShare(target, &pacer, now);
  }
}

void SharedRateLimits::SetShare(const std::string& target, SendPacer* pacer,
                                TimePoint now) {
  const double limit = advertised_.Find(target).value_or(0);
  const RateShare share = shares_.Compute(target, limit, view_, standing_);
  pacer->SetShare(share, ToUnitInterval(random_()),
                  DueByAverage(target, share, now), now);
}

TimePoint SharedRateLimits::DueByAverage(const std::string& target,
                                         const RateShare& share,
                                         TimePoint now) const {
  const auto it = sent_.find(target);
  if (it == sent_.end()) {
    return now;
  }
  const double max_requests =
      share.per_second * std::chrono::duration<double>(kAveragingTime).count();
  const auto before_one_more =
      static_cast<std::uint64_t>(std::max(max_requests - 1, 0.0));
  return now + it->second.UntilAtMost(before_one_more, now);
}

std::optional<Duration> SharedRateLimits::WaitFor(const std::string& target,
                                                  TimePoint now) const {
  const auto it = pacers_.find(target);
  return it == pacers_.end() ? Duration{0} : it->second.WaitFor(now);
}

void SharedRateLimits::OnSent(const std::string& target, TimePoint now) {
  sent_.try_emplace(target, kAveragingTime).first->second.Add(now);
  if (const auto it = pacers_.find(target); it != pacers_.end()) {
    it->second.OnSent(now);
  }
}

void SharedRateLimits::Forget(const std::string& target) {
  advertised_.Forget(target);
  shared_.erase(target);
  sent_.erase(target);
  pacers_.erase(target);
}

RateShare SharedRateLimits::ShareOf(const std::string& target) const {
  const auto it = pacers_.find(target);
  return it == pacers_.end() ? RateShare{} : it->second.share();
}

}  // namespace indigolead
