#include "tests/support/control_simulation.h"

#include <algorithm>
#include <utility>

#include "core/config/enum_names.h"
#include "entry/control_state.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{50};

std::string TargetName(int side) { return "engine-" + std::to_string(side); }

Roles FixedRoles(const DeploymentSpec& spec,
                 const std::vector<TargetObservation>& targets, TimePoint) {
  return StaticRoles(spec, targets);
}

}  // namespace

/// The store as seen by one entry, with the configured faults.
class SimulatedControlStore : public ObjectStore {
 public:
  SimulatedControlStore(ControlSimulation* simulation, int entry)
      : simulation_(simulation), entry_(entry) {}

  void Get(const std::string& key, const CallOptions& options,
           Callback<std::optional<StoredObject>> done) override {
    Call<std::optional<StoredObject>>(options, std::move(done), [this, key] {
      const auto objects = Objects();
      const auto it = objects.find(key);
      return Result<std::optional<StoredObject>>(
          it == objects.end() ? std::nullopt : std::optional(it->second));
    });
  }
  void List(const std::string& prefix, const CallOptions& options,
            Callback<Listing> done) override {
    Call<Listing>(options, std::move(done), [this, prefix] {
      Listing listing;
      for (const auto& [key, object] : Objects()) {
        listing.version = std::max(listing.version, object.version);
        if (key.starts_with(prefix)) {
          listing.objects.push_back(object);
        }
      }
      return Result<Listing>(listing);
    });
  }
  void Put(const std::string& key, const std::string& value,
           ExpectedVersion expected, const CallOptions& options,
           Callback<std::uint64_t> done) override {
    Call<std::uint64_t>(options, std::move(done), [this, key, value, expected] {
      return simulation_->Put(entry_, key, value, expected);
    });
  }
  void Delete(const std::string&, ExpectedVersion, const CallOptions&,
              Callback<Unit>) override {}
  std::unique_ptr<Watch> StartWatch(
      const std::string&, std::uint64_t, OnWatchEvents,
      std::function<void(const Error&)>) override {
    return nullptr;
  }
  void ListInstances(const CallOptions&, Callback<InstanceList>) override {}

 private:
  std::map<std::string, StoredObject> Objects() {
    if (!simulation_->Chance(simulation_->options_.faults.stale_read)) {
      return simulation_->objects_;
    }
    std::map<std::string, StoredObject> stale;
    const auto& history = simulation_->history_;
    const std::size_t end =
        history.empty() ? 0 : simulation_->random_() % history.size();
    for (std::size_t i = 0; i < end; ++i) {
      stale[history[i].key] = history[i];
    }
    return stale;
  }

  template <typename T>
  void Call(const CallOptions& options, Callback<T> done,
            std::function<Result<T>()> effect) {
    ++simulation_->store_calls_;
    const ControlFaults& faults = simulation_->options_.faults;
    const bool slow = simulation_->Chance(faults.slow_effect);
    const Duration wait = simulation_->Between(
        milliseconds(1), slow ? faults.max_slow : Duration(milliseconds(30)));
    const bool lost = simulation_->Chance(faults.lose_answer);
    const TimePoint deadline = simulation_->now_ + options.deadline;
    auto shared = std::make_shared<Callback<T>>(std::move(done));
    const auto answer = [this, shared](Result<T> result) {
      simulation_->OnEntry(entry_, [shared, result = std::move(result)] {
        if (*shared) {
          std::exchange(*shared, nullptr)(result);
        }
      });
    };
    simulation_->At(simulation_->now_ + wait, [this, answer, lost, effect] {
      const auto& entry =
          simulation_->entries_[static_cast<std::size_t>(entry_)];
      if (entry.disconnected || entry.disconnected_from_store) {
        return;
      }
      if (simulation_->store_down_) {
        answer(Error{ErrorCode::kUnavailable, "store", "store", "down"});
        return;
      }
      Result<T> result = effect();
      if (!lost) {
        answer(std::move(result));
      }
    });
    simulation_->At(deadline, [answer] {
      answer(Error{ErrorCode::kTimeout, "store", "store", "no answer"});
    });
  }

  ControlSimulation* simulation_;
  int entry_;
};

