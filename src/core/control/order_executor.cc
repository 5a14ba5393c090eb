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

void OrderExecutor::OnFencingNumber(FencingNumber number, TimePoint now) {
  number_known_ = true;
  newest_number_ = std::max(newest_number_, number);
  // An order that has not been written ends with its fencing number. One that
  // may have been written is followed to its end, because the engine cannot
  // cancel it.
  const bool stale =
      current_order_ && current_order_->fencing_number < newest_number_;
  if (stale && step_ != Step::kIdle && !WriteMayBeInProgress()) {
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
  if (order.fencing_number < newest_number_) {
    hooks_.report(
        {target_, order.fencing_number, order.generation,
         OrderPhase::kRefusedStale,
         "the newest fencing number is " + std::to_string(newest_number_)});
    return;
  }
  newest_number_ = order.fencing_number;
  std::optional<SideOrder>& latest = next_order_ ? next_order_ : current_order_;
  if (latest && latest->generation == order.generation &&
      SameSetup(latest->setup, order.setup) &&
      latest->out_of_service == order.out_of_service) {
    // Only the fencing number is new. A write in progress keeps its own number,
    // which the engine already has.
    latest->fencing_number = order.fencing_number;
    if (!next_order_ && report_) {
      Report(report_->phase, report_->detail);
    }
    return;
  }
  if (latest && order.generation < latest->generation &&
      order.fencing_number == latest->fencing_number) {
    return;  // A late copy of a superseded order.
  }
  if (WriteMayBeInProgress()) {
    next_order_ = order;
    return;
  }
  StartOrder(order, now);
}

bool OrderExecutor::WriteMayBeInProgress() const {
  return step_ == Step::kWrite || step_ == Step::kWatch ||
         step_ == Step::kResolveWrite;
}

void OrderExecutor::StartOrder(const SideOrder& order, TimePoint now) {
  current_order_ = order;
  write_count_ = 0;
  write_not_before_ = {};
  Report(OrderPhase::kAccepted, "");
  const bool in_force = reading_ && reading_->reachable &&
                        !reading_->changing && !order.out_of_service &&
                        SameSetup(reading_->setup, order.setup);
  if (in_force) {
    Finish(OrderPhase::kInForce, "", now);
    return;
  }
  RequestConfirmation(Step::kConfirm, now);
}

void OrderExecutor::StartNextOrder(TimePoint now) {
  if (next_order_) {
    const SideOrder order = *std::exchange(next_order_, std::nullopt);
    StartOrder(order, now);
  }
}

void OrderExecutor::RequestConfirmation(Step step, TimePoint now) {
  EnterStep(step, now);
  confirm_sent_at_ = now;
  hooks_.confirm(++ticket_);
}

void OrderExecutor::OnConfirmed(std::uint64_t ticket,
                                std::optional<FencingNumber> number,
                                TimePoint asked_at, TimePoint now) {
  const bool waiting = step_ == Step::kConfirm || step_ == Step::kReconfirm;
  if (ticket != ticket_ || !confirm_sent_at_ || !waiting) {
    return;
  }
  confirm_sent_at_.reset();
  // An answer below the known number comes from a stale read.
  if (!number || *number < newest_number_ ||
      now - asked_at >= options_.authority_window) {
    Postpone(now);
    return;
  }
  confirmed_at_ = asked_at;
  OnFencingNumber(*number, now);
  if (step_ != Step::kIdle) {
    ContinueAfterConfirmation(now);
  }
}

void OrderExecutor::ContinueAfterConfirmation(TimePoint now) {
  if (step_ == Step::kConfirm) {
    StartDrain(now);
    return;
  }
  Write(now);
}

// While the store is unavailable no order is applied, but the target keeps
// serving, so the gate opens again.
void OrderExecutor::Postpone(TimePoint now) {
  confirm_sent_at_.reset();
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
      (!engine_ready && !current_order_->out_of_service)) {
    if (now - step_since_ >= options_.drain_timeout) {
      Finish(OrderPhase::kFailed,
             engine_ready
                 ? "running attempts did not end before the drain timeout"
                 : "the engine is down or still changing at the drain timeout",
             now);
    }
    return;
  }
  if (current_order_->out_of_service) {
    Finish(OrderPhase::kInForce, "out of service", now);
    return;
  }
  // Writes at once only if the number was just confirmed. Another entry may
  // have taken the lease while the attempts ended.
  if (now == step_since_ && now - confirmed_at_ < options_.authority_window) {
    Write(now);
    return;
  }
  RequestConfirmation(Step::kReconfirm, now);
}

void OrderExecutor::Write(TimePoint now) {
  ++write_count_;
  boot_id_at_write_ = reading_ ? reading_->boot_id : "";
  EnterStep(Step::kWrite, now);
  Report(OrderPhase::kApplying, "");
  hooks_.write(++ticket_, *current_order_,
               confirmed_at_ + options_.authority_window);
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
      --write_count_;  // No effect, so it does not count as a try.
      RetryWrite(detail, now);
      return;
    case OrderWriteResult::kUnknown:
      EnterStep(Step::kResolveWrite, now);
      hooks_.read_state();
      return;
  }
}

void OrderExecutor::OnReading(const EngineReading& reading, TimePoint now) {
  reading_ = reading;
  const bool watching = step_ == Step::kWatch || step_ == Step::kResolveWrite;
  // A reading requested before the write does not show its effect.
  if (watching && reading.asked_at > written_at_) {
    EvaluateReading(reading, now);
  }
}

void OrderExecutor::EvaluateReading(const EngineReading& reading,
                                    TimePoint now) {
  if (!reading.reachable || reading.changing) {
    return;
  }
  if (SameSetup(reading.setup, current_order_->setup)) {
    Finish(OrderPhase::kInForce, "", now);
    return;
  }
  if (reading.boot_id != boot_id_at_write_) {
    RetryWrite("the engine restarted during the change", now);
    return;
  }
  if (step_ == Step::kWatch) {
    RetryWrite(
        "the engine ended the change in a state other than the ordered one",
        now);
    return;
  }
  // The write broke off and shows no effect. Nothing else is written until it
  // can no longer arrive, because it could land after a newer order.
  if (now - step_since_ >= options_.settle_time) {
    RetryWrite("the write did not reach the engine", now);
  }
}

void OrderExecutor::RetryWrite(const std::string& why, TimePoint now) {
  if (next_order_) {
    StartNextOrder(now);
    return;
  }
  if (write_count_ >= options_.max_writes) {
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
  SetGate(!(current_order_->out_of_service && phase == OrderPhase::kInForce));
  StartNextOrder(now);
}

void OrderExecutor::Tick(TimePoint now) {
  switch (step_) {
    case Step::kIdle:
      return;
    case Step::kConfirm:
    case Step::kReconfirm:
      if (confirm_sent_at_ &&
          now - *confirm_sent_at_ >= options_.confirm_timeout) {
        Postpone(now);
      } else if (!confirm_sent_at_ && now >= confirm_not_before_) {
        RequestConfirmation(step_, now);
      }
      return;
    case Step::kDrain:
      TickDrain(now);
      return;
    case Step::kWrite:
      return;
    case Step::kWatch:
    case Step::kResolveWrite:
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
  report_ = OrderReport{target_, current_order_->fencing_number,
                        current_order_->generation, phase, detail};
  hooks_.report(*report_);
}

void OrderExecutor::SetGate(bool open) {
  if (open != gate_open_) {
    gate_open_ = open;
    hooks_.set_gate(open);
  }
}

}  // namespace indigolead
