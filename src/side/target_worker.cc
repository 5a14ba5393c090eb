#include "side/target_worker.h"

#include <boost/asio/post.hpp>
#include <type_traits>

#include "side/events.h"

namespace indigolead {
namespace {

constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr std::size_t kMaxStreamDeletes = 1024;
constexpr int kOrderDone = 200;
constexpr int kOrderAccepted = 202;
constexpr int kOrderStale = 409;
constexpr int kOrderBusy = 423;

/// Returns the id that identifies the stream of this request at the engine.
std::string FindStreamId(const std::vector<HttpHeader>& headers) {
  for (const auto& it : headers) {
    if (it.name == kRequestIdHeader) {
      return it.value;
    }
  }
  return "";
}

OrderWrittenEvent ClassifyOrderWrite(std::uint64_t ticket, int status,
                                     const Status& end) {
  OrderWrittenEvent event;
  event.ticket = ticket;
  if (!IsOk(end)) {
    const Error& error = ErrorOf(end);
    event.detail = error.detail;
    event.result = error.code == ErrorCode::kUnavailable
                       ? OrderWriteResult::kNotWritten
                       : OrderWriteResult::kUnknown;
    return event;
  }
  event.detail = "the engine answered " + std::to_string(status);
  switch (status) {
    case kOrderAccepted:
    case kOrderDone:
      event.result = OrderWriteResult::kTaken;
      break;
    case kOrderStale:
      event.result = OrderWriteResult::kStale;
      break;
    case kOrderBusy:
      event.result = OrderWriteResult::kBusy;
      break;
    default:
      event.result = OrderWriteResult::kRejected;
      break;
  }
  return event;
}

HeaderList ToHeaderList(std::vector<HttpHeader> headers) {
  HeaderList list;
  list.reserve(headers.size());
  for (auto& it : headers) {
    list.emplace_back(std::move(it.name), std::move(it.value));
  }
  return list;
}

}  // namespace

TargetWorker::TargetWorker(boost::asio::io_context* io, Options options,
                           TargetClient* client, Clock clock,
                           std::function<bool(TargetEvent&&)> emit,
                           EventLog log)
    : options_(options),
      client_(client),
      clock_(std::move(clock)),
      emit_(std::move(emit)),
      log_(std::move(log)),
      monitor_(
          io,
          {options_.is_engine, options_.poll_interval, options_.probe_deadline},
          client, clock_,
          [this](TargetEvent event) { Emit(std::move(event)); }),
      probe_timer_(*io),
      outbox_timer_(*io) {}

TargetWorker::~TargetWorker() = default;

void TargetWorker::Start() { monitor_.Start(); }

void TargetWorker::Stop() {
  monitor_.Stop();
  outbox_timer_.cancel();
  probe_timer_.cancel();
  calls_.clear();
  stream_deletes_.clear();
  order_call_.reset();
}

void TargetWorker::Handle(TargetCommand&& command) {
  std::visit(
      [this](auto& it) {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, StartCallCommand>) {
          StartCall(std::move(it));
        } else if constexpr (std::is_same_v<T, CancelCallCommand>) {
          CancelCall(it.id);
        } else if constexpr (std::is_same_v<T, PauseCallCommand>) {
          PauseCall(it);
        } else if constexpr (std::is_same_v<T, WriteOrderCommand>) {
          WriteOrder(it);
        } else if constexpr (std::is_same_v<T, ReadStateCommand>) {
          monitor_.PollSoon();
        }
      },
      command);
}

