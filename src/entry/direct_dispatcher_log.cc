// Log lines and metrics about the ends of requests.

#include <algorithm>
#include <utility>

#include "core/request/answer_end.h"
#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void DirectDispatcher::LogEnd(const RequestAction& action) {
  if (const auto* head = std::get_if<AnswerHead>(&action)) {
    const auto it = open_requests_.find(head->request);
    if (it != open_requests_.end()) {
      it->second.streaming = true;
      answer_seconds_.Record(
          Seconds(clock_() - it->second.request->received_at));
    }
  } else if (const auto* data = std::get_if<AnswerData>(&action)) {
    NoteBytes(data->request);
  } else if (const auto* end = std::get_if<AnswerEnd>(&action)) {
    LogAnswered(end->request, 200);
  } else if (const auto* whole = std::get_if<AnswerWhole>(&action)) {
    LogAnswered(whole->request, whole->answer.status);
  } else if (const auto* refusal = std::get_if<AnswerRefusal>(&action)) {
    LogRefused(refusal->request, refusal->refusal);
  } else if (const auto* abort = std::get_if<AnswerAbort>(&action)) {
    LogRefused(abort->request, abort->refusal);
  }
}

void DirectDispatcher::NoteBytes(const RequestId& id) {
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return;
  }
  OpenRequest& open = it->second;
  const TimePoint now = clock_();
  if (open.first_at) {
    open.longest_pause = std::max(open.longest_pause, now - open.latest_at);
  }
  if (!open.first_at) {
    open.first_at = now;
    NoteRunStarted(&open, now);
  }
  open.latest_at = now;
  NoteOutlived(&open, now);
}

// Streams may last for minutes, so their ends alone would clear their prompt
// parts too late.
void DirectDispatcher::NoteOutlived(OpenRequest* open, TimePoint now) {
  const bool outlived =
      open->first_at && now - *open->first_at >= options_.outlived_after;
  if (outlived && !std::exchange(open->outlived, true) && hooks_.on_outlived) {
    hooks_.on_outlived(RunningRequestOf(*open->request));
  }
}

void DirectDispatcher::NoteRunStarted(OpenRequest* open, TimePoint at) {
  if (!std::exchange(open->run_started, true) && hooks_.on_run_started) {
    hooks_.on_run_started(*open->request, at);
  }
}

// A generation starts to run with its first token, the first sign of it that
// reaches the entry. Any other request starts when its target receives it,
// which the entry learns only at the end of the request.
void DirectDispatcher::NoteEndedRun(OpenRequest* open) {
  const bool generation = !open->request->prompt_parts.empty();
  if (!generation && open->sent_at) {
    NoteRunStarted(open, *open->sent_at);
  }
}

void DirectDispatcher::LogAnswered(const RequestId& id, int status) {
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return;
  }
  NoteEndedRun(&it->second);
  if (status < kMinFailureStatus) {
    NoteRunStarted(&it->second,
                   clock_());  // For an answer that was not streamed.
    if (!it->second.doubtful && hooks_.on_answered) {
      hooks_.on_answered(RunningRequestOf(*it->second.request));
    }
  }
  const OpenRequest& open = it->second;
  const Duration after = clock_() - open.request->received_at;
  answered_.Add();
  accounts_.OnAnswered(open.request->client_account);
  if (!open.streaming) {
    answer_seconds_.Record(Seconds(after));
  }
  EventFields fields{{"request", open.request->caller_id},
                     {"route", open.request->route},
                     {"account", open.request->client_account},
                     {"status", std::to_string(status)},
                     {"target", open.last_target},
                     {"attempts", std::to_string(open.attempts)},
                     {"after_ms", FormatMilliseconds(after)}};
  if (open.first_at) {
    const Duration first = *open.first_at - open.request->received_at;
    fields.emplace_back("first_ms", FormatMilliseconds(first));
    fields.emplace_back("longest_pause_ms",
                        FormatMilliseconds(open.longest_pause));
  }
  log_(kRequestAnswered, fields);
  CloseRequest(id);
}

void DirectDispatcher::LogRefused(const RequestId& id, const Refusal& refusal) {
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return;
  }
  if (refusal.run != RunState::kNotRun) {
    NoteEndedRun(&it->second);
  }
  const OpenRequest& open = it->second;
  const Duration after = clock_() - open.request->received_at;
  (refusal.run == RunState::kNotRun ? refused_ : broken_).Add();
  accounts_.OnFailed(open.request->client_account);
  refusal_seconds_.Record(Seconds(after));
  log_(kRequestRefused,
       {{"request", open.request->caller_id},
        {"route", open.request->route},
        {"account", open.request->client_account},
        {"code", refusal.code},
        {"run", std::string(RunStateName(refusal.run))},
        {"target", open.last_target},
        {"attempts", std::to_string(open.attempts)},
        {"retry_after_ms", FormatMilliseconds(refusal.retry_after)},
        {"after_ms", FormatMilliseconds(after)},
        {"detail", refusal.message}});
  CloseRequest(id);
}

void DirectDispatcher::CloseRequest(const RequestId& id) {
  open_requests_.erase(id);
}

void DirectDispatcher::LogRetry(const CallerRequest& request, double arrivals,
                                double left, bool granted) {
  const std::string list_age =
      entries_.listed_at ? FormatMilliseconds(clock_() - *entries_.listed_at)
                         : "none";
  log_(kRetryCharged,
       {{"request", request.caller_id},
        {"service", request.deployment},
        {"arrivals", std::to_string(static_cast<int>(arrivals))},
        {"left", std::to_string(left)},
        {"most",
         std::to_string(BudgetOf(request.deployment).MaxSaved(clock_()))},
        {"entries", std::to_string(entries_.names.size())},
        {"list_age_ms", list_age},
        {"outcome", granted ? "granted" : "denied"}});
}

}  // namespace indigolead
