#include "wire/membership_service.h"

#include <utility>

#include "store/listed_instances.h"
#include "wire/events.h"

namespace indigolead {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

MemberHello ToMemberHello(const wire::Hello& hello) {
  return {hello.instance(),
          hello.kind() == wire::PROCESS_SIDE ? MemberKind::kSide
                                             : MemberKind::kEntry,
          hello.failure_domain(), hello.region(), hello.leaving()};
}

std::vector<ListedInstance> ReadNotice(const wire::InstancesNotice& notice) {
  std::vector<ListedInstance> instances;
  for (const wire::ListedPeer& peer : notice.entries()) {
    instances.push_back({peer.instance(), MemberKind::kEntry,
                         peer.failure_domain(), peer.region(),
                         peer.link_address(), peer.leaving()});
  }
  return instances;
}

wire::Envelope MakeNotice(std::uint64_t version,
                          const std::vector<ListedInstance>& instances) {
  wire::Envelope message;
  wire::InstancesNotice* notice = message.mutable_instances();
  notice->set_version(version);
  for (const ListedInstance& instance : instances) {
    if (instance.kind != MemberKind::kEntry) {
      continue;
    }
    wire::ListedPeer* peer = notice->add_entries();
    peer->set_instance(instance.name);
    peer->set_failure_domain(instance.failure_domain);
    peer->set_region(instance.region);
    peer->set_link_address(instance.link_address);
    peer->set_leaving(instance.leaving);
  }
  return message;
}

}  // namespace

MembershipService::MembershipService(Membership::Options options, Hooks hooks,
                                     Clock clock, EventLog log)
    : kind_(options.plan.self_kind),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      membership_(std::move(options), {hooks_.may_disconnect}) {}

bool MembershipService::HandleMessage(LinkId, const wire::Envelope& message) {
  if (!message.has_instances()) {
    return false;
  }
  // Only sides take the list from peers; entries read it from the platform.
  if (kind_ == MemberKind::kSide) {
    ApplyList(message.instances().version(), ReadNotice(message.instances()));
  }
  return true;
}

void MembershipService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (hello.kind() == wire::PROCESS_OPERATOR) {
    return;
  }
  Execute(membership_.OnLinkUp(link.value, ToMemberHello(hello), clock_()));
  if (kind_ == MemberKind::kEntry && hello.kind() == wire::PROCESS_SIDE) {
    sides_.insert(link);
    SendNotice(link);
  }
}

void MembershipService::OnLinkDown(LinkId link) {
  sides_.erase(link);
  Execute(membership_.OnLinkDown(link.value, clock_()));
}

void MembershipService::OnInstances(const InstanceList& list) {
  ApplyList(list.version, ToListedInstances(list));
}

void MembershipService::Tick(TimePoint now) {
  // Limits the rate, since each tick visits every instance and there may be
  // thousands.
  if (now - last_tick_ < kTickInterval && now >= last_tick_) {
    return;
  }
  last_tick_ = now;
  Execute(membership_.Tick(now));
}

void MembershipService::ApplyList(std::uint64_t version,
                                  std::vector<ListedInstance> instances) {
  if (version <= version_) {
    return;
  }
  version_ = version;
  if (kind_ == MemberKind::kEntry) {
    wire::Envelope notice = MakeNotice(version, instances);
    // Most changes concern targets only, which a notice does not contain.
    wire::Envelope same = notice;
    same.mutable_instances()->set_version(notice_.instances().version());
    const bool changed =
        same.SerializeAsString() != notice_.SerializeAsString();
    if (changed) {
      notice_ = std::move(notice);
      for (const LinkId side : sides_) {
        SendNotice(side);
      }
    }
  }
  Execute(membership_.OnInstanceList(std::move(instances), clock_()));
}

void MembershipService::SendNotice(LinkId link) {
  if (notice_.has_instances()) {
    hooks_.send(link, notice_);
  }
}

void MembershipService::Execute(const std::vector<MembershipAction>& actions) {
  for (const MembershipAction& action : actions) {
    if (const auto* connect = std::get_if<ConnectTo>(&action)) {
      hooks_.connect(connect->address);
    } else if (const auto* disconnect = std::get_if<DisconnectFrom>(&action)) {
      hooks_.disconnect(disconnect->address);
    } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
      log_(events::kMemberChanged,
           {{"instance", changed->instance},
            {"from", std::string(MemberStateName(changed->from))},
            {"to", std::string(MemberStateName(changed->to))}});
    }
  }
}

Membership::Options MakeMembershipOptions(const Settings& settings,
                                          MemberKind kind, std::uint64_t seed) {
  Membership::Options options;
  options.plan.self_name = settings.instance.name;
  options.plan.self_kind = kind;
  options.plan.entries_per_region = settings.side.entries_per_region;
  for (const std::string& seed : settings.links.seeds) {
    // All entries may share one list of seeds, which contains each of them.
    if (seed != settings.instance.link_address) {
      options.seeds.push_back(seed);
    }
  }
  options.seed = seed;
  return options;
}

}  // namespace indigolead
