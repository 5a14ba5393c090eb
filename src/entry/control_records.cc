// Implements what the control service writes to the store and reports: the
// audit trail, `applied/ENTRY` and the status.

#include <nlohmann/json.hpp>
#include <utility>

#include "core/config/enum_names.h"
#include "entry/control_events.h"
#include "entry/control_service.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kAuditLoadRetry{5};

std::string HealthName(wire::TargetHealth health) {
  switch (health) {
    case wire::TARGET_UP:
      return "up";
    case wire::TARGET_DOWN:
      return "down";
    case wire::TARGET_CHANGING:
      return "changing";
    default:
      return "unknown";
  }
}

}  // namespace

void ControlService::Record(AuditRecord record) {
  record.at = wall_clock_();
  log_(kChangeRecorded,
       {{"kind", std::string(AuditKindName(record.kind))},
        {"subject", record.subject},
        {"cause", record.cause},
        {"actor", record.actor},
        {"fencing_number", std::to_string(record.fencing_number)},
        {"before", record.before},
        {"after", record.after}});
  if (!audit_.Append(record)) {
    log_(kAuditDropped, {{"dropped", std::to_string(audit_.dropped())}});
  }
}

void ControlService::LoadAudit() {
  const TimePoint now = clock_();
  if (audit_loaded_ || audit_loading_ || now < audit_load_at_) {
    return;
  }
  audit_loading_ = true;
  audit_load_at_ = now + kAuditLoadRetry;
  const std::string prefix = "audit/" + options_.instance + "-";
  store_->List(
      prefix, {CallPriority::kAudit, options_.call_deadline},
      [this, alive = alive_](const Result<ObjectStore::Listing>& result) {
        if (!*alive) {
          return;
        }
        audit_loading_ = false;
        if (!IsOk(result)) {
          return;
        }
        audit_loaded_ = true;
        std::vector<std::string> segments(options_.audit.segments);
        for (const StoredObject& object : ValueOf(result).objects) {
          for (std::size_t slot = 0; slot < segments.size(); ++slot) {
            if (object.key == AuditSegmentKey(options_.instance, slot)) {
              segments[slot] = object.value;
            }
          }
        }
        audit_.OnLoaded(segments);
      });
}

void ControlService::WriteAudit(TimePoint now) {
  auto write = audit_.Tick(now);
  if (!write) {
    return;
  }
  const auto it = audit_objects_
                      .try_emplace(write->key, store_, write->key,
                                   CallOptions{CallPriority::kAudit,
                                               options_.call_deadline})
                      .first;
  it->second.Write(std::move(write->value), [this, alive = alive_](bool ok) {
    if (*alive) {
      audit_.OnWritten(ok);
    }
  });
}

void ControlService::WriteApplied(TimePoint now) {
  if (applied_in_flight_ || now - applied_at_ < options_.applied_interval) {
    return;
  }
  std::string value = AppliedJson();
  if (value == applied_written_) {
    return;
  }
  applied_at_ = now;
  applied_in_flight_ = true;
  applied_object_.Write(value, [this, alive = alive_, value](bool ok) {
    if (*alive) {
      applied_in_flight_ = false;
      applied_written_ = ok ? value : "";
    }
  });
}

std::string ControlService::AppliedJson() const {
  KnownRevisions own;
  for (const auto& [name, revision] : revisions_) {
    own.emplace(name, revision.number);
  }
  Json sides = Json::object();
  for (const auto& [name, peer] : peers_) {
    if (peer.is_entry || !peer.link) {
      continue;
    }
    const auto it = config_.by_peer.find(name);
    sides[name] =
        Json{{"revisions",
              it == config_.by_peer.end() ? KnownRevisions{} : it->second},
             {"order_generation", peer.target.order_generation()}};
  }
  return Json{{"entry", options_.instance},
              {"incarnation", ToHex(options_.incarnation.value)},
              {"revisions", own},
              {"sides", std::move(sides)}}
      .dump();
}

