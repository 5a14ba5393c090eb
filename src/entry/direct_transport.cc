#include "entry/direct_transport.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

std::vector<HeaderField> ToFields(std::vector<HttpHeader> headers) {
  std::vector<HeaderField> fields;
  fields.reserve(headers.size());
  for (HttpHeader& it : headers) {
    fields.push_back({std::move(it.name), std::move(it.value)});
  }
  return fields;
}

std::string_view RoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kMixed:
      break;
  }
  return "mixed";
}

/// Returns true if no byte of a call with this error was written.
bool IsUnsent(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kOverloaded;
}

}  // namespace

/// Running checksum of a body for its end frame.
struct DirectTransport::Run::Checksum {
  Checksum() : state(XXH64_createState()) { XXH64_reset(state, 0); }
  ~Checksum() { XXH64_freeState(state); }
  Checksum(const Checksum&) = delete;
  Checksum& operator=(const Checksum&) = delete;

  XXH64_state_t* state;
};

DirectTransport::DirectTransport(boost::asio::io_context* io, RequestFlow* flow,
                                 Options options, TargetDialect dialect,
                                 Hooks hooks, Clock clock, EventLog log)
    : io_(io),
      flow_(flow),
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)) {}

DirectTransport::~DirectTransport() = default;

SideInfo DirectTransport::InfoOf(const TargetRecord& record) {
  SideInfo info;
  info.instance = record.id;
  const std::uint64_t hash = XXH64(record.id.data(), record.id.size(), 0);
  info.incarnation = Incarnation{{hash, hash}};
  info.failure_domain = record.failure_domain;
  info.deployment = record.service;
  info.software_version = record.software_version;
  info.role = RoleName(record.role);
  return info;
}

void DirectTransport::Add(const TargetRecord& record) {
  Target& target = targets_[record.id];
  target.record = record;
  target.link = SideLink{++next_link_};
  RenewClient(&target);
  flow_->OnSideUp(target.link, InfoOf(record), clock_());
  flow_->OnLeaving(record.id, record.leaving, clock_());
}

void DirectTransport::OnTarget(const TargetChange& change) {
  const TargetRecord& record = change.target;
  const TimePoint now = clock_();
  switch (change.kind) {
    case TargetChange::Kind::kAdded:
      Add(record);
      break;
    case TargetChange::Kind::kUpdated:
      if (const auto it = targets_.find(record.id); it != targets_.end()) {
        it->second.record = record;
        flow_->OnSideChanged(it->second.link, InfoOf(record), now);
      }
      break;
    case TargetChange::Kind::kRestarted:
      Restart(record);
      break;
    case TargetChange::Kind::kLeaving:
      flow_->OnLeaving(record.id, true, now);
      break;
    case TargetChange::Kind::kReturned:
      flow_->OnLeaving(record.id, false, now);
      break;
    case TargetChange::Kind::kRemoved:
      if (const auto it = targets_.find(record.id); it != targets_.end()) {
        flow_->OnSideDown(it->second.link, now);
        flow_->OnLeaving(record.id, false, now);
        targets_.erase(it);
      }
      break;
  }
  Flush();
}

void DirectTransport::Restart(const TargetRecord& record) {
  const auto it = targets_.find(record.id);
  if (it == targets_.end()) {
    return;
  }
  it->second.record = record;
  // Pooled connections belong to the previous run: a request written to one is
  // lost and may not be repeated. A new client starts without connections.
  // Open calls are left to end on their own, since it is unknown which run
  // received them; the new run may be answering them.
  RenewClient(&it->second);
  flow_->OnSideChanged(it->second.link, InfoOf(record), clock_());
}

TargetClient* DirectTransport::ClientOf(const std::string& instance) {
  const auto it = targets_.find(instance);
  return it == targets_.end() ? nullptr : it->second.client.get();
}

TargetClient* DirectTransport::ClientForExtraCall(const std::string& instance) {
  if (hooks_.may_write && !IsOk(hooks_.may_write(instance, false))) {
    return nullptr;
  }
  TargetClient* client = ClientOf(instance);
  if (client && hooks_.on_extra_call) {
    hooks_.on_extra_call(instance);
  }
  return client;
}

const TargetRecord* DirectTransport::FindTarget(
    const std::string& instance) const {
  const auto it = targets_.find(instance);
  return it == targets_.end() ? nullptr : &it->second.record;
}

DirectTransport::Run* DirectTransport::Find(const AttemptId& id) {
  const auto it = runs_.find(id);
  return it == runs_.end() ? nullptr : &it->second;
}