void TargetWorker::StartCall(StartCallCommand command) {
  const AttemptId id = command.id;
  const TimePoint start_by = command.start_by;
  TargetRequest request;
  request.method = std::move(command.request.method);
  request.path = std::move(command.request.path);
  request.body = std::move(command.request.body);
  request.deadline = command.finish_by - clock_();
  for (auto& [name, value] : command.request.headers) {
    request.headers.push_back({std::move(name), std::move(value)});
  }
  const std::string stream = FindStreamId(request.headers);
  TargetClient::Hooks hooks;
  hooks.on_before_write = [this, id, start_by] {
    return BeforeWrite(id, start_by);
  };
  hooks.on_head = [this, id](int status, std::vector<HttpHeader> headers) {
    Emit(CallHeadEvent{id, status, ToHeaderList(std::move(headers))});
  };
  hooks.on_body = [this, id](std::string_view data) {
    Emit(CallBodyEvent{id, std::string(data)});
  };
  hooks.on_body_end = [this, id](const AnswerBodyEnd& end) {
    OnBodyEnd(id, end);
  };
  hooks.on_end = [this, id](const Status& status) { OnEnd(id, status); };
  RunningCall& call = calls_[id];
  call.stream_id = stream;
  call.call = client_->Start(std::move(request), std::move(hooks));
}

bool TargetWorker::BeforeWrite(const AttemptId& id, TimePoint start_by) {
  RunningCall& call = calls_.at(id);
  // The process may have been paused since the attempt was accepted. After
  // `start_by` the entry has given the attempt up and may have run it
  // elsewhere.
  if (clock_() >= start_by) {
    call.too_late = true;
    return false;
  }
  call.written = true;
  call.boot_id = monitor_.engine().boot_id;
  return true;
}

void TargetWorker::OnBodyEnd(const AttemptId& id, const AnswerBodyEnd& end) {
  if (MayBeTruncated(end)) {
    log_(
        kTargetAnswerEndDoubtful,
        {{"attempt", ToHex(id.value)},
         {"status", std::to_string(end.status)},
         {"framing", std::string(NameOf(end.framing))},
         {"bytes", std::to_string(end.body_bytes)},
         {"position", std::string(end.position ? NameOf(*end.position) : "")}});
  }
}

void TargetWorker::OnEnd(const AttemptId& id, const Status& status) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  if (IsOk(status)) {
    EndCall(id, CallOutcome::kComplete, "");
    return;
  }
  const Error& error = ErrorOf(status);
  if (it->second.too_late) {
    EndCall(id, CallOutcome::kTooLate, error.detail);
    return;
  }
  if (!it->second.written) {
    monitor_.PollSoon();
    EndCall(id, CallOutcome::kNotWritten, error.detail);
    return;
  }
  if (error.code == ErrorCode::kTimeout) {
    DeleteEngineStream(it->second.stream_id);
    EndCall(id, CallOutcome::kTimeout, error.detail);
    return;
  }
  log_(kTargetCallBroke,
       {{"attempt", ToHex(id.value)}, {"error", error.detail}});
  OnCallBroken({id, it->second.boot_id, error.detail});
}

void TargetWorker::OnCallBroken(BrokenCall broken) {
  if (!options_.is_engine) {
    // A plain service has no boot id to compare, and a supervisor may have
    // restarted it within a millisecond, so a broken call counts as a crash.
    EndCall(broken.id, CallOutcome::kTargetDied, std::move(broken.detail));
    monitor_.PollSoon();
    return;
  }
  broken_calls_.push_back(std::move(broken));
  if (probing_) {
    return;
  }
  probing_ = true;
  Probe(options_.max_probes);
}

void TargetWorker::Probe(int tries_left) {
  monitor_.Probe([this, tries_left](const Result<EngineState>& probe) {
    // A process that is stopping or starting may accept a connection and then
    // drop it.
    const bool connection_broke =
        !IsOk(probe) && ErrorOf(probe).code == ErrorCode::kUnknownEffect;
    if (connection_broke && tries_left > 1) {
      probe_timer_.expires_after(options_.probe_retry_interval);
      probe_timer_.async_wait(
          [this, tries_left](const boost::system::error_code& ec) {
            if (!ec) {
              Probe(tries_left - 1);
            }
          });
      return;
    }
    probing_ = false;
    ResolveBrokenCalls(probe);
  });
}

