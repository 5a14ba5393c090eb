#include "tests/support/direct_simulation/messages.h"
#include "tests/support/direct_simulation/simulation.h"

namespace indigolead::testing::direct_simulation {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

Target* Simulation::FindTarget(const std::string& address) {
  for (const auto& it : targets_) {
    if (it->alive && it->record.address == address) {
      return it.get();
    }
  }
  return nullptr;
}

void Simulation::StartCall(const std::shared_ptr<Call>& call) {
  const std::string instance = FieldOf(call->request, kInstance);
  const std::string id = FieldOf(call->request, kId);
  if (!id.empty()) {
    RequestObservation& observation = observations_[id];
    observation.calls.push_back(call);
    if (entries_[call->entry].known_leaving.count(instance) > 0) {
      AddViolation("drain: " + id + " is sent to " + instance +
                   ", which is leaving");
    }
    if (observation.disconnected_at) {
      AddViolation("disconnected: " + id +
                   " is sent after its caller disconnected");
    }
  }
  time_.After(call->request.deadline,
              [this, call] { EndCall(call, ErrorCode::kTimeout); });
  const Target* target = FindTarget(call->address);
  if (!target || Chance(0.03)) {
    // The connection attempt times out or is refused.
    const bool hangs = Chance(0.5);
    time_.After(hangs ? kConnectTimeout : microseconds(300),
                [this, call] { EndCall(call, ErrorCode::kUnavailable); });
    return;
  }
  time_.After(RandomBetween(microseconds(100), milliseconds(3)), [this, call] {
    RunOnEntry(call->entry, call->process_number, [this, call] {
      if (!call->open || call->ended) {
        return;
      }
      if (call->hooks.on_before_write && !call->hooks.on_before_write()) {
        EndCall(call, ErrorCode::kUnavailable);
        return;
      }
      call->written = true;
      CheckNotices(*call);
      CountForLimit(*call);
      const std::string id = FieldOf(call->request, kId);
      if (!id.empty()) {
        RequestObservation& observation = observations_[id];
        Entry& entry = entries_[call->entry];
        const bool prefill = FieldOf(call->request, kOperation) == "prefill";
        int& count = prefill ? observation.prefills : observation.sends;
        const bool further = ++count > 1;
        entry.further[observation.service] += further ? 1 : 0;
        report_.retries += further && !prefill ? 1 : 0;
      }
      time_.After(Chance(0.02)
                      ? RandomBetween(milliseconds(100), seconds(1))
                      : RandomBetween(microseconds(100), milliseconds(2)),
                  [this, call] { OnCallArrival(call); });
    });
  });
}

void Simulation::EndCall(const std::shared_ptr<Call>& call, ErrorCode code) {
  RunOnEntry(call->entry, call->process_number, [call, code] {
    if (call->open && !call->ended) {
      call->ended = true;
      call->hooks.on_end(Error{code, "target.call", call->address, "world"});
    }
  });
}

void Simulation::SendBody(const std::shared_ptr<Call>& call, std::string data) {
  RunOnEntry(call->entry, call->process_number, [call, data = std::move(data)] {
    if (call->open && !call->ended) {
      call->hooks.on_body(data);
    }
  });
}

void Simulation::Answer(const std::shared_ptr<Call>& call, int status,
                        std::string body, std::vector<HttpHeader> headers) {
  headers.push_back({"Content-Length", std::to_string(body.size())});
  RunOnEntry(call->entry, call->process_number,
             [this, call, status, body = std::move(body),
              headers = std::move(headers)] {
               if (call->open && !call->ended) {
                 call->hooks.on_head(
                     status, WithNotices(*call, WithLimit(*call, headers)));
               }
               if (call->open && !call->ended && !body.empty()) {
                 call->hooks.on_body(body);
               }
               if (call->open && !call->ended) {
                 call->ended = true;
                 call->hooks.on_end(Unit{});
               }
             });
}

void Simulation::OnCallArrival(const std::shared_ptr<Call>& call) {
  if (!call->open && Chance(0.5)) {
    return;  // The call was closed before it arrived.
  }
  Target* target = FindTarget(call->address);
  if (!target) {
    EndCall(call, ErrorCode::kUnknownEffect);
    return;
  }
  if (target->frozen) {
    // Read when the target resumes, if ever, even if the entry has given up.
    time_.After(milliseconds(50), [this, call] { OnCallArrival(call); });
    return;
  }
  const std::string operation = FieldOf(call->request, kOperation);
  if (TryShed(call, *target)) {
    return;
  }
  if (operation == "release") {
    target->handles.erase(FieldOf(call->request, kSource));
    Answer(call, 200, "");
  } else if (FieldOf(call->request, kInstance) != target->record.id) {
    Answer(call, 421, "");
  } else if (operation == "prefill") {
    Prefill(call, target);
  } else {
    Run(call, target);
  }
}

void Simulation::Prefill(const std::shared_ptr<Call>& call, Target* target) {
  if (target->record.role != EngineRole::kPrefill) {
    Answer(call, 421, "");
    return;
  }
  if (Chance(0.04)) {
    Answer(call, Chance(0.5) ? 503 : 500, "");
    return;
  }
  if (Chance(0.03)) {
    EndCall(call, ErrorCode::kUnknownEffect);
    return;
  }
  if (Chance(0.02)) {
    return;  // No answer is sent.
  }
  const std::string handle = "h" + std::to_string(++target->handles_made);
  target->handles.insert(handle);
  time_.After(RandomBetween(milliseconds(5), milliseconds(200)),
              [this, call, handle] { Answer(call, 200, handle); });
}

bool Simulation::ConsumeHandle(const std::string& source) {
  const auto slash = source.find('/');
  Target* from = FindTarget(source.substr(0, slash));
  return from && from->handles.erase(source.substr(slash + 1)) > 0;
}

void Simulation::CountRun(const std::string& id) {
  RequestObservation& observation = observations_[id];
  ++observation.runs;
  const bool may_run_once =
      observation.kind == Kind::kUnsafe || observation.kind == Kind::kStream;
  if (may_run_once && observation.runs > 1) {
    AddViolation("twice: " + id + " runs " + std::to_string(observation.runs) +
                 " times");
  }
  if (may_run_once && observation.reported_not_run) {
    AddViolation("denied: " + id + " runs after it was reported as not run");
  }
  if (observation.runs > static_cast<int>(kMaxAttempts)) {
    AddViolation("attempts: " + id + " runs " +
                 std::to_string(observation.runs) + " times");
  }
}

void Simulation::Run(const std::shared_ptr<Call>& call, Target* target) {
  const std::string id = FieldOf(call->request, kId);
  const bool is_engine = target->record.service == "llm";
  if (is_engine && target->record.role == EngineRole::kPrefill) {
    Answer(call, 421, "");
    return;
  }
  const std::string source = FieldOf(call->request, kSource);
  if (Chance(0.04) || (!source.empty() && !ConsumeHandle(source))) {
    Answer(call, 503, "");
    return;
  }
  CountRun(id);
  const double fault = ToUnitInterval(random_());
  if (fault < 0.03) {
    EndCall(call, ErrorCode::kUnknownEffect);  // The answer is lost.
    return;
  }
  if (fault < 0.05) {
    return;  // No answer is ever sent.
  }
  if (fault < 0.07) {
    time_.After(milliseconds(10), [this, call] { Answer(call, 500, "oops"); });
    return;
  }
  if (!is_engine) {
    time_.After(RandomBetween(milliseconds(1), milliseconds(60)),
                [this, call, id] { Answer(call, 200, WholeAnswerText(id)); });
    return;
  }
  const std::string resume = FieldOf(call->request, kResume);
  const int first = resume.empty() ? 1 : std::stoi(resume) + 1;
  report_.resumed += resume.empty() ? 0 : 1;
  const int breaks_at =
      Chance(0.1) ? first + static_cast<int>(RandomBelow(4)) : 1000000;
  time_.After(RandomBetween(milliseconds(1), milliseconds(80)), [this, call, id,
                                                                 first,
                                                                 breaks_at] {
    RunOnEntry(call->entry, call->process_number, [this, call] {
      if (call->open && !call->ended) {
        call->hooks.on_head(
            200, WithNotices(*call, WithLimit(*call, {{"Content-Type",
                                                       "text/event-stream"}})));
      }
    });
    StreamEvent(call, id, first, breaks_at);
  });
}

void Simulation::StreamEvent(const std::shared_ptr<Call>& call,
                             const std::string& id, int number, int breaks_at) {
  if (!call->open || call->ended) {
    return;
  }
  if (number > EventCount(id)) {
    RunOnEntry(call->entry, call->process_number, [call] {
      if (call->open && !call->ended) {
        call->ended = true;
        call->hooks.on_end(Unit{});
      }
    });
    return;
  }
  const std::string event = EventText(id, number);
  if (number == breaks_at) {
    SendBody(call, event.substr(0, RandomBelow(event.size())));
    EndCall(call, ErrorCode::kUnknownEffect);
    return;
  }
  SendBody(call, event);
  time_.After(RandomBetween(milliseconds(2), milliseconds(30)),
              [this, call, id, number, breaks_at] {
                StreamEvent(call, id, number + 1, breaks_at);
              });
}

}  // namespace indigolead::testing::direct_simulation
