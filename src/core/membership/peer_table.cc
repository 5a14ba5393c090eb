#include "core/membership/peer_table.h"

#include <algorithm>

namespace indigolead {

PeerTable::Decision PeerTable::OnHello(const std::string& instance,
                                       const Incarnation& incarnation,
                                       LinkDirection direction,
                                       std::uint64_t link) {
  const auto it = instances_.find(instance);
  if (it != instances_.end() &&
      std::count(it->second.superseded.begin(), it->second.superseded.end(),
                 incarnation) > 0) {
    return {HelloVerdict::kSuperseded, {}};
  }
  Decision decision;
  const bool replaces =
      it != instances_.end() && (it->second.opened || it->second.accepted);
  if (!replaces && instance_of_link_.size() >= options_.max_links) {
    return {HelloVerdict::kFull, {}};
  }
  Instance& peer = Touch(instance);
  if (peer.current != incarnation) {
    Supersede(incarnation, &peer, &decision.replaced);
  }
  std::uint64_t& slot =
      direction == LinkDirection::kOpened ? peer.opened : peer.accepted;
  RemoveLink(&slot, &decision.replaced);
  if (instance_of_link_.size() >= options_.max_links) {
    return {HelloVerdict::kFull, decision.replaced};
  }
  slot = link;
  instance_of_link_[link] = instance;
  return decision;
}

void PeerTable::OnDown(std::uint64_t link) {
  const auto it = instance_of_link_.find(link);
  if (it == instance_of_link_.end()) {
    return;
  }
  const auto peer = instances_.find(it->second);
  if (peer != instances_.end()) {
    if (peer->second.opened == link) {
      peer->second.opened = 0;
    }
    if (peer->second.accepted == link) {
      peer->second.accepted = 0;
    }
  }
  instance_of_link_.erase(it);
}

PeerTable::Instance& PeerTable::Touch(const std::string& name) {
  const auto it = instances_.find(name);
  if (it != instances_.end()) {
    lru_.splice(lru_.end(), lru_, it->second.lru_position);
    return it->second;
  }
  if (instances_.size() >= options_.max_instances) {
    EvictOldest();
  }
  Instance& peer = instances_[name];
  peer.lru_position = lru_.insert(lru_.end(), name);
  return peer;
}

void PeerTable::RemoveLink(std::uint64_t* slot,
                           std::vector<std::uint64_t>* replaced) {
  if (*slot == 0) {
    return;
  }
  replaced->push_back(*slot);
  instance_of_link_.erase(*slot);
  *slot = 0;
}

void PeerTable::Supersede(const Incarnation& incarnation, Instance* instance,
                          std::vector<std::uint64_t>* replaced) {
  RemoveLink(&instance->opened, replaced);
  RemoveLink(&instance->accepted, replaced);
  if (instance->current != Incarnation{}) {
    instance->superseded.push_back(instance->current);
    if (instance->superseded.size() > options_.max_superseded_per_instance) {
      instance->superseded.pop_front();
    }
  }
  instance->current = incarnation;
}

void PeerTable::EvictOldest() {
  for (auto it = lru_.begin(); it != lru_.end(); ++it) {
    const auto peer = instances_.find(*it);
    // Instances with a link are never evicted; max_links bounds them.
    if (peer->second.opened == 0 && peer->second.accepted == 0) {
      instances_.erase(peer);
      lru_.erase(it);
      return;
    }
  }
}

}  // namespace indigolead
