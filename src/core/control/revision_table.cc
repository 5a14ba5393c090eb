#include "core/control/revision_table.h"

#include <algorithm>
#include <utility>

namespace indigolead {

RevisionTable::RevisionTable(Options options) : options_(options) {}

RevisionOutcome RevisionTable::Offer(RevisionRecord record) {
  const auto it = newest_.find(record.deployment);
  if (it == newest_.end()) {
    if (newest_.size() >= options_.max_deployments) {
      return RevisionOutcome::kLimitReached;
    }
    std::string deployment = record.deployment;
    newest_.emplace(std::move(deployment), std::move(record));
    return RevisionOutcome::kNewer;
  }
  RevisionRecord& held = it->second;
  if (record.number < held.number) {
    return RevisionOutcome::kOlder;
  }
  if (record.number == held.number) {
    return record.digest == held.digest ? RevisionOutcome::kSame
                                        : RevisionOutcome::kMismatch;
  }
  held = std::move(record);
  return RevisionOutcome::kNewer;
}

const RevisionRecord* RevisionTable::Find(const std::string& deployment) const {
  const auto it = newest_.find(deployment);
  return it == newest_.end() ? nullptr : &it->second;
}

KnownRevisions RevisionTable::Known() const {
  KnownRevisions known;
  for (const auto& [deployment, record] : newest_) {
    known.emplace(deployment, record.number);
  }
  return known;
}

std::vector<RevisionRecord> RevisionTable::NewerThan(
    const KnownRevisions& known, const std::string& deployment) const {
  std::vector<RevisionRecord> newer;
  for (const auto& [name, record] : newest_) {
    const auto it = known.find(name);
    const bool wanted = deployment.empty() || name == deployment;
    if (wanted && (it == known.end() || it->second < record.number)) {
      newer.push_back(record);
    }
  }
  return newer;
}

bool RevisionTable::OnPeerUp(const RevisionPeer& peer, TimePoint now) {
  Tick(now);
  const auto it = peers_.find(peer.instance);
  if (it == peers_.end()) {
    if (peers_.size() >= options_.max_peers) {
      return false;
    }
    peers_.emplace(peer.instance, Peer{peer, {}, std::nullopt});
    return true;
  }
  // A new incarnation starts without the revisions that the previous one
  // applied.
  if (it->second.identity.incarnation != peer.incarnation) {
    it->second.applied.clear();
  }
  it->second.identity = peer;
  it->second.silent_since.reset();
  return true;
}

void RevisionTable::OnApplied(const std::string& instance,
                              const Incarnation& incarnation,
                              const std::string& deployment,
                              std::uint64_t number) {
  const auto it = peers_.find(instance);
  if (it == peers_.end() || it->second.identity.incarnation != incarnation) {
    return;
  }
  KnownRevisions& applied = it->second.applied;
  if (applied.size() >= options_.max_deployments &&
      !applied.contains(deployment)) {
    return;
  }
  std::uint64_t& newest = applied[deployment];
  newest = std::max(newest, number);
}

void RevisionTable::OnPeerDown(const std::string& instance,
                               const Incarnation& incarnation, TimePoint now) {
  const auto it = peers_.find(instance);
  if (it != peers_.end() && it->second.identity.incarnation == incarnation &&
      !it->second.silent_since) {
    it->second.silent_since = now;
  }
}

void RevisionTable::ForgetPeer(const std::string& instance) {
  peers_.erase(instance);
}

void RevisionTable::Tick(TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const auto& since = entry.second.silent_since;
    return since && now - *since > options_.forget_peer_after;
  });
}

RevisionRollout RevisionTable::RolloutOf(const std::string& deployment) const {
  RevisionRollout result;
  const RevisionRecord* newest = Find(deployment);
  result.number = newest ? newest->number : 0;
  for (const auto& [name, peer] : peers_) {
    const std::string& peer_deployment = peer.identity.deployment;
    if (!peer_deployment.empty() && peer_deployment != deployment) {
      continue;
    }
    const auto it = peer.applied.find(deployment);
    if (it != peer.applied.end() && it->second >= result.number) {
      result.applied.push_back(name);
    } else if (peer.silent_since) {
      result.unknown_since.emplace(name, *peer.silent_since);
    } else {
      result.waiting_for.push_back(name);
    }
  }
  return result;
}

KnownRevisions RevisionTable::AppliedBy(const std::string& instance) const {
  const auto it = peers_.find(instance);
  return it == peers_.end() ? KnownRevisions{} : it->second.applied;
}

std::vector<RevisionPeer> RevisionTable::Peers() const {
  std::vector<RevisionPeer> peers;
  for (const auto& [name, peer] : peers_) {
    peers.push_back(peer.identity);
  }
  return peers;
}

}  // namespace indigolead
