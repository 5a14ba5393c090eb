#include "core/placement/fleet_backlog.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace indigolead {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Requests(const EngineQueue& queue) {
  return static_cast<double>(queue.prompts) + queue.streams;
}

EngineQueue SumOf(const std::vector<BacklogDigest::Engine>& engines) {
  EngineQueue sum;
  for (const BacklogDigest::Engine& it : engines) {
    sum.work += it.queue.work;
    sum.prompts += it.queue.prompts;
    sum.streams += it.queue.streams;
  }
  return sum;
}

/// Returns the lower median, so that of two entries the smaller counts.
double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double ScaleOf(double claimed, double bound) {
  return claimed <= bound ? 1 : bound / claimed;
}

}  // namespace

void FleetBacklog::SetPeers(const std::vector<std::string>& peers) {
  const std::size_t n = std::min(peers.size(), options_.max_peers);
  const std::set<std::string> listed(
      peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(n));
  std::erase_if(peers_,
                [&](const auto& it) { return !listed.contains(it.first); });
  for (const std::string& it : listed) {
    peers_.try_emplace(it);
  }
  Index();
}

FleetBacklog::Accepted FleetBacklog::OnDigest(const std::string& peer,
                                              const BacklogDigest& digest,
                                              TimePoint now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return Accepted::kUnknownPeer;
  }
  Peer& it = found->second;
  const bool same_run = it.known && digest.incarnation == it.incarnation;
  // A datagram of the run before may arrive after the first of the new one.
  if ((same_run && digest.sequence <= it.sequence) ||
      (it.known && !same_run && digest.incarnation == it.earlier_incarnation)) {
    return Accepted::kStale;
  }
  if (it.known && !same_run) {
    it.earlier_incarnation = it.incarnation;
  }
  it.known = true;
  it.incarnation = digest.incarnation;
  it.sequence = digest.sequence;
  it.heard_at = now;
  it.engines = digest.engines;
  if (it.engines.size() > kMaxDigestEngines) {
    it.engines.resize(kMaxDigestEngines);
  }
  Update(&it.total, SumOf(it.engines), now);
  ComputeScales(now);
  Index();
  return Accepted::kAccepted;
}

void FleetBacklog::OnOwn(const EngineQueue& total, TimePoint now) {
  Update(&own_, total, now);
}

void FleetBacklog::Tick(TimePoint now) {
  bool dropped = false;
  for (auto& [name, it] : peers_) {
    if (!it.engines.empty() && now - it.heard_at >= options_.expire_after) {
      it.engines.clear();
      Update(&it.total, EngineQueue{}, now);
      dropped = true;
    }
  }
  if (dropped) {
    Index();
  }
  ComputeScales(now);
}

void FleetBacklog::Update(Total* total, const EngineQueue& sum,
                          TimePoint now) const {
  const double kept = std::exp2(-Seconds(now - total->at) /
                                Seconds(options_.maximum_half_life));
  total->sum = sum;
  total->work_maximum = std::max(sum.work, total->work_maximum * kept);
  total->request_maximum =
      std::max(Requests(sum), total->request_maximum * kept);
  total->at = now;
}

void FleetBacklog::ComputeScales(TimePoint now) {
  std::vector<double> work = {own_.work_maximum};
  std::vector<double> requests = {own_.request_maximum};
  for (const auto& [name, it] : peers_) {
    if (it.known && now - it.heard_at < options_.expire_after) {
      work.push_back(it.total.work_maximum);
      requests.push_back(it.total.request_maximum);
    }
  }
  const double max_work =
      std::max(options_.min_work, options_.max_share_of_median * Median(work));
  const double max_requests = std::max(
      options_.min_requests, options_.max_share_of_median * Median(requests));
  for (auto& [name, it] : peers_) {
    it.scale = std::min(ScaleOf(it.total.sum.work, max_work),
                        ScaleOf(Requests(it.total.sum), max_requests));
  }
}

void FleetBacklog::Index() {
  claims_.clear();
  for (const auto& [name, it] : peers_) {
    for (const BacklogDigest::Engine& engine : it.engines) {
      claims_[engine.key].push_back({&it, engine.queue});
    }
  }
}

TargetKnowledge FleetBacklog::At(EngineKey engine, const EngineQueue& own,
                                 const QueueTime& queue_time,
                                 TimePoint now) const {
  TargetKnowledge known;
  const auto found = claims_.find(engine);
  if (found == claims_.end()) {
    return known;
  }
  double work = 0;
  double prompts = 0;
  double streams = 0;
  for (const Claim& it : found->second) {
    work += it.queue.work * it.peer->scale;
    prompts += it.queue.prompts * it.peer->scale;
    streams += it.queue.streams * it.peer->scale;
    known.age = std::max(known.age, now - it.peer->heard_at);
  }
  known.streams = static_cast<std::uint32_t>(std::lround(streams));
  if (work <= 0) {
    return known;
  }
  // The prompts of all entries are mixed in the engine's queue, so each
  // figure shrinks in proportion while the engine works on the whole.
  const double whole_s =
      Seconds(queue_time(prompts + own.prompts, work + own.work));
  double left_prompts = 0;
  for (const Claim& it : found->second) {
    const double age_s = Seconds(now - it.peer->heard_at);
    const double left = whole_s > 0 ? std::max(0.0, 1 - age_s / whole_s) : 0.0;
    known.queued_work += it.queue.work * it.peer->scale * left;
    left_prompts += it.queue.prompts * it.peer->scale * left;
  }
  known.queued_prompts =
      static_cast<std::uint32_t>(std::lround(std::ceil(left_prompts)));
  return known;
}

std::size_t FleetBacklog::peers_in_use() const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& it) { return !it.second.engines.empty(); }));
}

}  // namespace indigolead
