#include "tests/support/direct_simulation/messages.h"
#include "tests/support/direct_simulation/simulation.h"

namespace indigolead::testing::direct_simulation {

using std::chrono::milliseconds;

namespace {

/// Client of one target, in simulated time.
class SimulatedClient : public TargetClient {
 public:
  SimulatedClient(Simulation* simulation, int entry,
                  std::uint64_t process_number, std::string address)
      : simulation_(simulation),
        entry_(entry),
        process_number_(process_number),
        address_(std::move(address)) {}

  std::unique_ptr<TargetClient::Call> Start(TargetRequest request,
                                            Hooks hooks) override;

 private:
  Simulation* simulation_;
  int entry_;
  std::uint64_t process_number_;
  std::string address_;
};

class SimulatedCall : public TargetClient::Call {
 public:
  explicit SimulatedCall(std::shared_ptr<direct_simulation::Call> state)
      : state_(std::move(state)) {}
  ~SimulatedCall() override { state_->open = false; }
  SimulatedCall(const SimulatedCall&) = delete;
  SimulatedCall& operator=(const SimulatedCall&) = delete;
  void PauseReading(bool /*pause*/) override {}

 private:
  std::shared_ptr<direct_simulation::Call> state_;
};

std::unique_ptr<TargetClient::Call> SimulatedClient::Start(
    TargetRequest request, Hooks hooks) {
  auto state = std::make_shared<direct_simulation::Call>();
  state->entry = entry_;
  state->process_number = process_number_;
  state->address = address_;
  state->request = std::move(request);
  state->hooks = std::move(hooks);
  simulation_->StartCall(state);
  return std::make_unique<SimulatedCall>(state);
}

}  // namespace

void Simulation::StartEntry(int number) {
  Entry& entry = entries_[number];
  entry = Entry{};
  entry.process_number = ++next_process_number_;
  if (entry.process_number <= entries_.size()) {
    // The initial entries count as registered a minute ago.
    entry.registered_at = time_.now() - std::chrono::minutes(1);
  }
  entry.metrics = std::make_unique<MetricsRegistry>();
  DirectDispatcher::Options options;
  options.failure_domain = number % 2 == 0 ? "oviedo" : "bilbao";
  options.placement.failure_domain = options.failure_domain;
  options.flow.retry_failed_answers = true;
  options.flow.charge_refused_attempts = true;
  options.flow.no_target_wait = Duration{0};
  options.flow.max_forwards = 4;
  options.retry_budget = {kRetryShare, {kRetryBurst, 0}, kRetriesAtStart};
  options.transport.make_client =
      [this, number,
       process_number = entry.process_number](const std::string& address) {
        return std::make_unique<SimulatedClient>(this, number, process_number,
                                                 address);
      };
  DirectDispatcher::Hooks hooks;
  hooks.to_callers = [this, number](const ToCallers& message) {
    OnToCaller(number, message);
  };
  const IdSource ids = [this] { return Id128{++next_id_, 7}; };
  entry.dispatcher = std::make_unique<DirectDispatcher>(
      &io_, std::move(options), MakeSimulatedDialect(), std::move(hooks),
      [this] { return time_.now(); }, ids, random_, MakeNullEventLog(),
      entry.metrics.get());
  RouteConfiguration routes;
  routes.version = 1;
  routes.services = {{"app", 100, std::nullopt}, {"llm", 100, EngineTraits{}}};
  entry.dispatcher->OnRoutes(routes);
  entry.dispatcher->OnStoreFollowed();
  SendTargets(number);
}

void Simulation::RunOnEntry(int number, std::uint64_t process_number,
                            std::function<void()> function) {
  Entry& entry = entries_[number];
  if (entry.process_number != process_number) {
    return;
  }
  if (entry.frozen_until > time_.now()) {
    entry.waiting.push_back(std::move(function));
    return;
  }
  function();
  io_.restart();
  io_.poll();
}

void Simulation::Freeze(int number, Duration length) {
  Entry& entry = entries_[number];
  entry.frozen_until = std::max(entry.frozen_until, time_.now() + length);
  time_.After(length, [this, number, process_number = entry.process_number] {
    Unfreeze(number, process_number);
  });
}

void Simulation::Unfreeze(int number, std::uint64_t process_number) {
  Entry& entry = entries_[number];
  if (entry.process_number != process_number ||
      entry.frozen_until > time_.now()) {
    return;
  }
  // Deferred functions run in their order of arrival.
  const auto waiting = std::exchange(entry.waiting, {});
  for (const auto& it : waiting) {
    RunOnEntry(number, process_number, it);
  }
}

void Simulation::TickEntry(int number) {
  RunOnEntry(number, entries_[number].process_number,
             [this, number] { entries_[number].dispatcher->Tick(); });
  time_.After(kTick, [this, number] { TickEntry(number); });
}

void Simulation::SendTargets(int number) {
  Entry& entry = entries_[number];
  if (store_down_) {
    entry.dispatcher->OnStoreLost(time_.now());
    return;
  }
  std::vector<TargetRecord> listed;
  for (const auto& it : targets_) {
    if (it->listed) {
      listed.push_back(it->record);
    }
  }
  entry.dispatcher->OnStoreFollowed();
  SendEntries(number);
  entry.dispatcher->OnTargets(listed);
  for (const TargetRecord& it : listed) {
    if (it.leaving) {
      entry.known_leaving.insert(it.id);
    }
  }
}

void Simulation::SendEntries(int number) {
  Entry& entry = entries_[number];
  entry.registered_at = entry.registered_at.value_or(time_.now());
  EntryView view;
  view.own_name = "front-" + std::to_string(number);
  for (const auto& [n, it] : entries_) {
    view.names.push_back("front-" + std::to_string(n));
  }
  view.listed_at = time_.now();
  view.registered_at = entry.registered_at;
  entry.dispatcher->OnEntries(std::move(view));
}

void Simulation::CheckClosed(const std::string& id) {
  for (const auto& it : observations_[id].calls) {
    const auto call = it.lock();
    if (call && call->open && !call->ended) {
      AddViolation("disconnected: a call is still open for the caller of " +
                   id);
    }
  }
}

void Simulation::CheckBudget(const Entry& entry) {
  for (const auto& [service, further] : entry.further) {
    const auto requests = entry.requests.find(service);
    const double earned =
        kRetryShare * (requests == entry.requests.end() ? 0 : requests->second);
    if (further > kRetriesAtStart + earned + 1e-6) {
      AddViolation("budget: " + std::to_string(further) +
                   " retry arrivals at " + service);
    }
  }
}

void Simulation::OnToCaller(int /*number*/, const ToCallers& message) {
  const auto observation_of =
      [this](const RequestId& id) -> RequestObservation* {
    return &observations_[names_.at(id)];
  };
  if (const auto* whole = std::get_if<AnswerWhole>(&message)) {
    const std::string& id = names_.at(whole->request);
    RequestObservation* observation = observation_of(whole->request);
    RecordFinalAnswer(observation);
    ++report_.answered;
    const std::string expected =
        observation->kind == Kind::kSafe || observation->kind == Kind::kUnsafe
            ? WholeAnswerText(id)
            : WholeStream(id);
    if (whole->answer.status == 421 || whole->answer.status == 503) {
      AddViolation("refusal: a target's " +
                   std::to_string(whole->answer.status) +
                   " is passed on as an answer to " + id);
    }
    if (whole->answer.status == 200 && whole->answer.body != expected) {
      AddViolation("mixed: " + id + " got \"" + whole->answer.body + "\"");
    }
  } else if (const auto* data = std::get_if<AnswerData>(&message)) {
    observation_of(data->request)->body += data->data;
  } else if (const auto* end = std::get_if<AnswerEnd>(&message)) {
    const std::string& id = names_.at(end->request);
    RequestObservation* observation = observation_of(end->request);
    RecordFinalAnswer(observation);
    ++report_.answered;
    if (observation->body != WholeStream(id)) {
      AddViolation("order: " + id + " ends as complete with \"" +
                   observation->body + "\"");
    }
  } else if (const auto* refusal = std::get_if<AnswerRefusal>(&message)) {
    OnRefused(names_.at(refusal->request), observation_of(refusal->request),
              refusal->refusal);
  } else if (const auto* abort = std::get_if<AnswerAbort>(&message)) {
    const std::string& id = names_.at(abort->request);
    RequestObservation* observation = observation_of(abort->request);
    if (WholeStream(id).rfind(observation->body, 0) != 0) {
      AddViolation("order: " + id + " is aborted after \"" + observation->body +
                   "\"");
    }
    OnRefused(id, observation, abort->refusal);
  }
}

void Simulation::RecordFinalAnswer(RequestObservation* observation) {
  ++observation->finals;
  if (observation->finals > 1) {
    AddViolation("a second final answer");
  }
  const Entry& entry = entries_[observation->entry];
  // A frozen entry answers only after it resumes.
  if (time_.now() > std::max(observation->deadline, entry.frozen_until) +
                        kDeadlineTolerance) {
    AddViolation("late: a final answer " +
                 std::to_string((time_.now() - observation->deadline) /
                                milliseconds(1)) +
                 " ms after its deadline");
  }
}

void Simulation::OnRefused(const std::string& id,
                           RequestObservation* observation,
                           const Refusal& refusal) {
  RecordFinalAnswer(observation);
  if (refusal.run != RunState::kNotRun) {
    ++report_.unknown;
    if (observation->sends == 0) {
      AddViolation("unknown: " + id + " is reported as possibly run (" +
                   refusal.code + ") but was not sent");
    }
    return;
  }
  ++report_.refused;
  const bool may_run_once =
      observation->kind == Kind::kUnsafe || observation->kind == Kind::kStream;
  observation->reported_not_run = true;
  if (may_run_once && observation->runs > 0) {
    AddViolation("denied: " + id + " is reported as not run (" + refusal.code +
                 ") but has run");
  }
}

}  // namespace indigolead::testing::direct_simulation
