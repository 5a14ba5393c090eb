#include "tests/support/direct_world.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>

#include "entry/direct_dispatcher.h"

namespace indigolead::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(25);
constexpr Duration kTraffic = seconds(12);  ///< Requests come that long.
constexpr Duration kRest = seconds(12);     ///< Longer than any deadline.
/// A final answer may come that much after its deadline: two ticks.
constexpr Duration kSlack = milliseconds(60);
constexpr Duration kConnectTimeout = milliseconds(600);
constexpr std::uint32_t kMaxAttempts = 2;
constexpr double kRetryShare = 0.14;
constexpr double kRetryBurst = 6;
constexpr double kRetriesAtStart = 4;

enum class Kind { kSafe, kUnsafe, kStream, kResumable };

/// Fields of the calls of this world's targets.
constexpr char kInstance[] = "Instance";
constexpr char kId[] = "Id";
constexpr char kOperation[] = "Operation";
constexpr char kSource[] = "Source";
constexpr char kResume[] = "Resume";

std::string FieldOf(const TargetRequest& request, const char* name) {
  for (const HttpHeader& it : request.headers) {
    if (it.name == name) {
      return it.value;
    }
  }
  return "";
}

int EventsOf(const std::string& id) {
  return 3 + static_cast<int>(std::hash<std::string>{}(id) % 6);
}

std::string EventText(const std::string& id, int number) {
  const std::string n = std::to_string(number);
  return "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int n = 1; n <= EventsOf(id); ++n) {
    text += EventText(id, n);
  }
  return text;
}

std::string WholeAnswerText(const std::string& id) { return "answer of " + id; }

TargetRequest MakeCall(const CallerRequest& request, const TargetRecord& target,
                       const RunOptions& options, const char* operation) {
  TargetRequest call;
  call.headers = {{kInstance, target.id},
                  {kId, request.caller_id},
                  {kOperation, operation},
                  {kResume, options.resume_after}};
  call.deadline = options.left;
  return call;
}

TargetDialect MakeWorldDialect() {
  TargetDialect dialect;
  dialect.run = [](const CallerRequest& request, const TargetRecord& target,
                   const RunOptions& options) {
    TargetRequest call = MakeCall(request, target, options, "run");
    if (options.source) {
      call.headers.push_back({kSource, options.source->source_address + "/" +
                                           options.source->name});
    }
    return call;
  };
  dialect.prefill = [](const CallerRequest& request, const TargetRecord& target,
                       const RunOptions& options) {
    return MakeCall(request, target, options, "prefill");
  };
  dialect.read_handle = [](const TargetRecord& target,
                           const TargetAnswer& answer) -> Result<KvHandle> {
    if (answer.status != 200) {
      return Error{answer.status == 503 ? ErrorCode::kOverloaded
                                        : ErrorCode::kUnavailable,
                   "prefill", target.id, std::to_string(answer.status)};
    }
    return KvHandle{target.address, answer.body};
  };
  dialect.release = [](const KvHandle& handle) {
    TargetRequest call;
    call.headers = {{kOperation, "release"}, {kSource, handle.name}};
    return call;
  };
  dialect.meaning = [](int status, const std::vector<HttpHeader>& /*headers*/) {
    switch (status) {
      case 421:
        return AnswerMeaning::kWrongTarget;
      case 503:
        return AnswerMeaning::kNotRun;
      default:
        return AnswerMeaning::kAnswer;
    }
  };
  return dialect;
}

/// Functions to call in order of time.
class Timeline {
 public:
  TimePoint now() const { return now_; }

