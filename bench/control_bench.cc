// Counts the store calls of the control service, when idle and during the
// rollout of a revision, by number of targets. Runs the real services on an
// in-memory store in simulated time, so the counts do not depend on the
// machine.

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "entry/control_service.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr milliseconds kStep{100};

/// Simulated time, timers and objects shared by all entries. Store calls
/// complete without delay.
class SimulatedEnvironment {
 public:
  using Listener = ObjectStore::OnWatchEvents;

  void ScheduleAfter(Duration delay, std::function<void()> act) {
    timers_.emplace(now + delay, std::move(act));
  }
  void RunDueTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const auto act = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      act();
    }
  }

  TimePoint now{seconds(1000)};
  std::map<std::string, StoredObject> objects;
  std::map<int, std::pair<std::string, Listener>> watches;
  std::uint64_t version = 0;
  int next_watch = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  std::multimap<TimePoint, std::function<void()>> timers_;
};

class CountingStore : public ObjectStore {
 public:
  explicit CountingStore(SimulatedEnvironment* environment)
      : environment_(environment) {}

  void Get(const std::string& key, const CallOptions&,
           Callback<std::optional<StoredObject>> done) override {
    ++environment_->reads;
    const auto it = environment_->objects.find(key);
    std::optional<StoredObject> found;
    if (it != environment_->objects.end()) {
      found = it->second;
    }
    environment_->ScheduleAfter(Duration{}, [done, found] { done(found); });
  }
  void List(const std::string& prefix, const CallOptions&,
            Callback<Listing> done) override {
    ++environment_->reads;
    Listing listing;
    listing.version = environment_->version;
    for (const auto& [key, object] : environment_->objects) {
      if (key.starts_with(prefix)) {
        listing.objects.push_back(object);
      }
    }
    environment_->ScheduleAfter(Duration{}, [done, listing] { done(listing); });
  }
  void Put(const std::string& key, const std::string& value,
           ExpectedVersion expected, const CallOptions&,
           Callback<std::uint64_t> done) override {
    ++environment_->writes;
    StoredObject& object = environment_->objects[key];
    if (object.version != expected) {
      const Error error{ErrorCode::kConflict, "store.put", "store", ""};
      environment_->ScheduleAfter(Duration{}, [done, error] { done(error); });
      return;
    }
    object = StoredObject{key, value, ++environment_->version};
    environment_->ScheduleAfter(Duration{},
                                [done, at = object.version] { done(at); });
    for (const auto& [id, watch] : environment_->watches) {
      if (key.starts_with(watch.first)) {
        environment_->ScheduleAfter(
            Duration{}, [listener = watch.second, object] {
              listener({WatchEvent{object.key, object.value, object.version}});
            });
      }
    }
  }
  void Delete(const std::string&, ExpectedVersion, const CallOptions&,
              Callback<Unit>) override {}
  std::unique_ptr<Watch> StartWatch(
      const std::string& prefix, std::uint64_t, OnWatchEvents on_events,
      std::function<void(const Error&)>) override {
    environment_->watches[environment_->next_watch++] = {prefix,
                                                         std::move(on_events)};
    return std::make_unique<Watch>();
  }
  void ListInstances(const CallOptions&, Callback<InstanceList>) override {}

 private:
  SimulatedEnvironment* environment_;
};

Revision MakeRevision(std::uint64_t number) {
  Revision revision;
  revision.number = number;
  revision.spec.name = "brief-llm";
  revision.spec.models = {{"small", std::to_string(number), {}}};
  return revision;
}

/// Entries, and engines that carry out an order within two seconds.
class Fleet {
 public:
  explicit Fleet(int targets) : targets_(targets), store_(&environment_) {
    for (int i = 0; i < kEntries; ++i) {
      AddEntry(i);
    }
    AcceptRevision(1);
  }

  void AcceptRevision(std::uint64_t number) {
    for (auto& entry : entries_) {
      entry->OnRevision(MakeRevision(number));
    }
  }
  /// Runs for `duration`, or until all engines have reached revision `number`.
  /// Returns the elapsed time.
  Duration Run(Duration duration, std::uint64_t number) {
    const TimePoint start = environment_.now;
    while (environment_.now < start + duration &&
           (number == 0 || !AllAt(std::to_string(number)))) {
      environment_.now += kStep;
      environment_.RunDueTimers();
      for (auto& entry : entries_) {
        entry->Tick(environment_.now);
      }
      environment_.RunDueTimers();
    }
    return environment_.now - start;
  }
  SimulatedEnvironment& environment() { return environment_; }

 private:
  struct Engine {
    std::string version = "1";
    std::uint64_t generation = 0;
  };

