#include "core/request/request_flow.h"

#include <algorithm>
#include <string_view>

#include "core/base/http_status.h"
#include "core/request/header_fields.h"
#include "core/request/stopping_refusal.h"

namespace indigolead {
namespace {

constexpr int kOk = 200;

/// Minimum time after a resume request before a frame gap causes another.
constexpr Duration kMinResumeInterval = std::chrono::milliseconds(100);

/// Time after which it is asked again whether a placement is withdrawn.
constexpr Duration kWithdrawInterval = std::chrono::milliseconds(50);

/// Returns true if the answer is an event stream, which is passed on as it
/// arrives. Any other answer is buffered and preferably sent complete.
bool IsStreamed(const std::vector<HeaderField>& headers) {
  return IsEventStream(FindHeader(headers, "content-type"), "");
}

/// Returns true if the answer is an event stream whose events can be parsed,
/// that is, one without a content encoding.
bool HasReadableEvents(const std::vector<HeaderField>& headers) {
  return IsEventStream(FindHeader(headers, "content-type"),
                       FindHeader(headers, "content-encoding"));
}

}  // namespace

bool HoldsModel(const SideInfo& side, const std::string& model) {
  if (!side.is_engine || side.models.empty() || model.empty()) {
    return true;
  }
  return std::any_of(side.models.begin(), side.models.end(),
                     [&model](const std::string& it) {
                       return it.substr(0, it.find('@')) == model;
                     });
}

RouteResult LeastOutstanding(const CallerRequest& request,
                             const std::vector<Candidate>& candidates,
                             TimePoint /*now*/) {
  const Candidate* best = nullptr;
  for (const Candidate& it : candidates) {
    if (it.tried || it.other_software || !HoldsModel(*it.side, request.model)) {
      continue;
    }
    if (best == nullptr || it.outstanding < best->outstanding) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return RouteWait{};
  }
  return RouteTo{best->side->instance};
}

RequestFlow::RequestFlow(RequestFlowOptions options, RequestFlowHooks hooks,
                         IdSource ids)
    : options_(options),
      hooks_(std::move(hooks)),
      ids_(std::move(ids)),
      sides_(options.max_sides) {
  if (!hooks_.route) {
    hooks_.route = LeastOutstanding;
  }
  if (!hooks_.spend_retry) {
    hooks_.spend_retry = [this](const CallerRequest& request, AttemptReach,
                                TimePoint) {
      return BudgetOf(request).TryTake();
    };
  }
}

void RequestFlow::OnRequest(std::shared_ptr<const CallerRequest> request,
                            TimePoint now) {
  ++counts_.requests;
  const RequestId id = request->id;
  if (requests_.size() >= options_.max_requests) {
    ++counts_.not_run_refusals;
    actions_.push_back(AnswerRefusal{
        id,
        {503, RunState::kNotRun, "entry_overloaded",
         "This entry has reached its limit of open requests. Try again later.",
         std::chrono::seconds(1)}});
    return;
  }
  Request& it = requests_[id];
  it.request = std::move(request);
  if (it.request->origin) {
    it.stream_software = it.request->origin->software_version;
  }
  if (hooks_.check_quarantine) {
    if (auto refusal = hooks_.check_quarantine(*it.request, now)) {
      Refuse(it, std::move(*refusal), now);
      return;
    }
  }
  if (it.request->repeatability == Repeatability::kKeyed && hooks_.claim) {
    GateResult gate = hooks_.claim(*it.request, now);
    if (auto* refusal = std::get_if<Refusal>(&gate)) {
      Refuse(it, std::move(*refusal), now);
      return;
    }
    if (std::get<Gate>(gate) == Gate::kWait) {
      return;
    }
    it.claimed = true;
  }
  PassAdmission(it, now);
}

void RequestFlow::OnClaimGranted(const RequestId& id, TimePoint now) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.stage == Stage::kClaim) {
    it->second.claimed = true;
    PassAdmission(it->second, now);
  }
}

void RequestFlow::OnClaimAnswered(const RequestId& id, WholeAnswer answer,
                                  TimePoint now) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.stage == Stage::kClaim) {
    actions_.push_back(AnswerWhole{id, std::move(answer)});
    EraseRequest(it->second, now);
  }
}

void RequestFlow::OnAdmitted(const RequestId& id, TimePoint now) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.stage == Stage::kAdmission) {
    Route(it->second, now);
  }
}