ControlSimulation::ControlSimulation(Options options)
    : options_(options), random_(options.seed) {
  sides_.resize(static_cast<std::size_t>(options_.sides));
  for (Side& side : sides_) {
    side.engine.checks_fencing = options_.engines_check_fencing;
    side.engine.state.model = "small";
    side.engine.state.version = "1";
  }
  entries_.resize(static_cast<std::size_t>(options_.entries));
  for (int i = 0; i < options_.entries; ++i) {
    Entry& entry = entries_[static_cast<std::size_t>(i)];
    entry.offset = seconds(1000 * i);
    entry.store = std::make_unique<SimulatedControlStore>(this, i);
    Controller::Options control;
    control.lease.holder = "entry-" + std::to_string(i);
    control.lease.incarnation = Incarnation{{1, static_cast<std::uint64_t>(i)}};
    control.reconciler.weight_load_interval = milliseconds(200);
    control.reconciler.retry_interval = seconds(2);
    entry.controller = std::make_unique<Controller>(
        entry.store.get(), control,
        Controller::Hooks{[](const AuditRecord&) {}, FixedRoles,
                          [this] { return Chance(0.5) ? 0.2 : 0.9; }},
        [this, i] { return EntryClock(i); },
        [this] {
          return Id128{7, ++ids_};
        },
        MakeNullEventLog());
    entry.forwarder = std::make_unique<OrderForwarder>(
        OrderForwarder::Options{},
        OrderForwarder::Hooks{
            [this, i](LinkId link, const wire::Envelope& message) {
              return SendToSide(i, link, message);
            },
            [this, i] {
              Entry& self = entries_[static_cast<std::size_t>(i)];
              self.store->List(
                  kControlPrefix, {},
                  [this, i](const Result<ObjectStore::Listing>& result) {
                    Result<ControlState> answer = ControlState{};
                    if (IsOk(result)) {
                      ControlState state;
                      for (const auto& object : ValueOf(result).objects) {
                        AddControlObject(object, &state);
                      }
                      answer = state;
                    } else {
                      answer = ErrorOf(result);
                    }
                    entries_[static_cast<std::size_t>(i)]
                        .forwarder->OnStateRead(answer, EntryClock(i));
                  });
            }},
        MakeNullEventLog());
    for (int side = 0; side < options_.sides; ++side) {
      Connect(i, side);
    }
  }
  Accept(1, "1");
}

ControlSimulation::~ControlSimulation() = default;

void ControlSimulation::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    Step();
  }
}

void ControlSimulation::Step() {
  now_ += kStep;
  while (!queue_.empty() && queue_.begin()->first <= now_) {
    const auto act = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    act();
  }
  for (int i = 0; i < options_.entries; ++i) {
    if (entries_[static_cast<std::size_t>(i)].paused_until > now_) {
      continue;
    }
    Watch(i);
    entries_[static_cast<std::size_t>(i)].controller->Tick();
    entries_[static_cast<std::size_t>(i)].forwarder->Tick(EntryClock(i));
  }
  for (int side = 0; side < options_.sides; ++side) {
    StepSide(side);
  }
  Check();
}

void ControlSimulation::Accept(std::uint64_t number,
                               const std::string& version) {
  revision_.number = number;
  revision_.spec.name = "brief-llm";
  revision_.spec.models = {{"small", version, {}}};
  revision_.spec.max_change_share = 0.5;
  const RevisionRecord record{"brief-llm", number, number, version};
  for (int i = 0; i < options_.entries; ++i) {
    // Each entry is notified after its own delay, possibly out of order.
    At(now_ + Between(milliseconds(10), seconds(3)),
       [this, i, record, revision = revision_] {
         Entry& entry = entries_[static_cast<std::size_t>(i)];
         entry.revision_table.Offer(record);
         entry.controller->reconciler().OnRevision(revision);
       });
  }
}

void ControlSimulation::PauseEntry(int entry, Duration duration) {
  entries_[static_cast<std::size_t>(entry)].paused_until = now_ + duration;
}

