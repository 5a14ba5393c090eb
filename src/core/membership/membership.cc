#include "core/membership/membership.h"

#include <algorithm>
#include <utility>

namespace indigolead {

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "gone";
}

Membership::Membership(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed) {
  for (const std::string& seed : options_.seeds) {
    dials_[seed].connect_at = TimePoint();
  }
}

std::vector<MembershipAction> Membership::OnInstanceList(
    std::vector<ListedInstance> instances, TimePoint now) {
  list_ = std::move(instances);
  std::unordered_map<std::string, bool> leaving;
  for (const ListedInstance& instance : list_) {
    // An instance listed more than once is leaving only if every record says
    // so.
    const auto [it, is_new] = leaving.emplace(instance.name, instance.leaving);
    it->second = it->second && instance.leaving;
    FindOrAdd(instance.name, now);
  }
  std::vector<MembershipAction> actions;
  for (auto& [name, member] : members_) {
    const auto it = leaving.find(name);
    member.listed = it != leaving.end();
    member.listed_leaving = member.listed && it->second;
    Update(name, &member, now, &actions);
  }
  UpdatePlan(now);
  return actions;
}

std::vector<MembershipAction> Membership::OnLinkUp(std::uint64_t link,
                                                   const MemberHello& hello,
                                                   TimePoint now) {
  std::vector<MembershipAction> actions;
  Member* member = FindOrAdd(hello.instance, now);
  if (member == nullptr) {
    return actions;
  }
  if (member->links.empty()) {
    member->up_since = now;
  }
  // A leaving notice of the previous run does not apply to a restarted process.
  member->announced_leaving = hello.leaving;
  member->links.insert(link);
  instance_of_link_[link] = hello.instance;
  Update(hello.instance, member, now, &actions);
  return actions;
}

std::vector<MembershipAction> Membership::OnLinkDown(std::uint64_t link,
                                                     TimePoint now) {
  std::vector<MembershipAction> actions;
  const auto it = instance_of_link_.find(link);
  if (it == instance_of_link_.end()) {
    return actions;
  }
  const std::string name = it->second;
  instance_of_link_.erase(it);
  Member& member = members_.at(name);
  member.links.erase(link);
  if (member.links.empty()) {
    member.unlinked_since = now;
    member.losses.push_back(now);
    if (member.losses.size() > options_.flap_losses) {
      member.losses.pop_front();
    }
  }
  Update(name, &member, now, &actions);
  return actions;
}

std::vector<MembershipAction> Membership::OnLeaving(const std::string& instance,
                                                    bool leaving,
                                                    TimePoint now) {
  std::vector<MembershipAction> actions;
  const auto it = members_.find(instance);
  if (it != members_.end()) {
    it->second.announced_leaving = leaving;
    Update(instance, &it->second, now, &actions);
  }
  return actions;
}

std::vector<MembershipAction> Membership::Tick(TimePoint now) {
  std::vector<MembershipAction> actions;
  if (last_tick_.has_value() &&
      (now < *last_tick_ || now - *last_tick_ > options_.longest_tick_gap)) {
    ShiftTimestamps(now - *last_tick_);
  }
  last_tick_ = now;
  for (auto it = members_.begin(); it != members_.end();) {
    Update(it->first, &it->second, now, &actions);
    const bool removable = it->second.state == MemberState::kGone &&
                           it->second.links.empty() && !it->second.listed;
    it = removable ? members_.erase(it) : std::next(it);
  }
  PollDials(now, &actions);
  return actions;
}

MemberState Membership::StateOf(const std::string& instance) const {
  const auto it = members_.find(instance);
  return it == members_.end() ? MemberState::kGone : it->second.state;
}

Membership::Member* Membership::FindOrAdd(const std::string& name,
                                          TimePoint now) {
  const auto it = members_.find(name);
  if (it != members_.end()) {
    return &it->second;
  }
  if (members_.size() >= options_.max_instances) {
    ++ignored_;
    return nullptr;
  }
  Member& member = members_[name];
  member.unlinked_since = now;
  return &member;
}

MemberState Membership::ComputeState(const Member& member,
                                     TimePoint now) const {
  if (member.links.empty()) {
    if (!member.listed &&
        now - member.unlinked_since >= options_.gone_timeout) {
      return MemberState::kGone;
    }
    return member.listed_leaving || member.announced_leaving
               ? MemberState::kLeaving
               : MemberState::kSuspect;
  }
  if (member.listed_leaving || member.announced_leaving) {
    return MemberState::kLeaving;
  }
  return IsFlapping(member, now) ? MemberState::kSuspect : MemberState::kLive;
}

bool Membership::IsFlapping(const Member& member, TimePoint now) const {
  // Each lost link breaks the streams on it. An instance with an unstable link
  // would break streams repeatedly, so its link must first last for
  // `flap_hold`.
  return member.losses.size() >= options_.flap_losses &&
         now - member.losses.front() < options_.flap_window &&
         now - member.up_since < options_.flap_hold;
}

void Membership::Update(const std::string& name, Member* member, TimePoint now,
                        std::vector<MembershipAction>* actions) {
  const MemberState state = ComputeState(*member, now);
  if (state != member->state) {
    actions->push_back(MemberChanged{name, member->state, state});
    member->state = state;
  }
}

void Membership::UpdatePlan(TimePoint now) {
  const std::set<std::string> wanted = PlanConnections(options_.plan, list_);
  // A list without entries is more likely a platform fault than a fleet without
  // entries, so an empty plan closes no connection.
  if (wanted.empty()) {
    return;
  }
  const Duration spread =
      std::min<Duration>(options_.connect_spread_max,
                         options_.connect_spread_per_instance *
                             static_cast<Duration::rep>(list_.size()));
  std::uniform_int_distribution<Duration::rep> delay(0, spread.count());
  for (const std::string& address : wanted) {
    const auto [it, is_new] = dials_.try_emplace(address);
    if (is_new) {
      it->second.connect_at = now + Duration(delay(random_));
    }
    it->second.unwanted_since.reset();
  }
  for (auto& [address, dial] : dials_) {
    if (wanted.count(address) == 0 && !dial.unwanted_since.has_value()) {
      dial.unwanted_since = now;
    }
  }
}

void Membership::PollDials(TimePoint now,
                           std::vector<MembershipAction>* actions) {
  for (auto it = dials_.begin(); it != dials_.end();) {
    Dial& dial = it->second;
    const bool expired =
        dial.unwanted_since.has_value() &&
        now - *dial.unwanted_since >= options_.disconnect_delay;
    if (expired && dial.connect_at.has_value()) {
      it = dials_.erase(it);
      continue;
    }
    if (expired &&
        (!hooks_.may_disconnect || hooks_.may_disconnect(it->first))) {
      actions->push_back(DisconnectFrom{it->first});
      it = dials_.erase(it);
      continue;
    }
    if (dial.connect_at.has_value() && now >= *dial.connect_at) {
      actions->push_back(ConnectTo{it->first});
      dial.connect_at.reset();
    }
    ++it;
  }
}

void Membership::ShiftTimestamps(Duration jump) {
  // No message could be handled while this process was paused, so that time is
  // no evidence about other instances: shift all timestamps by it.
  for (auto& [name, member] : members_) {
    member.unlinked_since += jump;
    member.up_since += jump;
    for (TimePoint& loss : member.losses) {
      loss += jump;
    }
  }
  for (auto& [address, dial] : dials_) {
    if (dial.unwanted_since.has_value()) {
      *dial.unwanted_since += jump;
    }
    if (dial.connect_at.has_value()) {
      *dial.connect_at += jump;
    }
  }
}

}  // namespace indigolead
