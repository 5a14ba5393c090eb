#include "tests/support/direct_world/words.h"
#include "tests/support/direct_world/world.h"

namespace indigolead::testing::direct_world {

using std::chrono::milliseconds;

namespace {

/// Client of one target, in simulated time.
class WorldClient : public TargetClient {
 public:
  WorldClient(World* world, int entry, std::uint64_t life, std::string address)
      : world_(world),
        entry_(entry),
        life_(life),
        address_(std::move(address)) {}

  std::unique_ptr<TargetClient::Call> Start(TargetRequest request,
                                            Hooks hooks) override;

 private:
  World* world_;
  int entry_;
  std::uint64_t life_;
  std::string address_;
};

class WorldCall : public TargetClient::Call {
 public:
  explicit WorldCall(std::shared_ptr<direct_world::Call> state)
      : state_(std::move(state)) {}
  ~WorldCall() override { state_->open = false; }
  WorldCall(const WorldCall&) = delete;
  WorldCall& operator=(const WorldCall&) = delete;
  void PauseReading(bool /*pause*/) override {}

 private:
  std::shared_ptr<direct_world::Call> state_;
};

std::unique_ptr<TargetClient::Call> WorldClient::Start(TargetRequest request,
                                                       Hooks hooks) {
  auto state = std::make_shared<direct_world::Call>();
  state->entry = entry_;
  state->life = life_;
  state->address = address_;
  state->request = std::move(request);
  state->hooks = std::move(hooks);
  world_->StartCall(state);
  return std::make_unique<WorldCall>(state);
}

}  // namespace

void World::StartEntry(int number) {
  Entry& entry = entries_[number];
  entry = Entry{};
  entry.life = ++next_life_;
  if (entry.life <= entries_.size()) {
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
      [this, number, life = entry.life](const std::string& address) {
        return std::make_unique<WorldClient>(this, number, life, address);
      };
  DirectDispatcher::Hooks hooks;
  hooks.to_callers = [this, number](const ToCallers& message) {
    OnToCaller(number, message);
  };
  const IdSource ids = [this] { return Id128{++next_id_, 7}; };
  entry.dispatcher = std::make_unique<DirectDispatcher>(
      &io_, std::move(options), MakeWorldDialect(), std::move(hooks),
      [this] { return time_.now(); }, ids, random_, MakeNullEventLog(),
      entry.metrics.get());
  RouteConfiguration routes;
  routes.version = 1;
  routes.services = {{"app", 100, std::nullopt}, {"llm", 100, EngineTraits{}}};
  entry.dispatcher->OnRoutes(routes);
  entry.dispatcher->OnStoreFollowed();
  TellTargets(number);
}

void World::ToEntry(int number, std::uint64_t life,
                    std::function<void()> function) {
  Entry& entry = entries_[number];
  if (entry.life != life) {
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

void World::Freeze(int number, Duration length) {
  Entry& entry = entries_[number];
  entry.frozen_until = std::max(entry.frozen_until, time_.now() + length);
  time_.After(length,
              [this, number, life = entry.life] { Thaw(number, life); });
}

void World::Thaw(int number, std::uint64_t life) {
  Entry& entry = entries_[number];
  if (entry.life != life || entry.frozen_until > time_.now()) {
    return;
  }
  // Deferred functions run in their order of arrival.
  const auto waiting = std::exchange(entry.waiting, {});
  for (const auto& it : waiting) {
    ToEntry(number, life, it);
  }
}

void World::TickEntry(int number) {
  ToEntry(number, entries_[number].life,
          [this, number] { entries_[number].dispatcher->Tick(); });
  time_.After(kTick, [this, number] { TickEntry(number); });
}

void World::TellTargets(int number) {
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
  TellEntries(number);
  entry.dispatcher->OnTargets(listed);
  for (const TargetRecord& it : listed) {
    if (it.leaving) {
      entry.told_leaving.insert(it.id);
    }
  }
}

void World::TellEntries(int number) {
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

void World::CheckClosed(const std::string& id) {
  for (const auto& it : ledgers_[id].calls) {
    const auto call = it.lock();
    if (call && call->open && !call->ended) {
      Violate("disconnected: a call is still open for the caller of " + id);
    }
  }
}

void World::CheckBudget(const Entry& entry) {
  for (const auto& [service, further] : entry.further) {
    const auto requests = entry.requests.find(service);
    const double earned =
        kRetryShare * (requests == entry.requests.end() ? 0 : requests->second);
    if (further > kRetriesAtStart + earned + 1e-6) {
      Violate("budget: " + std::to_string(further) + " retry arrivals at " +
              service);
    }
  }
}

void World::OnToCaller(int /*number*/, const ToCallers& message) {
  const auto ledger_of = [this](const RequestId& id) -> Ledger* {
    return &ledgers_[names_.at(id)];
  };
  if (const auto* whole = std::get_if<AnswerWhole>(&message)) {
    const std::string& id = names_.at(whole->request);
    Ledger* ledger = ledger_of(whole->request);
    Finish(ledger);
    ++report_.answered;
    const std::string expected =
        ledger->kind == Kind::kSafe || ledger->kind == Kind::kUnsafe
            ? WholeAnswerText(id)
            : WholeStream(id);
    if (whole->answer.status == 421 || whole->answer.status == 503) {
      Violate("refusal: a target's " + std::to_string(whole->answer.status) +
              " is passed on as an answer to " + id);
    }
    if (whole->answer.status == 200 && whole->answer.body != expected) {
      Violate("mixed: " + id + " got \"" + whole->answer.body + "\"");
    }
  } else if (const auto* data = std::get_if<AnswerData>(&message)) {
    ledger_of(data->request)->body += data->data;
  } else if (const auto* end = std::get_if<AnswerEnd>(&message)) {
    const std::string& id = names_.at(end->request);
    Ledger* ledger = ledger_of(end->request);
    Finish(ledger);
    ++report_.answered;
    if (ledger->body != WholeStream(id)) {
      Violate("order: " + id + " ends as complete with \"" + ledger->body +
              "\"");
    }
  } else if (const auto* refusal = std::get_if<AnswerRefusal>(&message)) {
    Refused(names_.at(refusal->request), ledger_of(refusal->request),
            refusal->refusal);
  } else if (const auto* abort = std::get_if<AnswerAbort>(&message)) {
    const std::string& id = names_.at(abort->request);
    Ledger* ledger = ledger_of(abort->request);
    if (WholeStream(id).rfind(ledger->body, 0) != 0) {
      Violate("order: " + id + " is aborted after \"" + ledger->body + "\"");
    }
    Refused(id, ledger, abort->refusal);
  }
}

void World::Finish(Ledger* ledger) {
  ++ledger->finals;
  if (ledger->finals > 1) {
    Violate("a second final answer");
  }
  const Entry& entry = entries_[ledger->entry];
  // A frozen entry answers only after it resumes.
  if (time_.now() > std::max(ledger->deadline, entry.frozen_until) + kSlack) {
    Violate("late: a final answer " +
            std::to_string((time_.now() - ledger->deadline) / milliseconds(1)) +
            " ms after its deadline");
  }
}

void World::Refused(const std::string& id, Ledger* ledger,
                    const Refusal& refusal) {
  Finish(ledger);
  if (refusal.run != RunState::kNotRun) {
    ++report_.unknown;
    if (ledger->sends == 0) {
      Violate("unknown: " + id + " is reported as possibly run (" +
              refusal.code + ") but was not sent");
    }
    return;
  }
  ++report_.refused;
  const bool may_run_once =
      ledger->kind == Kind::kUnsafe || ledger->kind == Kind::kStream;
  ledger->told_not_run = true;
  if (may_run_once && ledger->runs > 0) {
    Violate("denied: " + id + " is reported as not run (" + refusal.code +
            ") but has run");
  }
}

}  // namespace indigolead::testing::direct_world
