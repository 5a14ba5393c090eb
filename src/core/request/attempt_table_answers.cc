// Implements the events from the target's thread, sending and expiry.
#include "core/request/attempt_table.h"

namespace indigolead {

void AttemptTable::OnCallHead(const AttemptId& id, int status,
                              HeaderList headers) {
  Attempt* attempt = Find(id);
  if (attempt == nullptr || attempt->ended) {
    return;
  }
  attempt->frames.AppendHead(status, std::move(headers));
  Send(attempt);
}

void AttemptTable::OnCallBody(const AttemptId& id, std::string&& data) {
  Attempt* attempt = Find(id);
  if (attempt == nullptr || attempt->ended) {
    return;
  }
  attempt->frames.AppendChunk(std::move(data));
  EvictFinished(last_event_time_);
  Send(attempt);
}

void AttemptTable::OnCallEnd(const AttemptId& id, CallOutcome outcome,
                             std::string detail, TimePoint now) {
  Attempt* attempt = Find(id);
  if (attempt == nullptr || attempt->ended) {
    return;
  }
  switch (outcome) {
    case CallOutcome::kComplete:
      End(attempt, RunOutcome::kComplete, std::move(detail), now);
      return;
    case CallOutcome::kNotWritten:
      RefuseHeldAttempt(attempt, RefusalReason::kTargetDown, std::move(detail),
                        now);
      return;
    case CallOutcome::kTooLate:
      RefuseHeldAttempt(attempt, RefusalReason::kTooLate, std::move(detail),
                        now);
      return;
    case CallOutcome::kCancelledBeforeWrite: {
      const auto reason = attempt->cancelled ? RefusalReason::kCancelledEarlier
                                             : RefusalReason::kTooLate;
      RefuseHeldAttempt(attempt, reason, std::move(detail), now);
      return;
    }
    case CallOutcome::kFailed:
      End(attempt, RunOutcome::kTargetFailed, std::move(detail), now);
      return;
    case CallOutcome::kTargetDied:
      End(attempt, RunOutcome::kTargetDied, std::move(detail), now);
      return;
    case CallOutcome::kTimeout:
      End(attempt, RunOutcome::kDeadline, std::move(detail), now);
      return;
    case CallOutcome::kCancelled:
      End(attempt,
          attempt->past_deadline ? RunOutcome::kDeadline
                                 : RunOutcome::kCancelled,
          std::move(detail), now);
      return;
  }
}

void AttemptTable::End(Attempt* attempt, RunOutcome outcome, std::string detail,
                       TimePoint now) {
  attempt->ended = true;
  attempt->ended_at = now;
  --running_;
  ++counts_.ended;
  paused_.erase(attempt->id);
  deadlines_.erase({attempt->finish_by, attempt->id});
  finished_.push_back(attempt->id);
  attempt->frames.AppendEnd(outcome, std::move(detail));
  Send(attempt);
  if (attempt->cancelled) {
    // The entry discards a cancelled answer, so the frames are freed at once.
    hooks_.send_state(attempt->link, {attempt->id, SideKnowledge::kFinished,
                                      attempt->frames.next_sequence()});
    attempt->frames.Clear();
  }
  EvictFinished(now);
}

// Frames of finished attempts are held in case the entry resumes them. They
// must not cause new attempts to be refused or running streams to be paused.
void AttemptTable::EvictFinished(TimePoint now) {
  last_event_time_ = now;
  while (finished_.size() > options_.max_finished ||
         (buffered_bytes_ >= options_.max_buffer_bytes && !finished_.empty())) {
    ForgetOldest(now);
  }
}

void AttemptTable::Send(Attempt* attempt) {
  if (PeerOf(attempt->link) != nullptr) {
    const bool all_sent =
        attempt->frames.Send([this, attempt](const AttemptFrame& frame) {
          return hooks_.send_frame(attempt->link, attempt->id, frame);
        });
    if (all_sent) {
      unsent_.erase(attempt->id);
    } else {
      unsent_.insert(attempt->id);
    }
  }
  UpdatePause(attempt);
}

void AttemptTable::UpdatePause(Attempt* attempt) {
  if (attempt->ended) {
    return;
  }
  // Resumes only at half the bound, to avoid pausing and resuming the target's
  // thread for every frame.
  const auto held = attempt->frames.held_bytes();
  const auto bound = options_.stream_buffer_bytes;
  const bool full = buffered_bytes_ >= options_.max_buffer_bytes;
  const bool was_paused = paused_.contains(attempt->id);
  const bool pause =
      held >= bound || (was_paused && held > bound / 2) || (full && held > 0);
  if (pause == was_paused) {
    return;
  }
  if (pause) {
    paused_.insert(attempt->id);
  } else {
    paused_.erase(attempt->id);
  }
  hooks_.pause_call(attempt->id, pause);
}

void AttemptTable::Tick(TimePoint now) {
  last_event_time_ = now;
  ExpireDeadlines(now);
  ForgetFinished(now);
  memory_.Tick(now);
  const std::vector<AttemptId> unsent(unsent_.begin(), unsent_.end());
  for (const auto& id : unsent) {
    if (Attempt* attempt = Find(id)) {
      Send(attempt);
    }
  }
  const std::vector<AttemptId> paused(paused_.begin(), paused_.end());
  for (const auto& id : paused) {
    UpdatePause(Find(id));
  }
}

void AttemptTable::ExpireDeadlines(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    Attempt* attempt = Find(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    if (!attempt->call_started) {
      RefuseHeldAttempt(attempt, RefusalReason::kTooLate, "body came too late",
                        now);
      continue;
    }
    attempt->past_deadline = true;
    hooks_.cancel_call(attempt->id);
  }
}

void AttemptTable::ForgetFinished(TimePoint now) {
  while (!finished_.empty()) {
    const Attempt* oldest = Find(finished_.front());
    if (now - oldest->ended_at < options_.finished_retention) {
      return;
    }
    ForgetOldest(now);
  }
}

void AttemptTable::ForgetOldest(TimePoint now) {
  const AttemptId id = finished_.front();
  finished_.pop_front();
  const Attempt* attempt = Find(id);
  memory_.Finish(attempt->peer, id, attempt->start_sequence, now);
  Erase(id);
}

bool AttemptTable::Idle() const {
  if (running_ > 0) {
    return false;
  }
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.cancelled && !attempt.frames.end_sent()) {
      return false;
    }
  }
  return true;
}

}  // namespace indigolead
