// Simulated sides and engines, and the invariants that are checked.

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/config/enum_names.h"
#include "entry/control_state.h"
#include "tests/support/control_simulation.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Name(int side) { return "engine-" + std::to_string(side); }

std::string Text(const TargetOrder& order) {
  std::ostringstream out;
  out << order.target << " number " << order.fencing_number << " generation "
      << order.generation << " version " << order.desired.version;
  return out.str();
}

}  // namespace

void ControlSimulation::Connect(int entry, int side) {
  Entry& self = entries_[static_cast<std::size_t>(entry)];
  const std::uint64_t run = sides_[static_cast<std::size_t>(side)].run;
  self.forwarder->OnSideUp(LinkOf(side, run), Name(side), EntryClock(entry));
}

bool ControlSimulation::SendToSide(int entry, LinkId link,
                                   const wire::Envelope& message) {
  const int side = static_cast<int>(link.value % 1000);
  const std::uint64_t run = link.value / 1000;
  const bool lost =
      Chance(options_.faults.lose_message) ||
      (message.has_fencing() && Chance(options_.faults.lose_notice));
  const int copies = lost ? 0 : Chance(options_.faults.repeat_message) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(now_ + Between(milliseconds(1), milliseconds(i == 0 ? 200 : 5000)),
       [this, entry, side, run, message] {
         DeliverToSide(entry, side, run, message);
       });
  }
  return true;
}

void ControlSimulation::DeliverToSide(int entry, int side, std::uint64_t run,
                                      const wire::Envelope& message) {
  Side& self = sides_[static_cast<std::size_t>(side)];
  if (self.run != run ||
      entries_[static_cast<std::size_t>(entry)].disconnected) {
    return;  // A message is never delivered to a later run of the side.
  }
  if (message.has_fencing()) {
    self.newest = std::max(self.newest, message.fencing().fencing_number());
  } else if (message.has_order()) {
    const wire::Order& sent = message.order();
    TargetOrder order;
    order.target = sent.target();
    order.fencing_number = sent.fencing_number();
    order.generation = sent.generation();
    order.desired.model = sent.model();
    order.desired.version = sent.model_version();
    order.desired.out_of_service = sent.drain();
    AcceptOrderAtSide(side, order);
  }
}

void ControlSimulation::AcceptOrderAtSide(int side, const TargetOrder& order) {
  Side& self = sides_[static_cast<std::size_t>(side)];
  if (self.newest == 0 || order.fencing_number < self.newest) {
    return;
  }
  self.newest = order.fencing_number;
  if (self.order && order.generation <= self.order->generation) {
    if (order.generation == self.order->generation) {
      self.order->fencing_number = order.fencing_number;
    }
    return;
  }
  self.order = order;
  self.phase = OrderPhase::kAccepted;
  self.sent_to_engine = false;
}

void ControlSimulation::StepSide(int side) {
  Side& self = sides_[static_cast<std::size_t>(side)];
  Engine& engine = self.engine;
  if (engine.changing && now_ >= engine.ready_at) {
    engine.state = engine.changing->desired;
    engine.generation = engine.changing->generation;
    engine.changing.reset();
    self.reached = std::max(self.reached, engine.generation);
  }
  if (self.order && !engine.changing) {
    if (engine.generation == self.order->generation) {
      self.phase = OrderPhase::kInForce;
    } else if (engine.generation < self.order->generation) {
      ApplyOrderAtEngine(side, *self.order);
    }
  }
  Report(side);
}

void ControlSimulation::ApplyOrderAtEngine(int side, const TargetOrder& order) {
  Engine& engine = sides_[static_cast<std::size_t>(side)].engine;
  if (engine.checks_fencing && order.fencing_number < engine.number) {
    return;
  }
  EngineEffect effect;
  effect.target = Name(side);
  effect.order = order;
  CheckEffect(effect);
  effects_.push_back(effect);
  engine.number = std::max(engine.number, order.fencing_number);
  engine.changing = order;
  engine.ready_at = now_ + Between(milliseconds(500), seconds(3));
}