  void After(Duration delay, std::function<void()> function) {
    events_.push({now_ + delay, next_++, std::move(function)});
  }

  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.function();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> function;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  TimePoint now_{seconds(1000)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

/// One target, as it truly is.
struct Target {
  TargetRecord record;
  bool alive = true;
  bool frozen = false;
  bool listed = true;
  std::uint32_t running = 0;
  std::uint64_t handles_made = 0;
  std::set<std::string> handles;
};

struct Call;

/// One request, as its caller and the targets see it.
struct Ledger {
  Kind kind = Kind::kSafe;
  std::string service;
  TimePoint deadline;
  int entry = 0;
  std::uint64_t life = 0;  ///< Of the entry's process that took it.
  int runs = 0;
  int sends = 0;     ///< Calls that run it, written.
  int prefills = 0;  ///< Calls that read its prompt, written.
  int finals = 0;
  bool told_not_run = false;
  bool cut = false;
  std::optional<TimePoint> gone_at;
  std::string body;
  std::vector<std::weak_ptr<Call>> calls;
};

/// One call on its way.
struct Call {
  int entry = 0;
  std::uint64_t life = 0;
  std::string address;
  TargetRequest request;
  TargetClient::Hooks hooks;
  bool open = true;  ///< The entry still waits for it.
  bool written = false;
  bool ended = false;
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(MakeSeededRandom(seed)) {}

  DirectWorldReport Play();

  /// Starts a call that an entry makes to `address`.
  void StartCall(const std::shared_ptr<Call>& call);

 private:
  struct Entry {
    std::unique_ptr<DirectDispatcher> dispatcher;
    std::unique_ptr<MetricsRegistry> metrics;
    std::uint64_t life = 0;
    TimePoint frozen_until{};
    std::vector<std::function<void()>> waiting;  ///< While it is frozen.
    std::set<std::string> told_leaving;
    std::map<std::string, int> requests;  ///< Of this life, by service.
    std::map<std::string, int> further;
  };

  bool Chance(double p) { return ToUnitInterval(random_()) < p; }
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  Duration Between(Duration least, Duration most) {
    return least + std::chrono::duration_cast<Duration>(
                       (most - least) * ToUnitInterval(random_()));
  }
  void Violate(std::string what) {
    if (report_.violations.size() < 10) {
      report_.violations.push_back(std::move(what));
    }
  }

  void AddTarget(const std::string& service, EngineRole role,
                 const std::string& address);
  void StartEntry(int number);
  void CheckBudget(const Entry& entry);
  void CheckClosed(const std::string& id);
  void TickEntry(int number);
  void TellTargets(int number);
  void ToEntry(int number, std::uint64_t life, std::function<void()> function);
  void Freeze(int number, Duration length);
  void Thaw(int number, std::uint64_t life);
  void OnToCaller(int number, const ToCallers& message);
  void Finish(Ledger* ledger);
  void Refused(const std::string& id, Ledger* ledger, const Refusal& refusal);

  void NextRequest();
  void NextTrouble();
  void CrashTarget(Target* target);

  Target* At(const std::string& address);
  Target* RandomTarget();
  void End(const std::shared_ptr<Call>& call, ErrorCode code);
  void Answer(const std::shared_ptr<Call>& call, int status, std::string body);
  void Arrive(const std::shared_ptr<Call>& call);
  void Prefill(const std::shared_ptr<Call>& call, Target* target);
  void Run(const std::shared_ptr<Call>& call, Target* target);
  bool TakeSource(const std::string& source);
  void CountRun(const std::string& id);
  void StreamEvent(const std::shared_ptr<Call>& call, const std::string& id,
                   int number, int breaks_at);
  void Body(const std::shared_ptr<Call>& call, std::string data);

  RandomSource random_;
  Timeline time_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::map<int, Entry> entries_;
  std::map<std::string, Ledger> ledgers_;
  std::map<RequestId, std::string> names_;
  std::uint64_t next_target_ = 0;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_life_ = 0;
  std::uint64_t next_id_ = 0;
  bool store_down_ = false;
  DirectWorldReport report_;
};

/// Client of one target, in the world's time.
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
  explicit WorldCall(std::shared_ptr<testing::Call> state)
      : state_(std::move(state)) {}
  ~WorldCall() override { state_->open = false; }
  WorldCall(const WorldCall&) = delete;
  WorldCall& operator=(const WorldCall&) = delete;
  void PauseReading(bool /*pause*/) override {}

 private:
  std::shared_ptr<testing::Call> state_;
};

std::unique_ptr<TargetClient::Call> WorldClient::Start(TargetRequest request,
                                                       Hooks hooks) {
  auto state = std::make_shared<testing::Call>();
  state->entry = entry_;
  state->life = life_;
  state->address = address_;
  state->request = std::move(request);
  state->hooks = std::move(hooks);
  world_->StartCall(state);
  return std::make_unique<WorldCall>(state);
}

// ---------------------------------------------------------------- entries

void World::StartEntry(int number) {
  Entry& entry = entries_[number];
  entry = Entry{};
  entry.life = ++next_life_;
  entry.metrics = std::make_unique<MetricsRegistry>();
  DirectDispatcher::Options options;
  options.failure_domain = number % 2 == 0 ? "oviedo" : "bilbao";
  options.placement.failure_domain = options.failure_domain;
  options.flow.retry_failed_answers = true;
  options.flow.charge_refused_attempts = true;
  options.flow.no_target_wait = Duration{0};
  options.flow.max_forwards = 4;
  options.retry_budget = {kRetryShare, kRetryBurst, kRetriesAtStart};
  options.carrier.make_client =
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
  // What has come meanwhile is read in the order in which it came.
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
    entry.dispatcher->OnStoreLost();
    return;
  }
  std::vector<TargetRecord> listed;
  for (const auto& it : targets_) {
    if (it->listed) {
      listed.push_back(it->record);
    }
  }
  entry.dispatcher->OnStoreFollowed();
  entry.dispatcher->OnTargets(listed);
  for (const TargetRecord& it : listed) {
    if (it.leaving) {
      entry.told_leaving.insert(it.id);
    }
  }
}