SystemStatus ControlService::Status() const {
  const TimePoint now = clock_();
  SystemStatus status;
  status.entry = options_.instance;
  const bool following = watcher_.following();
  if (following) {
    status.store_answers = Timestamped<bool>::Seen(true, now);
  } else if (watcher_.version() != 0) {
    status.store_answers = Timestamped<bool>::Seen(false, watcher_.fresh_at());
  } else {
    status.store_answers = Timestamped<bool>::Seen(false, now);
  }
  const LeaseView& lease = controller_.lease().newest();
  if (lease.record) {
    status.fencing_number = lease.record->fencing_number;
    status.lease_holder = Timestamped<std::string>::Seen(
        lease.record->holder, following ? now : watcher_.fresh_at());
    if (!following) {
      status.lease_holder.unknown_since = watcher_.fresh_at();
    }
  }
  status.controller_here = holds_lease();
  for (const auto& [name, revision] : revisions_) {
    status.deployments.push_back(StatusOf(revision));
  }
  EntryStatus own;
  own.name = options_.instance;
  own.failure_domain = options_.failure_domain;
  own.up = Timestamped<bool>::Seen(true, now);
  for (const auto& [name, revision] : revisions_) {
    own.revisions.emplace(name, revision.number);
  }
  status.entries.push_back(std::move(own));
  for (const auto& [name, peer] : peers_) {
    if (peer.is_entry) {
      status.entries.push_back(EntryStatusOf(name, peer));
    } else {
      status.targets.push_back(StatusOf(name, peer, now));
    }
  }
  status.quarantines = quarantines_;
  return status;
}

std::string ControlService::StatusJson() const {
  // Reads the status before the clock, so that no age is below 0.
  const SystemStatus status = Status();
  return EncodeStatus(status, clock_(), wall_clock_());
}

DeploymentStatus ControlService::StatusOf(const Revision& revision) const {
  DeploymentStatus status;
  status.name = revision.spec.name;
  status.revision = revision.number;
  status.author = revision.author;
  status.source_version = revision.source_version;
  status.accepted_at = revision.accepted_at;
  const auto it = config_.in_force.find(status.name);
  if (it != config_.in_force.end() && it->second.number == revision.number) {
    status.in_force_everywhere = it->second.everywhere();
    status.waiting_for = it->second.waiting_for;
    status.unknown_since = it->second.unknown_since;
  }
  return status;
}

EntryStatus ControlService::EntryStatusOf(const std::string& name,
                                          const Peer& peer) const {
  EntryStatus status;
  status.name = name;
  status.failure_domain = peer.failure_domain;
  status.up = Timestamped<bool>::Seen(true, peer.target_at);
  status.up.unknown_since = peer.down_since;
  if (const auto it = config_.by_peer.find(name); it != config_.by_peer.end()) {
    status.revisions = it->second;
  }
  return status;
}

TargetStatus ControlService::StatusOf(const std::string& name, const Peer& peer,
                                      TimePoint now) const {
  TargetStatus status;
  status.name = name;
  status.deployment = peer.target.deployment();
  status.failure_domain = peer.failure_domain;
  const auto aged = [&peer](auto value, TimePoint at) {
    auto aged_value = Timestamped<decltype(value)>::Seen(std::move(value), at);
    aged_value.unknown_since = peer.down_since;
    return aged_value;
  };
  status.health = aged(HealthName(peer.target.health()), peer.target_at);
  status.role = aged(peer.target.role(), peer.target_at);
  status.models = aged(std::vector<std::string>(peer.target.models().begin(),
                                                peer.target.models().end()),
                       peer.target_at);
  if (peer.load) {
    const wire::LoadReport& load = *peer.load;
    const TimePoint measured =
        peer.load_at - std::chrono::microseconds(load.measured_ago_us());
    status.load =
        aged(TargetLoadStatus{load.running(), load.waiting(),
                              load.queued_prefill_tokens(),
                              load.kv_used_bytes(), load.kv_capacity_bytes()},
             measured);
  }
  const auto applied = config_.by_peer.find(name);
  if (applied != config_.by_peer.end()) {
    const auto it = applied->second.find(status.deployment);
    if (it != applied->second.end()) {
      status.revision = aged(it->second, peer.target_at);
    }
  }
  const auto view = controller_.reconciler().View(name, now);
  if (view && view->stored.order) {
    const TargetOrder& order = *view->stored.order;
    status.desired_role = std::string(EngineRoleName(order.desired.role));
    status.desired_model = order.desired.model + "@" + order.desired.version;
    status.order_generation = order.generation;
    status.order_phase =
        view->stuck ? "stuck"
                    : std::string(view->phase ? OrderPhaseName(*view->phase)
                                              : "unknown");
    status.order_detail = view->detail;
    status.out_of_service = order.desired.out_of_service;
  }
  if (const auto it = drains_.find(name); it != drains_.end()) {
    status.drain_cause = it->second.empty() ? "drained" : it->second;
  }
  return status;
}

}  // namespace indigolead
