#include "core/placement/backlog_sender.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace indigolead {
namespace {

bool IsEmpty(const EngineQueue& queue) { return queue == EngineQueue{}; }

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

EngineKey EngineKeyOf(std::string_view instance) {
  return XXH32(instance.data(), instance.size(), 0);
}

std::optional<BacklogDigest> BacklogSender::Next(
    const std::map<EngineKey, EngineQueue>& queues, TimePoint now) {
  if (peers_ == 0) {
    return std::nullopt;
  }
  BacklogDigest digest;
  digest.incarnation = options_.incarnation;
  for (const auto& [key, queue] : queues) {
    if (!IsEmpty(queue)) {
      digest.engines.push_back({key, queue});
    }
  }
  const std::size_t n = std::min(digest.engines.size(), kMaxDigestEngines);
  const double cost = static_cast<double>(peers_) *
                      (options_.fixed_bytes +
                       options_.bytes_per_engine * static_cast<double>(n));
  EarnBytes(cost, now);
  const bool fits =
      recent_.empty() || recent_bytes_ + cost <= options_.max_bytes_per_s;
  if (bytes_ < cost || !fits || !IsDue(queues, now)) {
    return std::nullopt;
  }
  if (digest.engines.size() > n) {
    // The longest queues matter most.
    std::partial_sort(digest.engines.begin(),
                      digest.engines.begin() + static_cast<std::ptrdiff_t>(n),
                      digest.engines.end(), [](const auto& a, const auto& b) {
                        return std::pair(a.queue.work, a.queue.streams) >
                               std::pair(b.queue.work, b.queue.streams);
                      });
    digest.engines.resize(n);
  }
  bytes_ -= cost;
  bytes_sent_ += cost;
  recent_.emplace_back(now, cost);
  recent_bytes_ += cost;
  digest.sequence = ++sequence_;
  sent_.clear();
  for (const auto& [key, queue] : queues) {
    if (!IsEmpty(queue)) {
      sent_[key] = queue;
    }
  }
  sent_at_ = now;
  return digest;
}

bool BacklogSender::IsDue(const std::map<EngineKey, EngineQueue>& queues,
                          TimePoint now) const {
  bool changed = false;
  std::size_t occupied = 0;
  for (const auto& [key, queue] : queues) {
    if (IsEmpty(queue)) {
      continue;
    }
    ++occupied;
    const auto it = sent_.find(key);
    const EngineQueue before = it == sent_.end() ? EngineQueue{} : it->second;
    if (queue.prompts > before.prompts || queue.work > before.work) {
      return true;
    }
    changed = changed || queue != before;
  }
  changed = changed || occupied != sent_.size();
  return (changed && now - sent_at_ >= options_.lazy_after) ||
         (occupied > 0 && now - sent_at_ >= options_.refresh);
}

void BacklogSender::EarnBytes(double cost, TimePoint now) {
  const double most =
      std::max(options_.max_bytes_per_s * Seconds(options_.saved), cost);
  // Saved bytes and those earned in one second are within the bound. Digests of
  // more than half of it are a second apart.
  const double rate = std::max(options_.max_bytes_per_s - most,
                               std::min(most, options_.max_bytes_per_s));
  const double earned = earned_at_ ? Seconds(now - *earned_at_) * rate : most;
  earned_at_ = now;
  bytes_ = std::min(most, bytes_ + earned);
  while (!recent_.empty() &&
         recent_.front().first <= now - std::chrono::seconds(1)) {
    recent_bytes_ -= recent_.front().second;
    recent_.pop_front();
  }
}

}  // namespace indigolead
