#include "side/target_monitor.h"

#include <nlohmann/json.hpp>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "target/fetch_answer.h"
#include "target/http_target_client.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxAnswerBytes = 64U << 10;
constexpr int kServiceUnavailable = 503;
/// Largest rate that a report may state, in tokens per second.
constexpr double kMaxRate = 1e12;

TargetRequest GetRequest(std::string path, Duration deadline) {
  TargetRequest request;
  request.method = "GET";
  request.path = std::move(path);
  request.deadline = deadline;
  return request;
}

Error MakeProtocolError(const char* step, const std::string& detail) {
  return {ErrorCode::kProtocol, step, "", detail};
}

/// Returns the state in `answer`, or the error if it has none.
Result<EngineState> ParseStateAnswer(const Result<TargetAnswer>& answer) {
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  return ParseEngineState(ValueOf(answer).body);
}

/// Returns the rate in the member `field`, which engines may state with a
/// fraction, rounded down; 0 if it is missing.
std::uint64_t RateOrZero(const Json& doc, const char* field) {
  return static_cast<std::uint64_t>(NumberOr(doc, field, 0, kMaxRate));
}

}  // namespace

Result<EngineState> ParseEngineState(const std::string& json) {
  const auto parsed = ParseBoundedJson(json, "target.state", "");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  const Json& doc = ValueOf(parsed);
  if (!doc.is_object()) {
    return MakeProtocolError("target.state", "expected a JSON object");
  }
  try {
    EngineState state;
    state.boot_id = doc.value("boot_id", "");
    state.role = doc.value("role", "");
    state.model = doc.value("model", "");
    state.version = doc.value("version", "");
    state.adapters = doc.value("adapters", std::vector<std::string>{});
    state.fencing_number = IntegerOr(doc, "fencing_number", std::uint64_t{0});
    state.generation = IntegerOr(doc, "generation", std::uint64_t{0});
    state.changing = doc.value("changing", false);
    state.checks_fencing = doc.value("checks_fencing", true);
    return state;
  } catch (const Json::exception& error) {
    return MakeProtocolError("target.state", JsonProblem(error));
  }
}

std::string EncodeEngineOrder(const SideOrder& order) {
  const Json doc = {{"fencing_number", order.fencing_number},
                    {"generation", order.generation},
                    {"role", order.setup.role},
                    {"model", order.setup.model},
                    {"version", order.setup.version},
                    {"adapters", order.setup.adapters}};
  return doc.dump();
}

Result<EngineLoad> ParseEngineLoad(const std::string& json, TimePoint now) {
  const auto parsed = ParseBoundedJson(json, "target.load", "");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  const Json& doc = ValueOf(parsed);
  if (!doc.is_object()) {
    return MakeProtocolError("target.load", "expected a JSON object");
  }
  try {
    EngineLoad load;
    load.measured_at = now - std::chrono::milliseconds(IntegerOr(
                                 doc, "measured_ago_ms", std::uint32_t{0}));
    load.running = IntegerOr(doc, "running", 0U);
    load.waiting = IntegerOr(doc, "waiting", 0U);
    load.queued_prefill_tokens =
        IntegerOr(doc, "queued_prefill_tokens", std::uint64_t{0});
    load.kv_used_bytes = IntegerOr(doc, "kv_used_bytes", std::uint64_t{0});
    load.kv_capacity_bytes =
        IntegerOr(doc, "kv_capacity_bytes", std::uint64_t{0});
    load.slots = IntegerOr(doc, "slots", 0U);
    load.prefill_tokens_per_s = RateOrZero(doc, "prefill_tokens_per_s");
    load.decode_tokens_per_s = RateOrZero(doc, "decode_tokens_per_s");
    return load;
  } catch (const Json::exception& error) {
    return MakeProtocolError("target.load", JsonProblem(error));
  }
}