bool DirectTransport::MayHaveStarted(const AttemptId& attempt) const {
  const auto it = runs_.find(attempt);
  return it == runs_.end() || it->second.written;
}

void DirectTransport::Act(const SendStart& action) {
  const SideInfo* side = flow_->FindSide(action.link);
  if (!side || !ClientOf(side->instance)) {
    flow_->OnStartNotSent(action.attempt, clock_());
    return;
  }
  Run& run = runs_[action.attempt];
  run.link = action.link;
  run.instance = side->instance;
  run.prefill_instance = action.prefill_at;
  run.request = action.request;
  run.deadline = clock_() + action.finish_within;
  run.resume_after = action.resume_after;
  run.credit = action.initial_credit_bytes;
  run.checksum = std::make_shared<Run::Checksum>();
  if (action.prefill_at.empty()) {
    StartRun(action.attempt);
  } else {
    StartPrefill(action.attempt, action.prefill_at);
  }
}

void DirectTransport::StartPrefill(const AttemptId& id, const std::string& at) {
  Run& run = runs_.at(id);
  TargetClient* client = ClientOf(at);
  if (!client) {
    RefuseRun(id, {"prefill_gone", AttemptReach::kNothing,
                   "the engine chosen for prefill has been removed"});
    return;
  }
  run.called = FindTarget(at)->run;
  run.called_at = clock_();
  TargetRequest call =
      dialect_.prefill(*run.request, *FindTarget(at),
                       {PrefillWait(run.deadline - clock_()), std::nullopt,
                        run.resume_after, CopyAddress(id)});
  call.is_new_work = true;
  run.call = FetchAnswer(client, std::move(call), options_.max_handle_bytes,
                         [this, id, at](const Result<TargetAnswer>& answer) {
                           OnHandle(id, at, answer);
                           Flush();
                         });
}

std::string DirectTransport::CopyAddress(const AttemptId& id) const {
  const std::string from = hooks_.copy_source ? hooks_.copy_source(id) : "";
  const TargetRecord* target = from.empty() ? nullptr : FindTarget(from);
  return target ? target->address : "";
}

Duration DirectTransport::PrefillWait(Duration left) const {
  const auto share =
      std::chrono::duration_cast<Duration>(left * options_.max_prefill_share);
  return std::min(left, std::max(share, options_.max_prefill_wait));
}

void DirectTransport::OnHandle(const AttemptId& id,
                               const std::string& prefill_instance,
                               const Result<TargetAnswer>& answer) {
  Run* run = Find(id);
  if (!run) {
    return;
  }
  ReportCallEnd(prefill_instance, run->called,
                IsOk(answer) ? Status(Unit{}) : Status(ErrorOf(answer)));
  if (!IsOk(answer)) {
    const Error& error = ErrorOf(answer);
    const bool unsent = IsUnsent(error);
    ReportBrokenRequest(prefill_instance, *run, error);
    RefuseRun(id,
              {"prefill_failed",
               unsent ? AttemptReach::kNothing : AttemptReach::kPrefillEngine,
               ToString(error)});
    return;
  }
  ReportLimit(prefill_instance, *run, ValueOf(answer).status,
              ValueOf(answer).headers);
  const TargetRecord* target = FindTarget(prefill_instance);
  const Result<KvHandle> handle =
      target ? dialect_.read_handle(*target, ValueOf(answer))
             : Result<KvHandle>(Error{ErrorCode::kNotFound, "target.prefill",
                                      prefill_instance,
                                      "the engine has been removed"});
  if (!IsOk(handle)) {
    const bool full = ErrorOf(handle).code == ErrorCode::kOverloaded;
    RefuseRun(id, {"prefill_refused", AttemptReach::kPrefillEngine,
                   ToString(ErrorOf(handle)), full});
    return;
  }
  run->handle = ValueOf(handle);
  hooks_.on_prefilled(id);
  if (MoveToDecodeTarget(id, run)) {
    StartRun(id);
  } else {
    RefuseRun(id, {"no_runner", AttemptReach::kPrefillEngine,
                   "no engine can decode the answer now", true});
  }
}

bool DirectTransport::MoveToDecodeTarget(const AttemptId& id, Run* run) {
  const auto decode_target = hooks_.choose_decode_target(id, *run->request);
  if (!decode_target) {
    return false;
  }
  const auto link = flow_->MoveAttempt(id, *decode_target);
  if (!link) {
    return false;
  }
  run->link = *link;
  run->instance = *decode_target;
  return true;
}

