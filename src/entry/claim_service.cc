#include "entry/claim_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "wire/claim_codec.h"

namespace indigolead {

Refusal RefusalOf(const ClaimDecision& decision) {
  const Duration later =
      std::max<Duration>(decision.retry_after, std::chrono::seconds(1));
  switch (decision.verdict) {
    case ClaimVerdict::kAlreadyRun:
      return {409,
              RunState::kAlreadyRun,
              "already_run",
              "The request with this Idempotency-Key has finished; its answer "
              "is no longer held.",
              {}};
    case ClaimVerdict::kBodyDiffers:
      return {422,
              RunState::kNotRun,
              "idempotency_key_reused",
              "This Idempotency-Key was used with another request. Nothing was "
              "run for this one.",
              {}};
    case ClaimVerdict::kOverloaded:
      return {503, RunState::kNotRun, "claims_overloaded",
              "Nothing has run under this Idempotency-Key. Repeat it with the "
              "same key.",
              later};
    case ClaimVerdict::kRunning:
      return {504, RunState::kUnknown, "still_running",
              "An earlier request with this Idempotency-Key still runs. Repeat "
              "it with the same key to get its answer.",
              later};
    case ClaimVerdict::kUnknown:
      return {409,
              RunState::kUnknown,
              "outcome_unknown",
              "A request with this Idempotency-Key may have run; its outcome "
              "cannot be known. It will not be run again.",
              {}};
    default:
      return {503, RunState::kUnknown, "claims_unavailable",
              "This request was not run, but whether an earlier one with its "
              "Idempotency-Key ran cannot be found out now. Repeat it with the "
              "same key.",
              later};
  }
}

ClaimService::ClaimService(Options options, Incarnation self, Hooks hooks,
                           Clock clock, MetricsRegistry* metrics)
    : options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      client_(options.client, self),
      witness_(self),
      granted_(metrics->AddCounter("indigolead_claims_granted_total",
                                   "Keyed requests that were let run.")),
      replayed_(metrics->AddCounter(
          "indigolead_claims_replayed_total",
          "Keyed requests answered with the answer of an earlier run.")),
      refused_(metrics->AddCounter(
          "indigolead_claims_refused_total",
          "Keyed requests that neither ran nor got an answer.")),
      open_claims_(
          metrics->AddGauge("indigolead_claims_open",
                            "Keyed requests between question and report.")) {}

GateResult ClaimService::Claim(const CallerRequest& request, TimePoint now) {
  client_.Begin(request.id, request.deployment,
                MakeClaimKey(request.client_account, request.deployment,
                             request.idempotency_key),
                MakeBodyDigest(request.method, request.path, request.body),
                request.deadline - now - options_.margin, now);
  ExecuteActions(now);
  return Gate::kWait;
}

void ClaimService::Settle(const CallerRequest& request,
                          ClaimSettlement settlement, const WholeAnswer* answer,
                          TimePoint now) {
  std::optional<ClaimAnswer> kept;
  if (answer) {
    kept = ClaimAnswer{
        static_cast<std::uint32_t>(answer->status), {}, answer->body};
    for (const HeaderField& it : answer->headers) {
      kept->headers.push_back({it.name, it.value});
    }
  }
  const ClaimState end =
      settlement == ClaimSettlement::kFinished ? ClaimState::kFinished
      : settlement == ClaimSettlement::kNotRun ? ClaimState::kNotRun
                                               : ClaimState::kUnknown;
  client_.Finish(request.id, end, std::move(kept), now);
  ExecuteActions(now);
}

void ClaimService::Done(const CallerRequest& request, TimePoint now) {
  if (request.repeatability == Repeatability::kKeyed) {
    // A granted request has been settled already; only one whose claim is still
    // undecided is left.
    client_.Finish(request.id, ClaimState::kNotRun, std::nullopt, now);
    ExecuteActions(now);
  }
}

bool ClaimService::HandleMessage(LinkId link, const wire::Envelope& message) {
  const TimePoint now = clock_();
  switch (message.body_case()) {
    case wire::Envelope::kClaimReply:
      if (const auto decided = ReadClaimReply(message.claim_reply())) {
        client_.OnDecision(decided->request, decided->decision, now);
      }
      break;
    case wire::Envelope::kClaimOutcomeAck:
      if (const auto id =
              Id128FromBytes(message.claim_outcome_ack().request_id())) {
        client_.OnEndAck(RequestId{*id});
      }
      break;
    case wire::Envelope::kWitnessAsk:
      OnWitnessAsk(link, message.witness_ask());
      break;
    case wire::Envelope::kHomeState:
      OnHomeState(link, message.home_state());
      break;
    default:
      return false;
  }
  ExecuteActions(now);
  return true;
}

void ClaimService::OnWitnessAsk(LinkId link, const wire::WitnessAsk& ask) {
  const auto ref = ReadJournalRef(ask.ref());
  if (!ref) {
    return;
  }
  const WitnessReply reply =
      witness_.Mark(*ref, ask.generation(), FromWire(ask.mark()));
  wire::Envelope out;
  wire::WitnessReply* answer = out.mutable_witness_reply();
  FillJournalRef(reply.ref, answer->mutable_ref());
  answer->set_generation(reply.generation);
  answer->set_mark(ToWire(reply.mark));
  hooks_.send(link, out);
}

void ClaimService::OnHomeState(LinkId link, const wire::HomeState& state) {
  const auto side = sides_.find(link);
  const auto ref = ReadJournalRef(state.ref());
  if (side == sides_.end() || !ref || ref->home != side->second.instance) {
    return;
  }
  const auto map = slot_maps_.find(state.deployment());
  if (map != slot_maps_.end() && map->second.epoch > state.map_epoch()) {
    SendSlotMap(link, state.deployment());
  }
  if (hooks_.on_home) {
    hooks_.on_home(state.deployment(),
                   HomeState{*ref, side->second.failure_domain, state.leaving(),
                             state.absorbed_epoch()});
  }
}

void ClaimService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (hello.kind() != wire::PROCESS_SIDE) {
    return;
  }
  sides_[link] = {hello.instance(), hello.failure_domain(),
                  hello.target().deployment()};
  link_by_instance_[hello.instance()] = link;
  SendSlotMap(link, hello.target().deployment());
}