void RequestFlow::OnGateRefused(const RequestId& id, Refusal refusal,
                                TimePoint now) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.stage != Stage::kRunning) {
    Refuse(it->second, std::move(refusal), now);
  }
}

void RequestFlow::PassAdmission(Request& it, TimePoint now) {
  it.stage = Stage::kAdmission;
  if (hooks_.admit) {
    GateResult gate = hooks_.admit(*it.request, now);
    if (auto* refusal = std::get_if<Refusal>(&gate)) {
      Refuse(it, std::move(*refusal), now);
      return;
    }
    if (std::get<Gate>(gate) == Gate::kWait) {
      return;
    }
  }
  Route(it, now);
}

bool RequestFlow::MayAnswer(const Request& it, const SideInfo& side) {
  const std::string& required =
      it.stream_software.empty() ? it.placed_software : it.stream_software;
  return required.empty() || required == side.software_version;
}

std::vector<Candidate> RequestFlow::CandidatesOf(
    const Request& it, const std::vector<std::string>& tried) const {
  std::vector<Candidate> candidates =
      sides_.CandidatesFor(it.request->deployment, tried);
  for (Candidate& candidate : candidates) {
    candidate.other_software = !MayAnswer(it, *candidate.side);
  }
  return candidates;
}

std::vector<Candidate> RequestFlow::CandidatesFor(const RequestId& id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? std::vector<Candidate>()
                               : CandidatesOf(it->second, {});
}

void RequestFlow::Route(Request& it, TimePoint now) {
  it.stage = Stage::kRoute;
  if (now >= DeadlineOf(it)) {
    Refuse(
        it,
        LateRefusal(
            it, "The deadline passed before a target could start the request."),
        now);
    return;
  }
  if (IsTooLongForStop(it, now)) {
    Refuse(it, StoppingRefusal(), now);
    return;
  }
  // An earlier attempt may have shown that the request crashes its targets.
  if (it.forwards > 0 && hooks_.check_quarantine) {
    if (auto refusal = hooks_.check_quarantine(*it.request, now)) {
      Refuse(it, std::move(*refusal), now);
      return;
    }
  }
  if (!MayRoute(it, now)) {
    return;
  }
  RouteResult result =
      hooks_.route(*it.request, CandidatesOf(it, it.tried), now);
  if (auto* refusal = std::get_if<Refusal>(&result)) {
    Refuse(it, std::move(*refusal), now);
    return;
  }
  if (const auto* to = std::get_if<RouteTo>(&result)) {
    const SideTable::Side* side = sides_.Find(to->instance);
    if (side != nullptr && side->link && MayAnswer(it, side->info)) {
      Start(it, *to, now);
      return;
    }
  }
  if (const auto* wait = std::get_if<RouteWait>(&result); wait && wait->held) {
    it.next_route_at = now + wait->again_after;
    return;
  }
  // Every target is unavailable or was tried. Wait for one to become available
  // and then allow the tried ones again. Without the delay, a request would use
  // up its forwards within milliseconds on targets whose state change is not
  // yet known to this entry, and be refused while another target could serve.
  if (!it.tried.empty()) {
    it.tried.clear();
    it.next_route_at = now + options_.retry_round_delay;
  }
  if (it.no_target_deadline == TimePoint{}) {
    it.no_target_deadline = now + options_.no_target_wait;
  }
  if (now >= it.no_target_deadline) {
    Refuse(it,
           {503, RunState::kNotRun, "no_target",
            "No target of deployment " + it.request->deployment +
                " can take the request now.",
            std::chrono::seconds(1)},
           now);
  }
}

void RequestFlow::Start(Request& it, const RouteTo& to, TimePoint now) {
  const std::string& instance = to.instance;
  SideTable::Side& side = *sides_.Find(instance);
  const AttemptId id{ids_()};
  it.stage = Stage::kRunning;
  const AttemptRef ref{id, side.info.incarnation, ++last_start_sequence_};
  it.attempt.emplace(ref, instance, options_.stream_window_bytes, now);
  it.attempt_software = side.info.software_version;
  NotePlaced(it);
  it.tried.push_back(instance);
  it.no_target_deadline = {};
  it.head_received = false;
  it.keep_answer = it.request->repeatability == Repeatability::kKeyed;
  it.answer = {};
  if (it.forwards++ == 0) {
    BudgetOf(*it.request).OnFirstAttempt();
  }
  ++counts_.forwards;
  attempts_[id] = it.request->id;
  side.attempts.insert(id);
  const Duration left = DeadlineOf(it) - now;
  actions_.push_back(SendStart{*side.link, id, it.request, left, left,
                               options_.stream_window_bytes, ref.start_sequence,
                               to.prefill_at,
                               it.cursor ? it.cursor->last_id() : ""});
  if (hooks_.on_sent) {
    hooks_.on_sent(*it.request, id, side.info, now);
  }
}