// An engine that changes its role refuses requests that have not started, for
// seconds, without notice to the entries. A full retry would discard the
// prefilled prompt and refuse the caller or prefill again. The KV cache is
// still on the prefill engine, so another engine can decode from it: that costs
// one arrival instead of two, and none if the first engine was unreachable.
bool DirectTransport::RetryDecode(const AttemptId& id, Run* run,
                                  const std::string& why) {
  if (!run->handle || run->decode_targets >= options_.max_decode_targets) {
    return false;
  }
  const bool charged = run->written;
  if (charged && !hooks_.try_charge_arrival(*run->request)) {
    return false;
  }
  const std::string before = run->instance;
  hooks_.on_decode_refused(id);
  if (!MoveToDecodeTarget(id, run)) {
    if (charged) {
      hooks_.on_arrival_canceled(*run->request);
    }
    return false;
  }
  log_(kRunnerRefused, {{"request", run->request->caller_id},
                        {"target", before},
                        {"next", run->instance},
                        {"detail", why}});
  run->withheld.reset();
  run->withheld_timer.reset();
  run->written = false;
  StartRun(id);
  return true;
}

void DirectTransport::StartRun(const AttemptId& id) {
  Run& run = runs_.at(id);
  ++run.decode_targets;
  TargetClient* client = ClientOf(run.instance);
  if (!client) {
    RefuseRun(id, {"target_gone", ReachBeforeRun(run),
                   "the target has been removed"});
    return;
  }
  TargetClient::Hooks hooks;
  hooks.on_before_write = [this, id] {
    if (Run* it = Find(id)) {
      it->written = true;
      return true;
    }
    return false;
  };
  hooks.on_head = [this, id](int status, std::vector<HttpHeader> headers) {
    OnHead(id, status, std::move(headers));
  };
  hooks.on_body = [this, id](std::string_view data) { OnBody(id, data); };
  hooks.on_body_end = [this, id](const AnswerBodyEnd& end) {
    OnBodyEnd(id, end);
  };
  hooks.on_end = [this, id](const Status& status) {
    OnEnd(id, status);
    Flush();
  };
  run.called = FindTarget(run.instance)->run;
  run.called_at = clock_();
  TargetRequest call =
      dialect_.run(*run.request, *FindTarget(run.instance),
                   {run.deadline - clock_(), run.handle, run.resume_after});
  call.is_new_work = true;
  run.call = client->Start(std::move(call), std::move(hooks));
}

void DirectTransport::OnHead(const AttemptId& id, int status,
                             std::vector<HttpHeader> headers) {
  Run* run = Find(id);
  if (!run) {
    return;
  }
  if (dialect_.is_proved && !dialect_.is_proved(status, headers)) {
    run->call.reset();
    ReportStray(run->instance, StrayAnswer::kUnproved);
    OnEnd(id, Error{ErrorCode::kUnknownEffect, "target.answer", run->instance,
                    "the success is not proved to be the target's"});
    Flush();
    return;
  }
  const AnswerMeaning meaning = dialect_.meaning(status, headers);
  ReportLimit(run->instance, *run, status, headers);
  run->status = status;
  if (meaning != AnswerMeaning::kAnswer) {
    // Reported when the answer has been read, to keep the connection reusable.
    run->withheld = meaning;
    BoundWithheldAnswer(id, run);
    return;
  }
  run->handle.reset();
  if (run->next_sequence == 0) {
    hooks_.on_answering(id);
  }
  const std::uint64_t sequence = run->next_sequence++;
  flow_->OnHead(run->link, id, sequence, status, ToFields(std::move(headers)),
                clock_());
  Flush();
}

void DirectTransport::BoundWithheldAnswer(const AttemptId& id, Run* run) {
  run->withheld_timer = std::make_unique<boost::asio::steady_timer>(*io_);
  run->withheld_timer->expires_after(options_.max_refusal_wait);
  run->withheld_timer->async_wait(
      [this, id](const boost::system::error_code& ec) {
        Run* it = ec ? nullptr : Find(id);
        if (it && it->withheld) {
          it->call.reset();
          OnEnd(id, Unit{});
          Flush();
        }
      });
}

void DirectTransport::OnBody(const AttemptId& id, std::string_view data) {
  Run* run = Find(id);
  if (!run || run->withheld) {
    return;
  }
  XXH64_update(run->checksum->state, data.data(), data.size());
  run->body_bytes += data.size();
  if (run->body_bytes >= run->credit && !run->paused && run->call) {
    // The caller reads more slowly than the target sends. Pausing bounds the
    // data buffered here.
    run->paused = true;
    run->call->PauseReading(true);
  }
  const std::uint64_t sequence = run->next_sequence++;
  flow_->OnChunk(run->link, id, sequence, std::string(data), clock_());
  Flush();
}

