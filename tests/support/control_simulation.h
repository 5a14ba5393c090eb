#ifndef INDIGOLEAD_TESTS_SUPPORT_CONTROL_SIMULATION_H_
#define INDIGOLEAD_TESTS_SUPPORT_CONTROL_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/control/revision_table.h"
#include "entry/controller.h"
#include "entry/order_forwarder.h"
#include "store/object_store.h"

namespace indigolead::testing {

/// Fault probabilities per call or message.
struct ControlFaults {
  double lose_answer = 0;   ///< The store acts but its answer is lost.
  double slow_effect = 0;   ///< A write takes effect after a long delay.
  double stale_read = 0;    ///< A read shows an earlier state.
  double lose_message = 0;  ///< Between entries and sides.
  double lose_notice = 0;   ///< Fencing notices only.
  double repeat_message = 0;
  Duration max_slow = std::chrono::seconds(15);
};

class ControlSimulation;

/// State that an engine was put into, and the order that did it.
struct EngineEffect {
  std::string target;
  TargetOrder order;
};

/// Simulates store, entries, sides and engines in one thread with one simulated
/// clock, driven by a seed. Decisions are made by production code: `Controller`
/// with its lease and reconciler, `OrderForwarder`, and the side's component
/// from `MakeSide`.
class ControlSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int entries = 2;
    int sides = 4;
    bool engines_check_fencing = true;
    ControlFaults faults;
  };

  /// The engine of one side, as the side sees it over HTTP.
  struct Engine {
    bool up = true;
    bool checks_fencing = true;
    FencingNumber number = 0;
    std::uint64_t generation = 0;
    DesiredState state;
    std::optional<TargetOrder> changing;
    TimePoint ready_at;
  };

  explicit ControlSimulation(Options options);
  ~ControlSimulation();

  TimePoint now() const { return now_; }
  /// Advances simulated time by `duration`.
  void Run(Duration duration);

  void Accept(std::uint64_t number, const std::string& version);
  void PauseEntry(int entry, Duration duration);
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetWatchesSilent(bool silent) { watches_silent_ = silent; }
  /// Disconnects the entry from the store and the sides, or reconnects it.
  void DisconnectEntry(int entry, bool disconnected);
  void DisconnectFromStore(int entry, bool disconnected);
  void RestartSide(int side);
  void CrashEngine(int side);
  void SetFaults(const ControlFaults& faults) { options_.faults = faults; }
  /// Calls `act` once, immediately before the next order write of any entry
  /// takes effect in the store.
  void BeforeNextOrderWrite(std::function<void(int entry)> act);

  /// Returns the entries that have authority now.
  std::vector<int> Holders();
  const Engine& engine(int side) const { return sides_[side].engine; }
  const std::vector<EngineEffect>& effects() const { return effects_; }
  /// Violated invariants; empty if all held.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t store_calls() const { return store_calls_; }
  std::optional<TargetOrder> StoredOrderOf(int side) const;

 private:
  friend class SimulatedControlStore;
  struct Entry {
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<Controller> controller;
    std::unique_ptr<OrderForwarder> forwarder;
    RevisionTable revision_table{RevisionTable::Options{}};
    std::uint64_t revision = 0;
    Duration offset{};
    TimePoint paused_until;
    bool disconnected = false;
    bool disconnected_from_store = false;
    std::uint64_t watched = 0;
  };
  /// A restart clears a side's memory but not its engine's.
  struct Side {
    Engine engine;
    std::uint64_t run = 0;
    FencingNumber newest = 0;  ///< 0: none received since its start.
    std::optional<TargetOrder> order;
    OrderPhase phase = OrderPhase::kAccepted;
    bool sent_to_engine = false;
    std::uint64_t reached = 0;  ///< Newest generation ever in force there.
  };

  bool Chance(double p);
  Duration Between(Duration low, Duration high);
  void At(TimePoint when, std::function<void()> act);
  void OnEntry(int entry, std::function<void()> act);
  void Step();
  void Connect(int entry, int side);
  bool SendToSide(int entry, LinkId link, const wire::Envelope& message);
  void DeliverToSide(int entry, int side, std::uint64_t run,
                     const wire::Envelope& message);
  void AcceptOrderAtSide(int side, const TargetOrder& order);
  void StepSide(int side);
  void ApplyOrderAtEngine(int side, const TargetOrder& order);
  void Report(int side);
  void Watch(int entry);
  void Check();
  void CheckEffect(const EngineEffect& effect);
  void CheckWrite(const StoredObject& before, const std::string& value);
  Result<std::uint64_t> Put(int entry, const std::string& key,
                            const std::string& value, std::uint64_t expected);
  TimePoint EntryClock(int entry) const {
    return now_ + entries_[static_cast<std::size_t>(entry)].offset;
  }
  static LinkId LinkOf(int side, std::uint64_t run) {
    return LinkId{run * 1000 + static_cast<std::uint64_t>(side)};
  }

  Options options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::uint64_t version_ = 0;
  std::map<std::string, StoredObject> objects_;
  std::vector<StoredObject> history_;
  bool store_down_ = false;
  bool watches_silent_ = false;
  std::uint64_t store_calls_ = 0;
  std::function<void(int)> before_order_write_;
  std::vector<Entry> entries_;
  std::vector<Side> sides_;
  std::vector<EngineEffect> effects_;
  std::vector<std::string> violations_;
  Revision revision_;
  std::uint64_t ids_ = 0;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_CONTROL_SIMULATION_H_