TargetMonitor::TargetMonitor(boost::asio::io_context* io, Options options,
                             TargetClient* client, Clock clock,
                             std::function<void(TargetEvent)> emit)
    : io_(io),
      options_(options),
      client_(client),
      clock_(std::move(clock)),
      emit_(std::move(emit)),
      timer_(*io_) {}

void TargetMonitor::Start() { Poll(); }

void TargetMonitor::Stop() {
  stopped_ = true;
  timer_.cancel();
  poll_call_.reset();
  load_call_.reset();
  probe_call_.reset();
}

void TargetMonitor::PollSoon() {
  if (!polling_ && !stopped_) {
    Poll();
  }
}

void TargetMonitor::Poll() {
  polling_ = true;
  ScheduleNextPoll();
  if (!options_.is_engine) {
    PollHealth();
    return;
  }
  const TimePoint asked_at = clock_();
  poll_call_ = FetchAnswer(
      client_, GetRequest("/state", options_.deadline), kMaxAnswerBytes,
      [this, asked_at](const Result<TargetAnswer>& answer) {
        polling_ = false;
        OnStateAnswer(ParseStateAnswer(answer), asked_at);
      });
  PollLoad();
}

void TargetMonitor::ScheduleNextPoll() {
  timer_.expires_after(options_.poll_interval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec && !stopped_) {
      Poll();
    }
  });
}

void TargetMonitor::OnStateAnswer(const Result<EngineState>& answer,
                                  TimePoint asked_at) {
  if (!IsOk(answer)) {
    // A target that does not answer in time may just be busy; only one that
    // cannot be reached counts as down.
    if (ErrorOf(answer).code == ErrorCode::kUnavailable) {
      SetState(TargetCondition::kDown, engine_, asked_at);
    }
    return;
  }
  const EngineState& engine = ValueOf(answer);
  SetState(engine.changing ? TargetCondition::kChanging : TargetCondition::kUp,
           engine, asked_at);
}

void TargetMonitor::SetState(TargetCondition state, const EngineState& engine,
                             TimePoint asked_at) {
  engine_ = engine;
  emit_(TargetConditionEvent{state, engine_, asked_at});
}

void TargetMonitor::PollLoad() {
  load_call_ = FetchAnswer(
      client_, GetRequest("/load", options_.deadline), kMaxAnswerBytes,
      [this](const Result<TargetAnswer>& answer) {
        if (!IsOk(answer)) {
          return;
        }
        const auto load = ParseEngineLoad(ValueOf(answer).body, clock_());
        if (IsOk(load)) {
          emit_(EngineLoadEvent{ValueOf(load)});
        }
      });
}

void TargetMonitor::PollHealth() {
  const TimePoint asked_at = clock_();
  poll_call_ = FetchAnswer(
      client_, GetRequest("/health", options_.deadline), kMaxAnswerBytes,
      [this, asked_at](const Result<TargetAnswer>& answer) {
        polling_ = false;
        if (IsOk(answer)) {
          const bool up = ValueOf(answer).status != kServiceUnavailable;
          SetState(up ? TargetCondition::kUp : TargetCondition::kDown, engine_,
                   asked_at);
        } else if (ErrorOf(answer).code == ErrorCode::kUnavailable) {
          SetState(TargetCondition::kDown, engine_, asked_at);
        }
      });
}

void TargetMonitor::Probe(
    std::function<void(const Result<EngineState>&)> done) {
  probes_.push_back(std::move(done));
  if (probe_call_) {
    return;
  }
  const TimePoint asked_at = clock_();
  probe_call_ = FetchAnswer(
      client_, GetRequest("/state", options_.deadline), kMaxAnswerBytes,
      [this, asked_at](const Result<TargetAnswer>& answer) {
        const auto call = std::move(probe_call_);
        const auto state = ParseStateAnswer(answer);
        OnStateAnswer(state, asked_at);
        const auto probes = std::move(probes_);
        probes_.clear();
        for (const auto& it : probes) {
          it(state);
        }
      });
}

}  // namespace indigolead
