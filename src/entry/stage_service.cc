#include "entry/stage_service.h"

#include <utility>

#include "entry/control_events.h"

namespace indigolead {
namespace {

std::string_view OutcomeName(StageOrderOutcome outcome) {
  switch (outcome) {
    case StageOrderOutcome::kAccepted:
      return "accepted";
    case StageOrderOutcome::kRefused:
      return "refused";
    case StageOrderOutcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view RoleName(EngineRole role) {
  return role == EngineRole::kPrefill ? "prefill" : "decode";
}

}  // namespace

StageService::StageService(ObjectStore* store, DirectTransport* transport,
                           Options options, OrderDialect dialect,
                           Lease::Jitter jitter, Clock clock, IdSource ids,
                           EventLog log)
    : transport_(transport),
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      clock_(clock),
      log_(log),
      lease_(store, options_.lease, LeaseHooks(jitter), clock, std::move(ids),
             log),
      standby_random_(jitter()),
      standby_(IsStandby(options_.assumed_entries)) {
  lease_.SetReserve(!standby_);
}

bool StageService::IsStandby(std::size_t entries) const {
  return standby_random_ * static_cast<double>(entries) < options_.standbys;
}

LeaseKeeper::Hooks StageService::LeaseHooks(Lease::Jitter jitter) {
  LeaseKeeper::Hooks hooks;
  hooks.on_gained = [this](FencingNumber number) {
    // The previous holder may have sent an order just before it lost or
    // resigned the lease. There is no such holder if this lease is the first of
    // all, or if the previous one was this entry's own.
    const auto& record = lease_.lease().newest().record;
    const bool no_other_holder =
        record &&
        (record->earlier.empty() || record->earlier.back() == last_number_);
    orders_allowed_from_ =
        clock_() + (no_other_holder ? Duration{0} : options_.separation);
    if (!no_other_holder) {
      for (auto& [name, service] : services_) {
        UpdateEngines(&service);
        service.control.AdoptRoles();
      }
    }
    last_number_ = number;
  };
  hooks.on_lost = [this](FencingNumber, LeaseLoss) {
    orders_allowed_from_.reset();
  };
  hooks.jitter = std::move(jitter);
  return hooks;
}

void StageService::OnEngine(const TargetChange& change) {
  const TargetRecord& target = change.target;
  Service& service =
      services_.try_emplace(target.service, options_.control).first->second;
  if (change.kind == TargetChange::Kind::kRemoved ||
      change.kind == TargetChange::Kind::kLeaving) {
    service.engines.erase(target.id);
  } else {
    service.engines[target.id] = {target.id, target.failure_domain, target.role,
                                  target.leaving, target.software_version};
  }
  if (change.kind == TargetChange::Kind::kRestarted) {
    service.control.OnRestarted(target.id);
    calls_.erase(target.id);
  }
  service.engines_changed = true;
}

void StageService::OnCrashed(const std::string& instance) {
  for (auto& [name, service] : services_) {
    if (service.engines.count(instance) > 0) {
      service.control.OnCrashed(instance, clock_());
    }
  }
}

// Passes the engines to the control once before each decision, not with each
// change. When thousands of engines register or change within a second, passing
// the whole list each time keeps a small entry from serving requests for
// seconds (3,000 engines took 7 s of a whole core).
void StageService::UpdateEngines(Service* service) {
  if (!std::exchange(service->engines_changed, false)) {
    return;
  }
  std::vector<StagedEngine> engines;
  engines.reserve(service->engines.size());
  for (const auto& [id, engine] : service->engines) {
    engines.push_back(engine);
  }
  service->control.OnEngines(engines, clock_());
}

void StageService::OnLoad(const std::string& service, const RoleLoad& load) {
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return;
  }
  UpdateEngines(&it->second);
  if (const auto share = it->second.control.OnLoad(load, clock_())) {
    log_(kRolesPlanned, {{"service", service},
                         {"answering_share", std::to_string(*share)},
                         {"reading_load", std::to_string(load.prefill_load)},
                         {"answering_load", std::to_string(load.decode_load)}});
  }
}

void StageService::OnEntries(std::size_t entries) {
  const bool standby = IsStandby(entries);
  if (std::exchange(standby_, standby) != standby) {
    log_(kLeaseStandby, {{"entries", std::to_string(entries)},
                         {"standby", standby ? "yes" : "no"}});
  }
  lease_.SetReserve(!standby);
}

std::optional<FencingNumber> StageService::Authority() const {
  if (stopped_ || !orders_allowed_from_ || clock_() < *orders_allowed_from_) {
    return std::nullopt;
  }
  return lease_.Authority();
}

void StageService::Tick() {
  finished_calls_.clear();
  if (stopped_) {
    // Repeated on each tick, because a renewal in flight must finish first.
    lease_.Resign();
    return;
  }
  for (auto& [name, service] : services_) {
    UpdateEngines(&service);
  }
  lease_.Tick();
  const auto number = Authority();
  for (auto& [name, service] : services_) {
    for (const StageOrder& it : service.control.Tick(number, clock_())) {
      Send(name, it);
    }
  }
}

void StageService::Stop() {
  stopped_ = true;
  calls_.clear();
  lease_.Resign();
}

void StageService::Send(const std::string& service, const StageOrder& order) {
  TargetClient* client = transport_->ClientForExtraCall(order.instance);
  if (!client) {
    Finish(service, order, StageOrderOutcome::kRefused,
           "the engine is gone or takes no calls now");
    return;
  }
  calls_[order.instance] = FetchAnswer(
      client, dialect_.report(*transport_->FindTarget(order.instance)),
      options_.max_answer_bytes,
      [this, service, order](const Result<TargetAnswer>& answer) {
        OnReport(service, order, answer);
      });
}

void StageService::OnReport(const std::string& service, const StageOrder& order,
                            const Result<TargetAnswer>& answer) {
  finished_calls_.push_back(std::move(calls_[order.instance]));
  const TargetRecord* target = transport_->FindTarget(order.instance);
  TargetClient* client = transport_->ClientForExtraCall(order.instance);
  if (!IsOk(answer) || !target || !client) {
    NoteIfUnreachable(order.instance, answer);
    Finish(service, order, StageOrderOutcome::kRefused,
           IsOk(answer) ? "the engine is gone or takes no calls now"
                        : ToString(ErrorOf(answer)));
    return;
  }
  const auto count = dialect_.read_order_count(*target, ValueOf(answer));
  if (!IsOk(count)) {
    Finish(service, order, StageOrderOutcome::kRefused,
           ToString(ErrorOf(count)));
    return;
  }
  if (Authority() != order.fencing_number) {
    Finish(service, order, StageOrderOutcome::kRefused,
           "the authority ended before the order was written");
    return;
  }
  calls_[order.instance] = FetchAnswer(
      client, dialect_.order(*target, order, options_.holder, ValueOf(count)),
      options_.max_answer_bytes,
      [this, service, order](const Result<TargetAnswer>& reply) {
        OnOrderAnswer(service, order, reply);
      });
}

void StageService::OnOrderAnswer(const std::string& service,
                                 const StageOrder& order,
                                 const Result<TargetAnswer>& answer) {
  finished_calls_.push_back(std::move(calls_[order.instance]));
  if (IsOk(answer)) {
    Finish(service, order, dialect_.read_outcome(ValueOf(answer)),
           "status " + std::to_string(ValueOf(answer).status));
    return;
  }
  NoteIfUnreachable(order.instance, answer);
  const ErrorCode code = ErrorOf(answer).code;
  const bool no_effect =
      code == ErrorCode::kUnavailable || code == ErrorCode::kOverloaded;
  Finish(service, order,
         no_effect ? StageOrderOutcome::kRefused : StageOrderOutcome::kUnknown,
         ToString(ErrorOf(answer)));
}

// An engine that crashed without a request is found only by the order to it.
void StageService::NoteIfUnreachable(const std::string& instance,
                                     const Result<TargetAnswer>& answer) {
  if (!IsOk(answer) && ErrorOf(answer).code == ErrorCode::kUnavailable) {
    OnCrashed(instance);
  }
}

void StageService::Finish(const std::string& service, const StageOrder& order,
                          StageOrderOutcome outcome,
                          const std::string& detail) {
  const TargetRecord* target = transport_->FindTarget(order.instance);
  log_(kStageOrdered, {{"service", service},
                       {"target", order.instance},
                       {"software", target ? target->software_version : ""},
                       {"role", std::string(RoleName(order.role))},
                       {"number", std::to_string(order.fencing_number)},
                       {"outcome", std::string(OutcomeName(outcome))},
                       {"detail", detail}});
  const auto it = services_.find(service);
  if (it != services_.end()) {
    it->second.control.OnOutcome(order, outcome, clock_());
  }
}

}  // namespace indigolead