void RequestFlow::NotePlaced(Request& it) {
  const bool may_be_resumed =
      it.request->streamed && it.request->may_resume && !it.request->origin;
  if (may_be_resumed && hooks_.on_stream_placed && !it.stream_begun &&
      it.placed_software.empty() && !it.attempt_software.empty()) {
    it.placed_software = it.attempt_software;
    hooks_.on_stream_placed(*it.request, it.placed_software);
  }
}

bool RequestFlow::MayRoute(Request& it, TimePoint now) {
  if (it.placed_software.empty() || it.stream_begun) {
    return true;
  }
  const std::vector<Candidate> candidates = CandidatesOf(it, {});
  const bool any_left = std::any_of(
      candidates.begin(), candidates.end(),
      [](const Candidate& candidate) { return !candidate.other_software; });
  if (any_left) {
    return true;
  }
  if (hooks_.withdraw_placement && !hooks_.withdraw_placement(*it.request)) {
    it.next_route_at = now + kWithdrawInterval;
    return false;
  }
  it.placed_software.clear();
  return true;
}

std::optional<SideLink> RequestFlow::MoveAttempt(const AttemptId& id,
                                                 const std::string& instance) {
  const auto found = attempts_.find(id);
  SideTable::Side* to = sides_.Find(instance);
  if (found == attempts_.end() || to == nullptr ||
      !SideTable::AcceptsAttempts(*to)) {
    return std::nullopt;
  }
  Request& it = requests_.at(found->second);
  if (it.attempt->started() || !MayAnswer(it, to->info)) {
    return std::nullopt;
  }
  it.attempt_software = to->info.software_version;
  if (SideTable::Side* from = sides_.Find(it.attempt->instance())) {
    from->attempts.erase(id);
  }
  to->attempts.insert(id);
  it.tried.back() = instance;
  AttemptRef ref = it.attempt->ref();
  ref.side_incarnation = to->info.incarnation;
  it.attempt->ReassignTo(ref, instance);
  return to->link;
}

RequestFlow::Request* RequestFlow::FindAttempt(SideLink link,
                                               const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found != attempts_.end()) {
    Request& it = requests_.at(found->second);
    const SideTable::Side* side = sides_.Find(it.attempt->instance());
    if (side != nullptr && side->link == link) {
      return &it;
    }
  }
  ++counts_.foreign_frames;
  return nullptr;
}

bool RequestFlow::AcceptFrame(Request& it, SideLink link,
                              std::uint64_t sequence, TimePoint now) {
  switch (it.attempt->Accept(sequence, now)) {
    case FrameDisposition::kAccept:
      return true;
    case FrameDisposition::kDuplicate:
      ++counts_.duplicate_frames;
      return false;
    case FrameDisposition::kGap:
      ++counts_.gap_frames;
      if (now - it.attempt->resume_requested_at >= kMinResumeInterval) {
        RequestResume(it, link, now);
      }
      return false;
  }
  return false;
}

void RequestFlow::RequestResume(Request& it, SideLink link, TimePoint now) {
  Attempt& attempt = *it.attempt;
  attempt.resume_requested_at = now;
  attempt.unsent_credit = 0;
  ++counts_.resumes;
  actions_.push_back(SendResume{link, attempt.ref(), attempt.next_sequence(),
                                attempt.granted_bytes()});
}

void RequestFlow::OnHead(SideLink link, const AttemptId& id,
                         std::uint64_t sequence, int status,
                         std::vector<HeaderField> headers, TimePoint now) {
  Request* it = FindAttempt(link, id);
  if (it == nullptr || !AcceptFrame(*it, link, sequence, now)) {
    return;
  }
  if (hooks_.on_first_frame) {
    hooks_.on_first_frame(id, now);
  }
  if (!IsFinalStatus(status)) {
    EndAttempt(*it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
               MakeSideRefusal("invalid_status",
                               "The target's answer has an invalid status."),
               now);
    return;
  }
  if (it->cursor) {
    OnResumedHead(*it, status, headers, now);
    return;
  }
  it->head_received = true;
  it->head_received_at = now;
  it->answer.status = status;
  // A target cannot state the run state in the entry's name.
  std::erase_if(headers, [](const HeaderField& field) {
    return EqualsIgnoringCase(field.name, kRunStateHeader);
  });
  it->answer.headers = std::move(headers);
  if (IsStreamed(it->answer.headers)) {
    if (it->request->may_resume && status == kOk &&
        HasReadableEvents(it->answer.headers)) {
      it->cursor.emplace();
    }
    DeliverHead(*it);
  }
}