void DirectTransport::OnBodyEnd(const AttemptId& id, const AnswerBodyEnd& end) {
  const Run* run = Find(id);
  if (!run || !MayBeTruncated(end)) {
    return;
  }
  log_(kAnswerEndDoubtful,
       {{"request", run->request->caller_id},
        {"target", run->instance},
        {"fingerprint", FingerprintText(run->request->fingerprint)},
        {"parts", SharedPartsText(run->request->prompt_parts)},
        {"status", std::to_string(end.status)},
        {"framing", std::string(NameOf(end.framing))},
        {"bytes", std::to_string(end.body_bytes)},
        {"position", std::string(end.position ? NameOf(*end.position) : "")}});
  if (hooks_.on_doubtful_end) {
    hooks_.on_doubtful_end(run->instance, run->called, *run->request, end);
  }
}

void DirectTransport::OnEnd(const AttemptId& id, const Status& status) {
  Run* run = Find(id);
  if (!run) {
    return;
  }
  ReportCallEnd(run->instance, run->called, status);
  if (run->withheld) {
    EndWithheld(id, run);
    return;
  }
  AttemptEnd end;
  end.sequence = run->next_sequence;
  end.body_bytes = run->body_bytes;
  end.body_checksum = XXH64_digest(run->checksum->state);
  if (!IsOk(status)) {
    const Error& error = ErrorOf(status);
    if (!run->written) {
      const bool held_back = error.code == ErrorCode::kOverloaded;
      if (!RetryDecode(id, run, ToString(error))) {
        RefuseRun(id, {held_back ? "call_held_back" : "target_unreachable",
                       ReachBeforeRun(*run), ToString(error), held_back});
      }
      return;
    }
    end.outcome = error.code == ErrorCode::kTimeout
                      ? AttemptOutcome::kDeadline
                      : AttemptOutcome::kTargetFailed;
    end.detail = error.detail;
    ReportBrokenRequest(run->instance, *run, error);
    if (error.code == ErrorCode::kTimeout) {
      ReportAbandonedRequest(*run);
    }
    log_(kTargetBroke,
         {{"request", run->request->caller_id},
          {"target", run->instance},
          {"fingerprint", FingerprintText(run->request->fingerprint)},
          {"parts", SharedPartsText(run->request->prompt_parts)},
          {"error", ToString(error)}});
  }
  const SideLink link = run->link;
  runs_.erase(id);
  flow_->OnEnd(link, id, end, clock_());
}

void DirectTransport::EndWithheld(const AttemptId& id, Run* run) {
  const std::string detail =
      "the target answered " + std::to_string(run->status);
  if (*run->withheld == AnswerMeaning::kUnknown) {
    log_(kAnswerWithheld, {{"request", run->request->caller_id},
                           {"target", run->instance},
                           {"status", std::to_string(run->status)}});
    AttemptEnd end;
    end.sequence = run->next_sequence;
    end.outcome = AttemptOutcome::kTargetFailed;
    end.detail = detail;
    const SideLink link = run->link;
    runs_.erase(id);
    flow_->OnEnd(link, id, end, clock_());
    return;
  }
  const bool full = *run->withheld == AnswerMeaning::kNotRun;
  if (!RetryDecode(id, run, detail)) {
    RefuseRun(id, {full ? "target_full" : "wrong_target", AttemptReach::kTarget,
                   detail, full});
  }
}

void DirectTransport::ReportCallEnd(const std::string& instance,
                                    const std::optional<TargetRun>& called,
                                    const Status& status) {
  const TargetRecord* target = FindTarget(instance);
  if (target && target->run != called) {
    return;  // The call went to a previous run of the target.
  }
  const bool inconclusive =
      !IsOk(status) && (ErrorOf(status).code == ErrorCode::kTimeout ||
                        ErrorOf(status).code == ErrorCode::kOverloaded);
  if (hooks_.on_call_end && !inconclusive) {
    hooks_.on_call_end(instance, !IsOk(status));
  }
}

AttemptReach DirectTransport::ReachBeforeRun(const Run& run) {
  return run.prefill_instance.empty() ? AttemptReach::kNothing
                                      : AttemptReach::kPrefillEngine;
}