void TargetWorker::ResolveBrokenCalls(const Result<EngineState>& probe) {
  const auto broken = std::move(broken_calls_);
  broken_calls_.clear();
  for (const auto& it : broken) {
    bool died = false;
    if (IsOk(probe)) {
      died = !it.boot_id.empty() && ValueOf(probe).boot_id != it.boot_id;
    } else {
      died = ErrorOf(probe).code != ErrorCode::kTimeout;
    }
    EndCall(it.id, died ? CallOutcome::kTargetDied : CallOutcome::kFailed,
            it.detail);
  }
}

void TargetWorker::EndCall(const AttemptId& id, CallOutcome outcome,
                           std::string detail) {
  if (calls_.erase(id) > 0) {
    Emit(CallEndEvent{id, outcome, std::move(detail)});
  }
}

void TargetWorker::CancelCall(const AttemptId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const bool written = it->second.written;
  if (written) {
    DeleteEngineStream(it->second.stream_id);
  }
  EndCall(
      id,
      written ? CallOutcome::kCancelled : CallOutcome::kCancelledBeforeWrite,
      "");
}

void TargetWorker::DeleteEngineStream(const std::string& stream_id) {
  if (!options_.is_engine || stream_id.empty() ||
      stream_deletes_.size() >= kMaxStreamDeletes) {
    return;
  }
  // Engines keep a stream for resumption when its connection closes, so an
  // explicit DELETE is needed to free its slot.
  const auto number = next_stream_delete_++;
  TargetRequest request;
  request.method = "DELETE";
  request.path = "/v1/streams/" + stream_id;
  request.deadline = options_.probe_deadline;
  TargetClient::Hooks hooks;
  hooks.on_head = [](int, const std::vector<HttpHeader>&) {};
  hooks.on_body = [](std::string_view) {};
  hooks.on_end = [this, number](const Status&) {
    stream_deletes_.erase(number);
  };
  stream_deletes_[number] =
      client_->Start(std::move(request), std::move(hooks));
}

void TargetWorker::WriteOrder(const WriteOrderCommand& command) {
  TargetRequest request;
  request.method = "POST";
  request.path = "/order";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = EncodeEngineOrder(command.order);
  request.deadline = options_.order_deadline;
  const auto ticket = command.ticket;
  TargetClient::Hooks hooks;
  auto status = std::make_shared<int>(0);
  hooks.on_before_write = [this, write_by = command.write_by] {
    // The confirmed fencing number may be outdated if the process was paused.
    return clock_() < write_by;
  };
  hooks.on_head = [status](int code, const std::vector<HttpHeader>&) {
    *status = code;
  };
  hooks.on_body = [](std::string_view) {};
  hooks.on_end = [this, ticket, status](const Status& end) {
    Emit(ClassifyOrderWrite(ticket, *status, end));
  };
  order_call_ = client_->Start(std::move(request), std::move(hooks));
}

void TargetWorker::PauseCall(const PauseCallCommand& command) {
  const auto it = calls_.find(command.id);
  if (it == calls_.end()) {
    return;
  }
  it->second.paused_by_caller = command.pause;
  it->second.call->PauseReading(command.pause || !outbox_.empty());
}

void TargetWorker::Emit(TargetEvent event) {
  // `emit_` leaves an event that it does not accept unchanged, so the event can
  // be queued.
  if (outbox_.empty() && emit_(std::move(event))) {
    return;
  }
  outbox_.push_back(std::move(event));  // NOLINT(bugprone-use-after-move)
  if (outbox_.size() == 1) {
    for (auto& [id, call] : calls_) {
      if (call.call) {
        call.call->PauseReading(true);
      }
    }
    FlushOutbox();
  }
}

void TargetWorker::FlushOutbox() {
  while (!outbox_.empty() && emit_(std::move(outbox_.front()))) {
    outbox_.pop_front();
  }
  if (!outbox_.empty()) {
    outbox_timer_.expires_after(options_.emit_retry_interval);
    outbox_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        FlushOutbox();
      }
    });
    return;
  }
  // Resuming a read may end calls and change `calls_`, so the ids are collected
  // first.
  std::vector<AttemptId> ids;
  for (const auto& [id, call] : calls_) {
    if (!call.paused_by_caller) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.call) {
      it->second.call->PauseReading(false);
    }
  }
}

}  // namespace indigolead