void ClaimService::OnLinkDown(LinkId link) {
  const auto side = sides_.find(link);
  if (side == sides_.end()) {
    return;
  }
  const std::string instance = side->second.instance;
  sides_.erase(side);
  const auto current = link_by_instance_.find(instance);
  if (current != link_by_instance_.end() && current->second == link) {
    link_by_instance_.erase(current);
    if (hooks_.on_home_down) {
      hooks_.on_home_down(instance);
    }
  }
}

void ClaimService::Tick(TimePoint now) {
  client_.Tick(now);
  ExecuteActions(now);
  open_claims_.Set(static_cast<std::int64_t>(client_.size()));
}

void ClaimService::OnSlotMap(const std::string& deployment,
                             const SlotMap& map) {
  SlotMap& current = slot_maps_[deployment];
  if (map.epoch <= current.epoch) {
    return;
  }
  current = map;
  client_.OnSlotMap(deployment, map);
  for (const auto& [link, side] : sides_) {
    if (side.deployment == deployment) {
      SendSlotMap(link, deployment);
    }
  }
}

void ClaimService::SendSlotMap(LinkId link, const std::string& deployment) {
  const auto map = slot_maps_.find(deployment);
  if (map == slot_maps_.end()) {
    return;
  }
  wire::Envelope out;
  FillSlotMap(deployment, map->second, out.mutable_slot_map());
  hooks_.send(link, out);
}

void ClaimService::ExecuteActions(TimePoint now) {
  for (ClientAction& action : client_.TakeActions()) {
    wire::Envelope out;
    if (const auto* ask = std::get_if<SendClaimQuery>(&action)) {
      FillClaimRequest(*ask, out.mutable_claim());
      SendTo(ask->home, out);
    } else if (const auto* report = std::get_if<SendEndReport>(&action)) {
      FillClaimOutcome(*report, out.mutable_claim_outcome());
      SendTo(report->home, out);
    } else if (const auto* decided = std::get_if<ClaimDecided>(&action)) {
      DeliverDecision(*decided, now);
    }
  }
}

void ClaimService::DeliverDecision(const ClaimDecided& decided, TimePoint now) {
  const ClaimDecision& decision = decided.decision;
  if (decision.verdict == ClaimVerdict::kGranted) {
    granted_.Add();
    hooks_.granted(decided.request, now);
  } else if (decision.verdict == ClaimVerdict::kFinished) {
    replayed_.Add();
    WholeAnswer answer;
    answer.status = static_cast<int>(decision.answer->status);
    answer.body = decision.answer->body;
    for (const AnswerHeader& it : decision.answer->headers) {
      answer.headers.push_back({it.name, it.value});
    }
    hooks_.answered(decided.request, std::move(answer), now);
  } else {
    refused_.Add();
    hooks_.refused(decided.request, RefusalOf(decision), now);
  }
}

void ClaimService::SendTo(const std::string& instance,
                          const wire::Envelope& message) {
  const auto link = link_by_instance_.find(instance);
  if (link != link_by_instance_.end()) {
    hooks_.send(link->second, message);  // Resent if lost.
  }
}

}  // namespace indigolead