void ControlSimulation::Report(int side) {
  const Side& self = sides_[static_cast<std::size_t>(side)];
  TargetObservation seen;
  seen.name = Name(side);
  seen.deployment = "brief-llm";
  seen.models = {self.engine.state.model + "@" + self.engine.state.version};
  seen.health =
      self.engine.changing ? ObservedHealth::kChanging : ObservedHealth::kUp;
  seen.order_generation = self.engine.generation;
  for (int i = 0; i < options_.entries; ++i) {
    Entry& entry = entries_[static_cast<std::size_t>(i)];
    if (entry.disconnected || entry.paused_until > now_ ||
        Chance(options_.faults.lose_message)) {
      continue;
    }
    entry.controller->reconciler().OnTarget(seen, EntryClock(i));
    if (self.order) {
      const OrderReport report{seen.name, self.order->fencing_number,
                               self.order->generation, self.phase, ""};
      entry.controller->reconciler().OnReport(report, EntryClock(i));
      entry.forwarder->OnReport(LinkOf(side, self.run), report);
    }
  }
}

// Each effect must stem from a write that the store accepted while its fencing
// number was in force, and must not return the engine to an earlier state.
void ControlSimulation::CheckEffect(const EngineEffect& effect) {
  const TargetOrder& order = effect.order;
  std::vector<FencingNumber> numbers;
  bool written_in_force = false;
  bool has_other_version = false;
  for (const StoredObject& object : history_) {
    if (object.key == kLeaseKey) {
      const auto lease = ValueOf(DecodeLease(object.value, object.version));
      if (numbers.empty() || numbers.back() != lease.fencing_number) {
        numbers.push_back(lease.fencing_number);
      }
    } else if (object.key == OrderKey(effect.target)) {
      const auto written = ValueOf(DecodeOrder(object.value));
      const bool in_force =
          !numbers.empty() && numbers.back() == written.fencing_number;
      const bool same = written.generation == order.generation;
      written_in_force |=
          same && in_force && written.fencing_number == order.fencing_number;
      has_other_version |=
          same && in_force && written.desired.version != order.desired.version;
    }
  }
  if (!written_in_force) {
    violations_.push_back("effect under an outdated fencing number: " +
                          Text(order));
  }
  if (has_other_version) {
    violations_.push_back("one generation with two versions: " + Text(order));
  }
  for (const EngineEffect& earlier : effects_) {
    if (earlier.target == effect.target &&
        earlier.order.generation > order.generation) {
      violations_.push_back("generation decreased: " + Text(order) + " after " +
                            Text(earlier.order));
    }
  }
}

// A different order may replace an order only after the earlier one was in
// force, unless the earlier one was void, that is, reached no side.
void ControlSimulation::CheckWrite(const StoredObject& before,
                                   const std::string& value) {
  const auto lease_object = objects_.find(kLeaseKey);
  if (before.version == 0 || lease_object == objects_.end()) {
    return;
  }
  const LeaseView lease = LeaseFrom(lease_object->second);
  const StoredOrder last = OrderFrom(before);
  const TargetOrder next = ValueOf(DecodeOrder(value));
  const int side = std::stoi(next.target.substr(next.target.find('-') + 1));
  const bool differs = last.order->generation != next.generation;
  const bool in_force =
      WasInForce(last.order->fencing_number, last.version, *lease.record) &&
      next.fencing_number == lease.record->fencing_number;
  const std::uint64_t reached = sides_[static_cast<std::size_t>(side)].reached;
  if (differs && in_force && reached < last.order->generation) {
    violations_.push_back("replaced an unconfirmed order: " + Text(next));
  }
}

void ControlSimulation::Check() {
  const std::string two = "two lease holders at the same time";
  if (Holders().size() > 1 &&
      (violations_.empty() || violations_.back() != two)) {
    violations_.push_back(two);
  }
  for (Entry& entry : entries_) {
    const RevisionRecord* held = entry.revision_table.Find("brief-llm");
    const std::uint64_t number = held ? held->number : 0;
    if (number < entry.revision) {
      violations_.push_back("a revision number decreased");
    }
    entry.revision = number;
  }
}

}  // namespace indigolead::testing
