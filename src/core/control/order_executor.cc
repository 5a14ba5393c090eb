#include "core/control/order_executor.h"

#include <algorithm>
#include <utility>

namespace indigolead {

bool SameSetup(const EngineSetup& a, const EngineSetup& b) {
  return a.role == b.role && a.model == b.model && a.version == b.version &&
         std::is_permutation(a.adapters.begin(), a.adapters.end(),
                             b.adapters.begin(), b.adapters.end());
}

OrderExecutor::OrderExecutor(std::string target, Options options, Hooks hooks)
    : target_(std::move(target)), options_(options), hooks_(std::move(hooks)) {}

std::uint64_t OrderExecutor::generation_in_force() const {
  const bool in_force = report_ && report_->phase == OrderPhase::kInForce;
  return in_force ? report_->generation : 0;
}

void OrderExecutor::OnNumber(FencingNumber number, TimePoint now) {
  number_known_ = true;
  newest_ = std::max(newest_, number);
  // An order that has not been written ends with its fencing number. One that
  // may have been written is followed to its end, because the engine cannot
  // cancel it.
  const bool stale = current_ && current_->fencing_number < newest_;
  if (stale && step_ != Step::kIdle && !WriteMayBeUnderWay()) {
    Finish(OrderPhase::kRefusedStale, "a newer fencing number is in force",
           now);
  }
}

void OrderExecutor::OnOrder(const SideOrder& order, TimePoint now) {
  if (!number_known_) {
    // After a restart no fencing number is known, so this may be an old order
    // repeated by a disconnected entry. It is not answered, so that it is sent
    // again.
    return;
  }
  if (order.fencing_number < newest_) {
    hooks_.report({target_, order.fencing_number, order.generation,
                   OrderPhase::kRefusedStale,
                   "the newest fencing number is " + std::to_string(newest_)});
    return;
  }
  newest_ = order.fencing_number;
  std::optional<SideOrder>& latest = next_ ? next_ : current_;
  if (latest && latest->generation == order.generation &&
      SameSetup(latest->setup, order.setup) &&
      latest->out_of_service == order.out_of_service) {
    // Only the fencing number is new. A write in progress keeps its own number,
    // which the engine already has.
    latest->fencing_number = order.fencing_number;
    if (!next_ && report_) {
      Report(report_->phase, report_->detail);
    }
    return;
  }
  if (latest && order.generation < latest->generation &&
      order.fencing_number == latest->fencing_number) {
    return;  // A late copy of a superseded order.
  }
  if (WriteMayBeUnderWay()) {
    next_ = order;
    return;
  }
  Begin(order, now);
}

bool OrderExecutor::WriteMayBeUnderWay() const {
  return step_ == Step::kWrite || step_ == Step::kWatch ||
         step_ == Step::kSettle;
}

void OrderExecutor::Begin(const SideOrder& order, TimePoint now) {
  current_ = order;
  writes_ = 0;
  write_not_before_ = {};
  Report(OrderPhase::kAccepted, "");
  const bool in_force = reading_ && reading_->reachable &&
                        !reading_->changing && !order.out_of_service &&
                        SameSetup(reading_->setup, order.setup);
  if (in_force) {
    Finish(OrderPhase::kInForce, "", now);
    return;
  }
  AskConfirm(Step::kConfirm, now);
}

void OrderExecutor::BeginNext(TimePoint now) {
  if (next_) {
    const SideOrder order = *std::exchange(next_, std::nullopt);
    Begin(order, now);
  }
}

void OrderExecutor::AskConfirm(Step step, TimePoint now) {
  EnterStep(step, now);
  confirm_sent_ = now;
  hooks_.confirm(++ticket_);
}

void OrderExecutor::OnConfirmed(std::uint64_t ticket,
                                std::optional<FencingNumber> number,
                                TimePoint asked_at, TimePoint now) {
  const bool waiting = step_ == Step::kConfirm || step_ == Step::kReconfirm;
  if (ticket != ticket_ || !confirm_sent_ || !waiting) {
    return;
  }
  confirm_sent_.reset();
  // An answer below the known number comes from a stale read.
  if (!number || *number < newest_ ||
      now - asked_at >= options_.authority_window) {
    Postpone(now);
    return;
  }
  confirmed_at_ = asked_at;
  OnNumber(*number, now);
  if (step_ != Step::kIdle) {
    AfterConfirm(now);
  }
}

void OrderExecutor::AfterConfirm(TimePoint now) {
  if (step_ == Step::kConfirm) {
    StartDrain(now);
    return;
  }
  Write(now);
}

// While the store is unavailable no order is applied, but the target keeps
// serving, so the gate opens again.
void OrderExecutor::Postpone(TimePoint now) {
  confirm_sent_.reset();
  SetGate(true);
  EnterStep(Step::kConfirm, now);
  confirm_not_before_ = now + options_.confirm_retry;
  Report(OrderPhase::kAccepted,
         "waiting for the store to confirm the fencing number");
}

void OrderExecutor::StartDrain(TimePoint now) {
  SetGate(false);
  EnterStep(Step::kDrain, now);
  Report(OrderPhase::kDraining, "");
  TickDrain(now);
}

void OrderExecutor::TickDrain(TimePoint now) {
  const bool engine_ready =
      reading_ && reading_->reachable && !reading_->changing;
  if (hooks_.running() > 0 || now < write_not_before_ ||
      (!engine_ready && !current_->out_of_service)) {
    if (now - step_since_ >= options_.drain_timeout) {
      Finish(OrderPhase::kFailed,
             engine_ready
                 ? "running attempts did not end before the drain timeout"
                 : "the engine is down or still changing at the drain timeout",
             now);
    }
    return;
  }
  if (current_->out_of_service) {
    Finish(OrderPhase::kInForce, "out of service", now);
    return;
  }
  // Writes at once only if the number was just confirmed. The lease may have
  // moved while the attempts ended.
  if (now == step_since_ && now - confirmed_at_ < options_.authority_window) {
    Write(now);
    return;
  }
  AskConfirm(Step::kReconfirm, now);
}

void OrderExecutor::Write(TimePoint now) {
  ++writes_;
  boot_at_write_ = reading_ ? reading_->boot_id : "";
  EnterStep(Step::kWrite, now);
  Report(OrderPhase::kApplying, "");
  hooks_.write(++ticket_, *current_, confirmed_at_ + options_.authority_window);
}

void OrderExecutor::OnWritten(std::uint64_t ticket, OrderWriteResult result,
                              const std::string& detail, TimePoint now) {
  if (ticket != ticket_ || step_ != Step::kWrite) {
    return;
  }
  written_at_ = now;
  switch (result) {
    case OrderWriteResult::kTaken:
      EnterStep(Step::kWatch, now);
      hooks_.read_state();
      return;
    case OrderWriteResult::kStale:
      Finish(OrderPhase::kRefusedStale, detail, now);
      return;
    case OrderWriteResult::kRejected:
      Finish(OrderPhase::kFailed, detail, now);
      return;
    case OrderWriteResult::kBusy:
    case OrderWriteResult::kNotWritten:
      --writes_;  // No effect, so it does not count as a try.
      TryAgain(detail, now);
      return;
    case OrderWriteResult::kUnknown:
      EnterStep(Step::kSettle, now);
      hooks_.read_state();
      return;
  }
}

void OrderExecutor::OnReading(const EngineReading& reading, TimePoint now) {
  reading_ = reading;
  const bool watching = step_ == Step::kWatch || step_ == Step::kSettle;
  // A reading requested before the write does not show its effect.
  if (watching && reading.asked_at > written_at_) {
    JudgeReading(reading, now);
  }
}

void OrderExecutor::JudgeReading(const EngineReading& reading, TimePoint now) {
  if (!reading.reachable || reading.changing) {
    return;
  }
  if (SameSetup(reading.setup, current_->setup)) {
    Finish(OrderPhase::kInForce, "", now);
    return;
  }
  if (reading.boot_id != boot_at_write_) {
    TryAgain("the engine restarted during the change", now);
    return;
  }
  if (step_ == Step::kWatch) {
    TryAgain(
        "the engine ended the change in a state other than the ordered one",
        now);
    return;
  }
  // The write broke off and shows no effect. Nothing else is written until it
  // can no longer arrive, because it could land after a newer order.
  if (now - step_since_ >= options_.settle_time) {
    TryAgain("the write did not reach the engine", now);
  }
}

void OrderExecutor::TryAgain(const std::string& why, TimePoint now) {
  if (next_) {
    BeginNext(now);
    return;
  }
  if (writes_ >= options_.max_writes) {
    Finish(OrderPhase::kFailed, why, now);
    return;
  }
  // The gate stays closed, because the engine is in a state that no order
  // requested.
  EnterStep(Step::kDrain, now);
  write_not_before_ = now + options_.write_pause;
  confirmed_at_ = {};
  Report(OrderPhase::kApplying, "trying again: " + why);
}

void OrderExecutor::Finish(OrderPhase phase, const std::string& detail,
                           TimePoint now) {
  EnterStep(Step::kIdle, now);
  Report(phase, detail);
  // An engine whose change failed still serves what it has loaded. The entries
  // see its model and role and route accordingly.
  SetGate(!(current_->out_of_service && phase == OrderPhase::kInForce));
  BeginNext(now);
}

void OrderExecutor::Tick(TimePoint now) {
  switch (step_) {
    case Step::kIdle:
      return;
    case Step::kConfirm:
    case Step::kReconfirm:
      if (confirm_sent_ && now - *confirm_sent_ >= options_.confirm_timeout) {
        Postpone(now);
      } else if (!confirm_sent_ && now >= confirm_not_before_) {
        AskConfirm(step_, now);
      }
      return;
    case Step::kDrain:
      TickDrain(now);
      return;
    case Step::kWrite:
      return;
    case Step::kWatch:
    case Step::kSettle:
      if (now - step_since_ >= options_.change_timeout) {
        Finish(OrderPhase::kFailed,
               "the engine did not finish the change in time", now);
      } else if (now >= next_read_) {
        next_read_ = now + options_.read_interval;
        hooks_.read_state();
      }
      return;
  }
}

void OrderExecutor::EnterStep(Step step, TimePoint now) {
  step_ = step;
  step_since_ = now;
}

void OrderExecutor::Report(OrderPhase phase, const std::string& detail) {
  report_ = OrderReport{target_, current_->fencing_number, current_->generation,
                        phase, detail};
  hooks_.report(*report_);
}

void OrderExecutor::SetGate(bool open) {
  if (open != gate_open_) {
    gate_open_ = open;
    hooks_.set_gate(open);
  }
}

}  // namespace indigolead