void World::CheckClosed(const std::string& id) {
  for (const auto& it : ledgers_[id].calls) {
    const auto call = it.lock();
    if (call && call->open && !call->ended) {
      Violate("gone: a target still works for the caller of " + id);
    }
  }
}

void World::CheckBudget(const Entry& entry) {
  for (const auto& [service, further] : entry.further) {
    const auto requests = entry.requests.find(service);
    const double earned =
        kRetryShare * (requests == entry.requests.end() ? 0 : requests->second);
    if (further > kRetriesAtStart + earned + 1e-6) {
      Violate("budget: " + std::to_string(further) + " further arrivals at " +
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
      Violate("order: " + id + " ends as whole with \"" + ledger->body + "\"");
    }
  } else if (const auto* refusal = std::get_if<AnswerRefusal>(&message)) {
    Refused(names_.at(refusal->request), ledger_of(refusal->request),
            refusal->refusal);
  } else if (const auto* abort = std::get_if<AnswerAbort>(&message)) {
    const std::string& id = names_.at(abort->request);
    Ledger* ledger = ledger_of(abort->request);
    if (WholeStream(id).rfind(ledger->body, 0) != 0) {
      Violate("order: " + id + " is broken off after \"" + ledger->body + "\"");
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
  // A frozen entry answers once it wakes.
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
      Violate("doubt: " + id + " is told that it may have run (" +
              refusal.code + "), and was not sent");
    }
    return;
  }
  ++report_.refused;
  const bool may_run_once =
      ledger->kind == Kind::kUnsafe || ledger->kind == Kind::kStream;
  ledger->told_not_run = true;
  if (may_run_once && ledger->runs > 0) {
    Violate("denied: " + id + " is told that it has not run (" + refusal.code +
            "), and it has");
  }
}

// ---------------------------------------------------------------- callers

void World::NextRequest() {
  const int number = static_cast<int>(Below(entries_.size()));
  const auto kind = static_cast<Kind>(Below(4));
  const bool is_stream = kind == Kind::kStream || kind == Kind::kResumable;
  const std::string id = "r" + std::to_string(++next_request_);
  auto request = std::make_shared<CallerRequest>();
  request->id = RequestId{Id128{next_request_, 1}};
  request->caller_id = id;
  request->deployment = is_stream ? "llm" : "app";
  request->repeatability = kind == Kind::kSafe || kind == Kind::kResumable
                               ? Repeatability::kIdempotent
                               : Repeatability::kOnce;
  request->streamed = is_stream;
  request->may_resume = kind == Kind::kResumable;
  request->max_attempts = kMaxAttempts;
  request->received_at = time_.now();
  request->deadline =
      time_.now() + Between(milliseconds(300), milliseconds(5000));
  if (is_stream) {
    request->prompt_tokens = 200 + Below(9000);
    request->prompt_parts = {{1 + Below(4), 150}, {1000 + next_request_, 50}};
  }
  Ledger& ledger = ledgers_[id];
  ledger.kind = kind;
  ledger.service = request->deployment;
  ledger.deadline = request->deadline;
  ledger.entry = number;
  ledger.life = entries_[number].life;
  names_[request->id] = id;
  ++report_.requests;
  ToEntry(number, ledger.life, [this, number, request] {
    ++entries_[number].requests[request->deployment];
    entries_[number].dispatcher->OnRequest(request);
  });
  if (Chance(0.05)) {
    time_.After(
        Between(Duration{0}, milliseconds(400)), [this, number, id, request] {
          ToEntry(number, ledgers_[id].life, [this, number, id, request] {
            Ledger& gone = ledgers_[id];
            if (gone.finals == 0) {
              gone.gone_at = time_.now();
              entries_[number].dispatcher->OnCallerGone(request->id);
              CheckClosed(id);
            }
          });
        });
  }
}

// ---------------------------------------------------------------- troubles

void World::AddTarget(const std::string& service, EngineRole role,
                      const std::string& address) {
  auto target = std::make_unique<Target>();
  const std::uint64_t n = ++next_target_;
  target->record.id = "i" + std::to_string(n);
  target->record.service = service;
  target->record.address =
      address.empty() ? "10.0.0." + std::to_string(n) + ":80" : address;
  target->record.failure_domain = n % 2 == 0 ? "oviedo" : "bilbao";
  target->record.role = role;
  target->record.slots = 4;
  targets_.push_back(std::move(target));
}

Target* World::RandomTarget() {
  Target* target = targets_[Below(targets_.size())].get();
  return target->alive && !target->record.leaving ? target : nullptr;
}

void World::CrashTarget(Target* target) {
  target->alive = false;
  time_.After(Between(seconds(1), seconds(4)),
              [target] { target->listed = false; });
  // Its address may go to a target of another service.
  const TargetRecord was = target->record;
  const bool reused = Chance(0.4);
  time_.After(Between(seconds(1), seconds(3)), [this, was, reused] {
    const bool other = reused && Chance(0.5);
    AddTarget(other ? "app" : was.service,
              other ? EngineRole::kMixed : was.role, reused ? was.address : "");
  });
}

void World::NextTrouble() {
  Target* target = RandomTarget();
  const int entry = static_cast<int>(Below(entries_.size()));
  switch (Below(7)) {
    case 0:
      if (target) {
        CrashTarget(target);
      }
      break;
    case 1:
      if (target) {
        target->frozen = true;
        time_.After(Between(milliseconds(100), seconds(3)),
                    [target] { target->frozen = false; });
      }
      break;
    case 2:
      if (target) {  // Leaves: serves on for a while, then ends.
        target->record.leaving = true;
        time_.After(Between(seconds(3), seconds(5)), [target] {
          target->alive = false;
          target->listed = false;
        });
        AddTarget(target->record.service, target->record.role, "");
      }
      break;
    case 3:
      if (target && target->record.service == "llm") {
        target->record.role = target->record.role == EngineRole::kPrefill
                                  ? EngineRole::kDecode
                                  : EngineRole::kPrefill;
      }
      break;
    case 4:
      Freeze(entry, Between(milliseconds(50), seconds(2)));
      break;
    case 5:
      for (auto& [id, ledger] : ledgers_) {
        ledger.cut = ledger.cut || (ledger.life == entries_[entry].life &&
                                    ledger.finals == 0);
      }
      CheckBudget(entries_[entry]);
      StartEntry(entry);
      break;
    default:
      store_down_ = !store_down_;
  }
}

// ---------------------------------------------------------------- targets

Target* World::At(const std::string& address) {
  for (const auto& it : targets_) {
    if (it->alive && it->record.address == address) {
      return it.get();
    }
  }
  return nullptr;
}

void World::StartCall(const std::shared_ptr<Call>& call) {
  const std::string instance = FieldOf(call->request, kInstance);
  const std::string id = FieldOf(call->request, kId);
  if (!id.empty()) {
    Ledger& ledger = ledgers_[id];
    ledger.calls.push_back(call);
    if (entries_[call->entry].told_leaving.count(instance) > 0) {
      Violate("drain: " + id + " is sent to " + instance + ", which leaves");
    }
    if (ledger.gone_at) {
      Violate("gone: " + id + " is sent after its caller has left");
    }
  }
  time_.After(call->request.deadline,
              [this, call] { End(call, ErrorCode::kTimeout); });
  const Target* target = At(call->address);
  if (!target || Chance(0.03)) {
    // Nobody answers there, or the connection is refused.
    const bool hangs = Chance(0.5);
    time_.After(hangs ? kConnectTimeout : microseconds(300),
                [this, call] { End(call, ErrorCode::kUnavailable); });
    return;
  }
  time_.After(Between(microseconds(100), milliseconds(3)), [this, call] {
    ToEntry(call->entry, call->life, [this, call] {
      if (!call->open || call->ended) {
        return;
      }
      if (call->hooks.on_before_write && !call->hooks.on_before_write()) {
        return;
      }
      call->written = true;
      const std::string id = FieldOf(call->request, kId);
      if (!id.empty()) {
        Ledger& ledger = ledgers_[id];
        Entry& entry = entries_[call->entry];
        const bool prefill = FieldOf(call->request, kOperation) == "prefill";
        int& count = prefill ? ledger.prefills : ledger.sends;
        const bool further = ++count > 1;
        entry.further[ledger.service] += further ? 1 : 0;
        report_.retries += further && !prefill ? 1 : 0;
      }
      time_.After(Chance(0.02) ? Between(milliseconds(100), seconds(1))
                               : Between(microseconds(100), milliseconds(2)),
                  [this, call] { Arrive(call); });
    });
  });
}

void World::End(const std::shared_ptr<Call>& call, ErrorCode code) {
  ToEntry(call->entry, call->life, [call, code] {
    if (call->open && !call->ended) {
      call->ended = true;
      call->hooks.on_end(Error{code, "target.call", call->address, "world"});
    }
  });
}

void World::Body(const std::shared_ptr<Call>& call, std::string data) {
  ToEntry(call->entry, call->life, [call, data = std::move(data)] {
    if (call->open && !call->ended) {
      call->hooks.on_body(data);
    }
  });
}

void World::Answer(const std::shared_ptr<Call>& call, int status,
                   std::string body) {
  ToEntry(call->entry, call->life, [call, status, body = std::move(body)] {
    if (call->open && !call->ended) {
      call->hooks.on_head(status,
                          {{"Content-Length", std::to_string(body.size())}});
    }
    if (call->open && !call->ended && !body.empty()) {
      call->hooks.on_body(body);
    }
    if (call->open && !call->ended) {
      call->ended = true;
      call->hooks.on_end(Unit{});
    }
  });
}

void World::Arrive(const std::shared_ptr<Call>& call) {
  if (!call->open && Chance(0.5)) {
    return;  // Its close overtook it.
  }
  Target* target = At(call->address);
  if (!target) {
    End(call, ErrorCode::kUnknownEffect);
    return;
  }
  if (target->frozen) {
    // Read once it wakes, if it does, whether or not anybody waits.
    time_.After(milliseconds(50), [this, call] { Arrive(call); });
    return;
  }
  const std::string operation = FieldOf(call->request, kOperation);
  if (operation == "release") {
    target->handles.erase(FieldOf(call->request, kSource));
    Answer(call, 200, "");
  } else if (FieldOf(call->request, kInstance) != target->record.id) {
    Answer(call, 421, "");
  } else if (operation == "prefill") {
    Prefill(call, target);
  } else {
    Run(call, target);
  }
}

void World::Prefill(const std::shared_ptr<Call>& call, Target* target) {
  if (target->record.role != EngineRole::kPrefill) {
    Answer(call, 421, "");
    return;
  }
  if (Chance(0.04)) {
    Answer(call, Chance(0.5) ? 503 : 500, "");
    return;
  }
  if (Chance(0.03)) {
    End(call, ErrorCode::kUnknownEffect);
    return;
  }
  if (Chance(0.02)) {
    return;  // Silent.
  }
  const std::string handle = "h" + std::to_string(++target->handles_made);
  target->handles.insert(handle);
  time_.After(Between(milliseconds(5), milliseconds(200)),
              [this, call, handle] { Answer(call, 200, handle); });
}

bool World::TakeSource(const std::string& source) {
  const auto slash = source.find('/');
  Target* from = At(source.substr(0, slash));
  return from && from->handles.erase(source.substr(slash + 1)) > 0;
}

void World::CountRun(const std::string& id) {
  Ledger& ledger = ledgers_[id];
  ++ledger.runs;
  const bool may_run_once =
      ledger.kind == Kind::kUnsafe || ledger.kind == Kind::kStream;
  if (may_run_once && ledger.runs > 1) {
    Violate("twice: " + id + " runs " + std::to_string(ledger.runs) + " times");
  }
  if (may_run_once && ledger.told_not_run) {
    Violate("denied: " + id + " runs after it was told that it never will");
  }
  if (ledger.runs > static_cast<int>(kMaxAttempts)) {
    Violate("attempts: " + id + " runs " + std::to_string(ledger.runs) +
            " times");
  }
}

void World::Run(const std::shared_ptr<Call>& call, Target* target) {
  const std::string id = FieldOf(call->request, kId);
  const bool is_engine = target->record.service == "llm";
  if (is_engine && target->record.role == EngineRole::kPrefill) {
    Answer(call, 421, "");
    return;
  }
  const std::string source = FieldOf(call->request, kSource);
  if (Chance(0.04) || (!source.empty() && !TakeSource(source))) {
    Answer(call, 503, "");
    return;
  }
  CountRun(id);
  const double fault = ToUnitInterval(random_());
  if (fault < 0.03) {
    End(call, ErrorCode::kUnknownEffect);  // The answer is lost.
    return;
  }
  if (fault < 0.05) {
    return;  // Silent for good.
  }
  if (fault < 0.07) {
    time_.After(milliseconds(10), [this, call] { Answer(call, 500, "oops"); });
    return;
  }
  if (!is_engine) {
    time_.After(Between(milliseconds(1), milliseconds(60)),
                [this, call, id] { Answer(call, 200, WholeAnswerText(id)); });
    return;
  }
  const std::string resume = FieldOf(call->request, kResume);
  const int first = resume.empty() ? 1 : std::stoi(resume) + 1;
  report_.resumed += resume.empty() ? 0 : 1;
  const int breaks_at =
      Chance(0.1) ? first + static_cast<int>(Below(4)) : 1000000;
  time_.After(Between(milliseconds(1), milliseconds(80)), [this, call, id,
                                                           first, breaks_at] {
    ToEntry(call->entry, call->life, [call] {
      if (call->open && !call->ended) {
        call->hooks.on_head(200, {{"Content-Type", "text/event-stream"}});
      }
    });
    StreamEvent(call, id, first, breaks_at);
  });
}

void World::StreamEvent(const std::shared_ptr<Call>& call,
                        const std::string& id, int number, int breaks_at) {
  if (!call->open || call->ended) {
    return;
  }
  if (number > EventsOf(id)) {
    ToEntry(call->entry, call->life, [call] {
      if (call->open && !call->ended) {
        call->ended = true;
        call->hooks.on_end(Unit{});
      }
    });
    return;
  }
  const std::string event = EventText(id, number);
  if (number == breaks_at) {
    Body(call, event.substr(0, Below(event.size())));
    End(call, ErrorCode::kUnknownEffect);
    return;
  }
  Body(call, event);
  time_.After(Between(milliseconds(2), milliseconds(30)),
              [this, call, id, number, breaks_at] {
                StreamEvent(call, id, number + 1, breaks_at);
              });
}

// ---------------------------------------------------------------- play

DirectWorldReport World::Play() {
  const int readers = 1 + static_cast<int>(Below(3));
  const int runners = 1 + static_cast<int>(Below(3));
  const int plain = 1 + static_cast<int>(Below(3));
  for (int n = 0; n < readers; ++n) {
    AddTarget("llm", EngineRole::kPrefill, "");
  }
  for (int n = 0; n < runners; ++n) {
    AddTarget("llm", EngineRole::kDecode, "");
  }
  for (int n = 0; n < plain; ++n) {
    AddTarget("app", EngineRole::kMixed, "");
  }
  const int entries = 1 + static_cast<int>(Below(3));
  for (int n = 0; n < entries; ++n) {
    StartEntry(n);
    TickEntry(n);
  }
  const TimePoint start = time_.now();
  for (Duration at{0}; at < kTraffic;
       at += Between(Duration{0}, milliseconds(80))) {
    time_.After(at, [this] { NextRequest(); });
  }
  for (Duration at{0}; at < kTraffic;
       at += Between(milliseconds(100), milliseconds(1500))) {
    time_.After(at, [this] { NextTrouble(); });
  }
  for (Duration at{0}; at < kTraffic + kRest; at += milliseconds(100)) {
    for (int n = 0; n < entries; ++n) {
      time_.After(at + Between(Duration{0}, milliseconds(600)), [this, n] {
        ToEntry(n, entries_[n].life, [this, n] { TellTargets(n); });
      });
    }
  }
  time_.RunUntil(start + kTraffic + kRest);
  for (auto& [number, entry] : entries_) {
    CheckBudget(entry);
    if (entry.dispatcher->open_requests() > 0 ||
        entry.dispatcher->carrier().running() > 0) {
      Violate("left over: open requests or attempts at the end");
    }
  }
  for (const auto& [id, ledger] : ledgers_) {
    const bool left = ledger.cut || ledger.gone_at;
    report_.cut += ledger.cut ? 1 : 0;
    if (!left && ledger.finals != 1) {
      Violate("unanswered: " + id);
    }
  }
  entries_.clear();
  return report_;
}

}  // namespace

DirectWorldReport PlayDirectWorld(std::uint64_t seed) {
  return World(seed).Play();
}

}  // namespace indigolead::testing