void RequestFlow::OnResumedHead(Request& it, int status,
                                const std::vector<HeaderField>& headers,
                                TimePoint now) {
  if (status == kOk && HasReadableEvents(headers)) {
    // The caller already has the head of the first target.
    it.head_received = true;
    return;
  }
  SideRefusal why;
  why.code = "resume_failed";
  why.detail = "Another target did not resume the stream.";
  FinishAttempt(it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed, why,
                /*retry=*/false, now);
}

void RequestFlow::OnChunk(SideLink link, const AttemptId& id,
                          std::uint64_t sequence, std::string data,
                          TimePoint now) {
  Request* it = FindAttempt(link, id);
  if (it != nullptr && AcceptFrame(*it, link, sequence, now)) {
    it->attempt->AddBody(data);
    Deliver(*it, std::move(data), now);
  }
}

void RequestFlow::Deliver(Request& it, std::string data, TimePoint /*now*/) {
  if (it.caller_gone) {
    GrantCredit(it, data.size());
  }
  if (!it.head_delivered) {
    it.answer.body += data;
    if (it.answer.body.size() > options_.max_buffered_bytes) {
      DeliverHead(it);
    }
    return;
  }
  if (it.cursor) {
    data = it.cursor->Feed(data);
    if (it.cursor->held_bytes() > options_.stream_window_bytes / 2) {
      // Buffered bytes earn no credit, so an event larger than the window would
      // block the stream. Send the partial event and give up on resuming, which
      // is not possible inside an event.
      data += it.cursor->TakePartial();
      it.cursor.reset();
    }
    if (data.empty()) {
      return;
    }
  }
  NoteStreamBegun(it);
  if (it.keep_answer) {
    it.keep_answer =
        it.answer.body.size() + data.size() <= options_.max_stored_answer_bytes;
    if (it.keep_answer) {
      it.answer.body += data;
    } else {
      it.answer.body = {};
    }
  }
  if (!it.caller_gone) {
    actions_.push_back(AnswerData{it.request->id, std::move(data)});
  }
}

void RequestFlow::NoteStreamBegun(Request& it) {
  if (!it.request->streamed || it.caller_gone ||
      std::exchange(it.stream_begun, true)) {
    return;
  }
  it.stream_software = it.attempt_software;
  if (hooks_.on_stream_begun) {
    hooks_.on_stream_begun(*it.request, it.stream_software);
  }
}

void RequestFlow::DeliverHead(Request& it) {
  if (it.head_delivered || !it.head_received) {
    return;
  }
  it.head_delivered = true;
  if (it.caller_gone) {
    return;
  }
  actions_.push_back(
      AnswerHead{it.request->id, it.answer.status, it.answer.headers});
  if (!it.answer.body.empty()) {
    NoteStreamBegun(it);
    actions_.push_back(AnswerData{it.request->id, it.answer.body});
  }
  if (!it.keep_answer) {
    it.answer = {};
  }
}

void RequestFlow::GrantCredit(Request& it, std::uint64_t bytes) {
  Attempt& attempt = *it.attempt;
  attempt.Grant(bytes);
  attempt.unsent_credit += bytes;
  const SideTable::Side* side = sides_.Find(attempt.instance());
  // Credit is sent in quarters of the window: often enough that the side never
  // waits for it, and seldom enough that its cost per token is negligible.
  if (attempt.unsent_credit * 4 < options_.stream_window_bytes ||
      side == nullptr || !side->link) {
    return;
  }
  actions_.push_back(
      SendCredit{*side->link, attempt.id(), attempt.unsent_credit});
  attempt.unsent_credit = 0;
}

void RequestFlow::OnAnswerBytesWritten(const RequestId& id, std::uint64_t bytes,
                                       TimePoint /*now*/) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.attempt) {
    GrantCredit(it->second, bytes);
  }
}

void RequestFlow::OnCreditNotSent(const AttemptId& id, std::uint64_t bytes) {
  const auto found = attempts_.find(id);
  if (found != attempts_.end()) {
    requests_.at(found->second).attempt->unsent_credit += bytes;
  }
}

}  // namespace indigolead
