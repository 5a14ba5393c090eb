#include "entry/backlog_exchange.h"

#include <utility>

#include "entry/events.h"

namespace indigolead {

BacklogExchange::BacklogExchange(Options options, Hooks hooks, Clock clock,
                                 EventLog log, MetricsRegistry* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      sender_(options_.sender),
      fleet_(options_.fleet),
      digests_sent_(metrics->AddCounter(
          "indigolead_queue_digests_sent_total",
          "Digests of this entry's open work at engines sent to others.")),
      digests_received_(metrics->AddCounter(
          "indigolead_queue_digests_received_total",
          "Digests of other entries' open work that are used.")),
      digests_ignored_(metrics->AddCounter(
          "indigolead_queue_digests_ignored_total",
          "Digests of entries that are not listed, or that are overtaken.")),
      peers_in_use_(metrics->AddGauge(
          "indigolead_queue_peers",
          "Other entries with open work at engines, as far as known.")) {}

void BacklogExchange::OnEntries(const std::vector<RelayCandidate>& entries) {
  std::vector<std::string> peers;
  const bool share = entries.size() >= options_.min_entries;
  for (const RelayCandidate& it : entries) {
    if (share && it.name != options_.own_name && !it.address.empty()) {
      peers.push_back(it.address);
    }
  }
  if (peers == peers_) {
    return;
  }
  peers_ = std::move(peers);
  sender_.SetPeers(peers_.size());
  fleet_.SetPeers(peers_);
  log_(kQueuePeersChanged, {{"peers", std::to_string(peers_.size())}});
}

void BacklogExchange::OnDigest(const std::string& address,
                               const BacklogDigest& digest) {
  const auto accepted = fleet_.OnDigest(address, digest, clock_());
  (accepted == FleetBacklog::Accepted::kAccepted ? digests_received_
                                                 : digests_ignored_)
      .Add();
}

void BacklogExchange::Tick() {
  const TimePoint now = clock_();
  std::map<EngineKey, EngineQueue> queues;
  EngineQueue total;
  hooks_.visit_placements([&](const EnginePlacement& placement) {
    placement.VisitQueues(
        [&](const std::string& instance, const EngineQueue& it) {
          if (it.prompts == 0 && it.streams == 0) {
            return;
          }
          EngineQueue& queue = queues[EngineKeyOf(instance)];
          queue.work += it.work;
          queue.prompts += it.prompts;
          queue.streams += it.streams;
          total.work += it.work;
          total.prompts += it.prompts;
          total.streams += it.streams;
        });
  });
  fleet_.OnOwn(total, now);
  fleet_.Tick(now);
  peers_in_use_.Set(static_cast<std::int64_t>(fleet_.peers_in_use()));
  if (const auto digest = sender_.Next(queues, now)) {
    for (const std::string& it : peers_) {
      hooks_.send(it, *digest);
    }
    digests_sent_.Add(peers_.size());
  }
}

TargetKnowledge BacklogExchange::KnowledgeOf(
    const std::string& service, const std::string& instance) const {
  const EnginePlacement* placement = hooks_.placement_of(service);
  if (!placement) {
    return {};
  }
  return fleet_.At(
      EngineKeyOf(instance), placement->QueueOf(instance),
      [placement](double prompts, double work) {
        return placement->QueueTime(prompts, work);
      },
      clock_());
}

}  // namespace indigolead
