#include "side/order_service.h"

#include <utility>

#include "side/events.h"

namespace indigolead {
namespace {

wire::OrderPhase ToWire(OrderPhase phase) {
  switch (phase) {
    case OrderPhase::kAccepted:
      return wire::ORDER_ACCEPTED;
    case OrderPhase::kDraining:
      return wire::ORDER_DRAINING;
    case OrderPhase::kApplying:
      return wire::ORDER_APPLYING;
    case OrderPhase::kInForce:
      return wire::ORDER_IN_FORCE;
    case OrderPhase::kRefusedStale:
      return wire::ORDER_REFUSED_STALE;
    case OrderPhase::kFailed:
      return wire::ORDER_FAILED;
  }
  return wire::ORDER_UNSPECIFIED;
}

SideOrder FromWire(const wire::Order& message) {
  SideOrder order;
  order.fencing_number = message.fencing_number();
  order.generation = message.generation();
  order.setup.role = message.role();
  order.setup.model = message.model();
  order.setup.version = message.model_version();
  order.setup.adapters.assign(message.adapters().begin(),
                              message.adapters().end());
  order.out_of_service = message.drain();
  return order;
}

}  // namespace

OrderService::OrderService(std::string instance, OrderExecutor::Options options,
                           Hooks hooks, Clock clock, EventLog log)
    : instance_(std::move(instance)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      executor_(instance_, options, MakeExecutorHooks()) {}

OrderExecutor::Hooks OrderService::MakeExecutorHooks() {
  OrderExecutor::Hooks hooks;
  hooks.report = [this](const OrderReport& it) { Report(it); };
  hooks.set_gate = [this](bool open) {
    log_(open ? kOrderGateOpened : kOrderGateShut, {});
  };
  hooks.confirm = [this](std::uint64_t ticket) { Confirm(ticket); };
  hooks.write = [this](std::uint64_t ticket, const SideOrder& order,
                       TimePoint write_by) { Write(ticket, order, write_by); };
  hooks.read_state = [this] { hooks_.command(ReadStateCommand{}); };
  hooks.running = hooks_.running;
  return hooks;
}

void OrderService::Confirm(std::uint64_t ticket) {
  // Taken before the read is sent, so that a pause of the process in between
  // counts towards the age of the answer.
  const TimePoint asked_at = clock_();
  hooks_.read_fencing_number(
      [this, ticket, asked_at](std::optional<FencingNumber> number) {
        executor_.OnConfirmed(ticket, number, asked_at, clock_());
      });
}

void OrderService::Write(std::uint64_t ticket, const SideOrder& order,
                         TimePoint write_by) {
  if (!hooks_.command(WriteOrderCommand{ticket, order, write_by})) {
    executor_.OnWritten(ticket, OrderWriteResult::kNotWritten, "mailbox full",
                        clock_());
  }
}

bool OrderService::HandleMessage(LinkId, const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kFencing:
      executor_.OnFencingNumber(message.fencing().fencing_number(), clock_());
      return true;
    case wire::Envelope::kOrder:
      if (message.order().target() == instance_) {
        executor_.OnOrder(FromWire(message.order()), clock_());
      }
      return true;
    default:
      return false;
  }
}

void OrderService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (hello.kind() != wire::PROCESS_ENTRY) {
    return;
  }
  links_.insert(link);
  if (const auto& report = executor_.last_report()) {
    SendReport(link, *report);
  }
}

void OrderService::OnLinkDown(LinkId link) { links_.erase(link); }

void OrderService::Tick(TimePoint now) { executor_.Tick(now); }

void OrderService::OnTargetCondition(const TargetConditionEvent& event) {
  EngineReading reading;
  reading.boot_id = event.engine.boot_id;
  reading.setup = {event.engine.role, event.engine.model, event.engine.version,
                   event.engine.adapters};
  reading.generation = event.engine.generation;
  reading.changing = event.engine.changing;
  reading.reachable = event.state != TargetCondition::kDown;
  reading.asked_at = event.asked_at;
  executor_.OnReading(reading, clock_());
}

void OrderService::OnWritten(const OrderWrittenEvent& event) {
  executor_.OnWritten(event.ticket, event.result, event.detail, clock_());
}

void OrderService::Report(const OrderReport& report) {
  log_(kOrderPhaseChanged,
       {{"phase", std::string(OrderPhaseName(report.phase))},
        {"generation", std::to_string(report.generation)},
        {"fencing_number", std::to_string(report.fencing_number)},
        {"detail", report.detail}});
  for (const auto& it : links_) {
    SendReport(it, report);
  }
}

void OrderService::SendReport(LinkId link, const OrderReport& report) {
  wire::Envelope message;
  auto* status = message.mutable_order_status();
  status->set_target(report.target);
  status->set_fencing_number(report.fencing_number);
  status->set_generation(report.generation);
  status->set_phase(ToWire(report.phase));
  status->set_detail(report.detail);
  hooks_.send(link, message);
}

}  // namespace indigolead