void ControlSimulation::DisconnectEntry(int entry, bool disconnected) {
  entries_[static_cast<std::size_t>(entry)].disconnected = disconnected;
  for (int side = 0; side < options_.sides; ++side) {
    if (disconnected) {
      entries_[static_cast<std::size_t>(entry)].forwarder->OnLinkDown(
          LinkOf(side, sides_[static_cast<std::size_t>(side)].run));
    } else {
      Connect(entry, side);
    }
  }
}

void ControlSimulation::DisconnectFromStore(int entry, bool disconnected) {
  entries_[static_cast<std::size_t>(entry)].disconnected_from_store =
      disconnected;
}

void ControlSimulation::RestartSide(int side) {
  Side& self = sides_[static_cast<std::size_t>(side)];
  for (int i = 0; i < options_.entries; ++i) {
    entries_[static_cast<std::size_t>(i)].forwarder->OnLinkDown(
        LinkOf(side, self.run));
  }
  Side next;
  next.engine = self.engine;
  next.run = self.run + 1;
  next.reached = self.reached;
  self = std::move(next);
  for (int i = 0; i < options_.entries; ++i) {
    if (!entries_[static_cast<std::size_t>(i)].disconnected) {
      Connect(i, side);
    }
  }
}

void ControlSimulation::CrashEngine(int side) {
  Side& self = sides_[static_cast<std::size_t>(side)];
  const bool checks = self.engine.checks_fencing;
  self.engine = Engine{};
  self.engine.checks_fencing = checks;
  self.engine.state.model = "small";
  self.engine.state.version = "1";
  self.sent_to_engine = false;
  if (self.order) {
    self.phase = OrderPhase::kAccepted;
  }
}

void ControlSimulation::BeforeNextOrderWrite(std::function<void(int)> act) {
  before_order_write_ = std::move(act);
}

std::vector<int> ControlSimulation::Holders() {
  std::vector<int> holders;
  for (int i = 0; i < options_.entries; ++i) {
    const Entry& entry = entries_[static_cast<std::size_t>(i)];
    if (entry.controller->lease().Authority(EntryClock(i))) {
      holders.push_back(i);
    }
  }
  return holders;
}

std::optional<TargetOrder> ControlSimulation::StoredOrderOf(int side) const {
  const auto it = objects_.find(OrderKey(TargetName(side)));
  return it == objects_.end() ? std::nullopt : OrderFrom(it->second).order;
}

bool ControlSimulation::Chance(double p) {
  return std::uniform_real_distribution<>(0, 1)(random_) < p;
}

Duration ControlSimulation::Between(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      low.count(), high.count())(random_));
}

void ControlSimulation::At(TimePoint when, std::function<void()> act) {
  queue_.emplace(when, std::move(act));
}

// A paused process handles deferred work only after it resumes.
void ControlSimulation::OnEntry(int entry, std::function<void()> act) {
  const TimePoint until =
      entries_[static_cast<std::size_t>(entry)].paused_until;
  if (until > now_) {
    At(until, [this, entry, act = std::move(act)] { OnEntry(entry, act); });
  } else {
    act();
  }
}

Result<std::uint64_t> ControlSimulation::Put(int entry, const std::string& key,
                                             const std::string& value,
                                             std::uint64_t expected) {
  if (before_order_write_ && key != kLeaseKey) {
    std::exchange(before_order_write_, nullptr)(entry);
  }
  StoredObject& object = objects_[key];
  if (object.version != expected) {
    return Error{ErrorCode::kConflict, "store.put", "store",
                 std::to_string(object.version)};
  }
  if (key != kLeaseKey) {
    CheckWrite(object, value);
  }
  object = StoredObject{key, value, ++version_};
  history_.push_back(object);
  return version_;
}

void ControlSimulation::Watch(int entry) {
  Entry& self = entries_[static_cast<std::size_t>(entry)];
  if (self.disconnected || self.disconnected_from_store || store_down_ ||
      watches_silent_ || self.watched == version_ || Chance(0.3)) {
    return;
  }
  ControlState state;
  for (const auto& [key, object] : objects_) {
    AddControlObject(object, &state);
  }
  self.watched = version_;
  self.controller->OnState(state);
  self.forwarder->OnState(state, EntryClock(entry));
}

}  // namespace indigolead::testing
