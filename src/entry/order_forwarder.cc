#include "entry/order_forwarder.h"

#include <algorithm>
#include <utility>

#include "core/config/enum_names.h"
#include "entry/control_events.h"

namespace indigolead {

OrderForwarder::OrderForwarder(Options options, Hooks hooks, EventLog log)
    : options_(options), hooks_(std::move(hooks)), log_(std::move(log)) {}

void OrderForwarder::OnSideUp(LinkId link, const std::string& instance,
                              TimePoint now) {
  Side side;
  side.instance = instance;
  side.up_at = now;
  sides_.insert_or_assign(link, std::move(side));
}

void OrderForwarder::OnLinkDown(LinkId link) { sides_.erase(link); }

void OrderForwarder::OnState(const ControlState& state, TimePoint now) {
  Merge(state);
  for (auto& [link, side] : sides_) {
    Update(link, &side, now);
  }
}

void OrderForwarder::OnStateRead(const Result<ControlState>& answer,
                                 TimePoint now) {
  const auto sent_at = std::exchange(read_sent_at_, std::nullopt);
  // A stale read is older than the state that the watch has delivered, so it
  // does not show that this state is current.
  if (!sent_at || !IsOk(answer) ||
      ValueOf(answer).lease.version < state_.lease.version) {
    return;
  }
  Merge(ValueOf(answer));
  for (auto& [link, side] : sides_) {
    side.read_confirmed = side.read_confirmed || side.up_at <= *sent_at;
    Update(link, &side, now);
  }
}

// Results of reads and of the watch may arrive out of order, so each object
// keeps its newest version.
void OrderForwarder::Merge(const ControlState& state) {
  if (state.lease.version > state_.lease.version) {
    state_.lease = state.lease;
  }
  for (const auto& [target, stored] : state.orders) {
    StoredOrder& held = state_.orders[target];
    if (stored.version > held.version) {
      held = stored;
    }
  }
}

void OrderForwarder::OnReport(LinkId link, const OrderReport& report) {
  const auto it = sides_.find(link);
  if (it != sides_.end()) {
    it->second.report = report;
  }
}

void OrderForwarder::Tick(TimePoint now) {
  const bool waiting = std::any_of(
      sides_.begin(), sides_.end(),
      [](const auto& entry) { return !entry.second.read_confirmed; });
  const bool due = !last_read_ || now - *last_read_ >= options_.read_interval;
  // One read serves every side that connected before it. An unanswered read is
  // repeated, so that a lost answer does not leave a side waiting.
  if (waiting && due) {
    last_read_ = now;
    read_sent_at_ = now;
    hooks_.read_state();
  }
  for (auto& [link, side] : sides_) {
    Update(link, &side, now);
  }
}

void OrderForwarder::Update(LinkId link, Side* side, TimePoint now) {
  if (!side->read_confirmed || !state_.lease.record) {
    return;
  }
  const LeaseRecord& lease = *state_.lease.record;
  if (side->notified_number < lease.fencing_number) {
    wire::Envelope message;
    message.mutable_fencing()->set_fencing_number(lease.fencing_number);
    if (hooks_.send(link, message)) {
      side->notified_number = lease.fencing_number;
    }
  }
  const auto it = state_.orders.find(side->instance);
  if (it == state_.orders.end() || !WrittenUnderAuthority(it->second, lease)) {
    return;
  }
  const TargetOrder& order = *it->second.order;
  const bool fresh = side->sent_generation != order.generation ||
                     side->sent_number != order.fencing_number;
  const bool due = now - side->sent_at >= options_.repeat_interval;
  if (!IsAnswered(*side, order) && (fresh || due)) {
    SendOrder(link, side, order, now);
  }
}

void OrderForwarder::SendOrder(LinkId link, Side* side,
                               const TargetOrder& order, TimePoint now) {
  wire::Envelope message;
  wire::Order* sent = message.mutable_order();
  sent->set_target(order.target);
  sent->set_fencing_number(order.fencing_number);
  sent->set_generation(order.generation);
  sent->set_role(std::string(EngineRoleName(order.desired.role)));
  sent->set_model(order.desired.model);
  sent->set_model_version(order.desired.version);
  for (const std::string& adapter : order.desired.adapters) {
    sent->add_adapters(adapter);
  }
  sent->set_drain(order.desired.out_of_service);
  sent->set_cause(order.cause);
  if (hooks_.send(link, message)) {
    side->sent_at = now;
    side->sent_number = order.fencing_number;
    side->sent_generation = order.generation;
    log_(kOrderForwarded,
         {{"target", order.target},
          {"fencing_number", std::to_string(order.fencing_number)},
          {"generation", std::to_string(order.generation)},
          {"cause", order.cause}});
  }
}

bool OrderForwarder::IsAnswered(const Side& side, const TargetOrder& order) {
  return side.report && side.report->generation == order.generation &&
         side.report->fencing_number >= order.fencing_number &&
         side.report->phase != OrderPhase::kRefusedStale;
}

}  // namespace indigolead