void DirectTransport::RefuseRun(const AttemptId& id, RunRefusal why) {
  const auto node = runs_.extract(id);
  const Run& run = node.mapped();
  if (run.handle) {
    ReleaseHandle(*run.handle);
  }
  log_(kAttemptRefused, {{"request", run.request->caller_id},
                         {"target", run.instance},
                         {"reader", run.prefill_instance},
                         {"cause", why.code},
                         {"detail", why.detail}});
  SideRefusal refusal;
  refusal.code = std::move(why.code);
  refusal.overloaded = why.overloaded;
  refusal.detail = std::move(why.detail);
  refusal.reach = why.reach;
  flow_->OnRefused(run.link, id, refusal, clock_());
}

void DirectTransport::ReleaseHandle(const KvHandle& handle) {
  const auto held_at =
      std::find_if(targets_.begin(), targets_.end(), [&handle](const auto& it) {
        return it.second.record.address == handle.source_address;
      });
  TargetClient* client =
      held_at == targets_.end() ? nullptr : ClientForExtraCall(held_at->first);
  if (!client) {
    return;  // An unreleased handle expires.
  }
  TargetRequest request = dialect_.release(handle);
  request.deadline = options_.release_deadline;
  StartExtraCall(client, std::move(request),
                 [](const Result<TargetAnswer>&) {});
}

void DirectTransport::ProbeTarget(const std::string& instance,
                                  std::function<void(const Status&)> done) {
  TargetClient* client = ClientForExtraCall(instance);
  if (!client || !dialect_.liveness_probe) {
    return;
  }
  const TargetRecord target = *FindTarget(instance);
  StartExtraCall(
      client, dialect_.liveness_probe(target),
      [this, target, done = std::move(done)](const Result<TargetAnswer>& it) {
        if (!IsOk(it)) {
          done(ErrorOf(it));
        } else if (dialect_.read_liveness) {
          done(dialect_.read_liveness(target, ValueOf(it)));
        } else {
          done(Unit{});
        }
      });
}

void DirectTransport::StartExtraCall(
    TargetClient* client, TargetRequest request,
    std::function<void(const Result<TargetAnswer>&)> done) {
  const std::uint64_t number = ++next_extra_call_;
  extra_calls_[number] = FetchAnswer(
      client, std::move(request), options_.max_handle_bytes,
      [this, number, done = std::move(done)](const Result<TargetAnswer>& it) {
        // Deferred, because the call must not be destroyed in its own callback.
        boost::asio::post(*io_, [this, number] { extra_calls_.erase(number); });
        done(it);
      });
}

void DirectTransport::ReportBrokenRequest(const std::string& instance,
                                          const Run& run, const Error& error) {
  if (error.code == ErrorCode::kUnknownEffect && hooks_.on_request_broke) {
    hooks_.on_request_broke(instance, run.called, *run.request);
  }
}

void DirectTransport::ReportAbandonedRequest(const Run& run) {
  if (hooks_.on_request_abandoned) {
    hooks_.on_request_abandoned(run.instance, run.called, *run.request);
  }
}

std::vector<std::shared_ptr<const CallerRequest>>
DirectTransport::OpenRequestsAt(const std::string& instance,
                                const std::optional<TargetRun>& run) const {
  std::vector<std::shared_ptr<const CallerRequest>> requests;
  for (const auto& [id, it] : runs_) {
    if (it.written && it.instance == instance && it.called == run) {
      requests.push_back(it.request);
    }
  }
  return requests;
}

void DirectTransport::Act(const SendCredit& action) {
  Run* run = Find(action.attempt);
  if (!run) {
    return;
  }
  run->credit += action.bytes;
  if (run->paused && run->body_bytes < run->credit) {
    run->paused = false;
    run->call->PauseReading(false);
  }
}

void DirectTransport::Act(const SendCancel& action) {
  // Destroying the call closes its connection, which stops the target.
  const auto node = runs_.extract(action.ref.attempt);
  if (node.empty()) {
    return;
  }
  const Run& run = node.mapped();
  if (run.written) {
    ReportAbandonedRequest(run);
  } else if (run.handle) {
    ReleaseHandle(*run.handle);
  }
}

void DirectTransport::Act(const SendResume& action) {
  const Run* run = Find(action.ref.attempt);
  flow_->OnKnowledge(action.link, action.ref.attempt,
                     run ? AttemptKnowledge::kRunning : AttemptKnowledge::kLost,
                     run ? run->next_sequence : action.next_sequence, clock_());
}

void DirectTransport::Flush() {
  if (hooks_.flush) {
    hooks_.flush();
  }
}

}  // namespace indigolead