  void AddEntry(int i) {
    ControlService::Options options;
    options.instance = "entry-" + std::to_string(i);
    options.audit.entry = options.instance;
    options.controller.lease.holder = options.instance;
    options.controller.lease.incarnation =
        Incarnation{{1, static_cast<std::uint64_t>(i)}};
    ControlService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      if (message.has_order()) {
        Obey(static_cast<int>(link.value), message.order());
      }
      return true;
    };
    hooks.jitter = [i] { return 0.3 * i; };
    entries_.push_back(std::make_unique<ControlService>(
        &store_, options, hooks, [this] { return environment_.now; },
        [] { return WallMicros{0}; },
        [this] {
          return Id128{1, ++ids_};
        },
        [this](Duration delay, std::function<void()> act) {
          environment_.ScheduleAfter(delay, std::move(act));
        },
        MakeNullEventLog()));
    entries_.back()->Start();
    for (int target = 0; target < targets_; ++target) {
      engines_[target];
      entries_.back()->OnLinkUp(LinkOf(target), HelloOf(target));
    }
  }
  static LinkId LinkOf(int target) {
    return LinkId{static_cast<std::uint64_t>(target)};
  }
  wire::Hello HelloOf(int target) {
    wire::Hello hello;
    hello.set_kind(wire::PROCESS_SIDE);
    hello.set_instance("engine-" + std::to_string(target));
    FillTarget(target, hello.mutable_target());
    return hello;
  }
  void FillTarget(int target, wire::TargetInfo* info) {
    info->set_deployment("brief-llm");
    info->set_is_engine(true);
    info->set_role("mixed");
    info->add_models("small@" + engines_[target].version);
    info->set_health(wire::TARGET_UP);
    info->set_order_generation(engines_[target].generation);
  }
  void Obey(int target, const wire::Order& order) {
    environment_.ScheduleAfter(seconds(2), [this, target, order] {
      engines_[target] = {order.model_version(), order.generation()};
      wire::Envelope report;
      wire::OrderStatus* status = report.mutable_order_status();
      status->set_target("engine-" + std::to_string(target));
      status->set_fencing_number(order.fencing_number());
      status->set_generation(order.generation());
      status->set_phase(wire::ORDER_IN_FORCE);
      wire::Envelope heartbeat;
      FillTarget(target, heartbeat.mutable_heartbeat()->mutable_target());
      for (auto& entry : entries_) {
        entry->HandleMessage(LinkOf(target), report);
        entry->HandleMessage(LinkOf(target), heartbeat);
      }
    });
  }
  bool AllAt(const std::string& version) const {
    for (const auto& [target, engine] : engines_) {
      if (engine.version != version) {
        return false;
      }
    }
    return true;
  }

  int targets_;
  SimulatedEnvironment environment_;
  CountingStore store_;
  std::uint64_t ids_ = 0;
  std::map<int, Engine> engines_;
  std::vector<std::unique_ptr<ControlService>> entries_;
};

struct Row {
  double targets = 0;
  double idle = 0;
  double change = 0;
};

Row Measure(int targets) {
  constexpr seconds kSettle{60};
  constexpr seconds kIdle{300};
  constexpr seconds kMaxRolloutTime{3600};
  Fleet fleet(targets);
  fleet.Run(kSettle, 0);
  SimulatedEnvironment& environment = fleet.environment();
  const auto rate = [&environment](Duration time) {
    const double calls =
        static_cast<double>(environment.reads + environment.writes);
    return calls / std::chrono::duration<double>(time).count();
  };
  environment.reads = environment.writes = 0;
  fleet.Run(kIdle, 0);
  const double idle = rate(kIdle);
  std::printf("%7d  idle    %5.2f reads/s %5.2f writes/s, %zu open watches\n",
              targets, static_cast<double>(environment.reads) / kIdle.count(),
              static_cast<double>(environment.writes) / kIdle.count(),
              environment.watches.size());
  environment.reads = environment.writes = 0;
  fleet.AcceptRevision(2);
  const Duration took = fleet.Run(kMaxRolloutTime, 2);
  const double change = rate(took);
  std::printf("%7d  change  %5.2f calls/s, %llu writes in %.1f s\n", targets,
              change, static_cast<unsigned long long>(environment.writes),
              std::chrono::duration<double>(took).count());
  return {static_cast<double>(targets), idle, change};
}

double Slope(const std::vector<Row>& rows, double Row::*figure) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const Row& row : rows) {
    sx += row.targets;
    sy += row.*figure;
    sxx += row.targets * row.targets;
    sxy += row.targets * (row.*figure);
  }
  const double n = static_cast<double>(rows.size());
  return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

}  // namespace
}  // namespace indigolead

int main() {
  using indigolead::Row;
  std::vector<Row> rows;
  std::printf("store calls of control, %d entries, simulated time\n",
              indigolead::kEntries);
  for (const int targets : {5, 10, 20, 40}) {
    rows.push_back(indigolead::Measure(targets));
  }
  std::printf("slope idle    %+.4f calls/s per target\n",
              indigolead::Slope(rows, &Row::idle));
  std::printf("slope change  %+.4f calls/s per target\n",
              indigolead::Slope(rows, &Row::change));
}
