#include "store/store_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "store/store_json.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

/// Longest line of a watch: a key and a value of 1 MiB in base64.
constexpr std::size_t kMaxLineBytes = 2U << 20;

/// Counted steps and the `kind` label under which each is exported.
constexpr std::pair<const char*, const char*> kKinds[] = {
    {"store.get", "get"},     {"store.list", "list"},
    {"store.put", "put"},     {"store.delete", "delete"},
    {"store.watch", "watch"}, {"store.instances", "instances"}};

CallLimiter::Options LimiterOptions(const HttpObjectStore::Options& options) {
  return {options.calls_per_second, options.call_burst, options.lease_reserve,
          options.max_queued_calls};
}

}  // namespace

StoreCalls::StoreCalls(asio::io_context* io, HttpObjectStore::Options options,
                       Clock clock, MetricsRegistry* metrics)
    : io_(io),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics),
      limiter_(LimiterOptions(options_), clock_()),
      timer_(*io) {
  for (const auto& [step, kind] : kKinds) {
    const std::string label = std::string("kind=\"") + kind + "\"";
    kinds_[step] = {
        &metrics_->AddCounter("indigolead_store_calls_total",
                              "Calls sent to the object API.", label),
        &metrics_->AddCounter("indigolead_store_call_failures_total",
                              "Calls to the object API that failed.", label)};
  }
  waiting_watches_ = &metrics_->AddGauge(
      "indigolead_store_watches_waiting",
      "Watches open now; the platform counts each as a call.");
  queued_ = &metrics_->AddGauge("indigolead_store_calls_queued",
                                "Calls that wait for a token or connection.");
  rejected_ =
      &metrics_->AddCounter("indigolead_store_calls_rejected_total",
                            "Calls given up in the queue, without effect.");
  call_seconds_ = &metrics_->AddSummary(
      "indigolead_store_call_seconds",
      "Time from sending a call to its answer or failure.");
}

void StoreCalls::Submit(internal::StoreRequest request,
                        const CallOptions& options, ReplyCallback done) {
  Pending call{std::move(request), {}, std::move(done), nullptr};
  if (options.new_connection) {
    call.deadline = SteadyClock::now() + options.deadline;
    StartUnqueued(std::move(call));
    return;
  }
  Enqueue(std::move(call), options.priority, options.deadline);
}

void StoreCalls::PostError(const Error& error, ReplyCallback done) {
  asio::post(*io_, [self = shared_from_this(), error, done = std::move(done)] {
    if (!self->stopped_) {
      done(error);
    }
  });
}

void StoreCalls::OpenWatch(internal::StoreRequest request,
                           const std::shared_ptr<WatchState>& watch) {
  watch->connection = std::make_unique<Connection>(io_, options_.address,
                                                   options_.max_answer_bytes);
  watches_.insert(watch);
  Pending call{std::move(request), {}, {}, watch};
  Enqueue(std::move(call), CallPriority::kConfig, options_.watch_open_deadline);
}

void StoreCalls::Enqueue(Pending call, CallPriority priority,
                         Duration deadline) {
  call.deadline = SteadyClock::now() + deadline;
  const CallTicket ticket = ++next_ticket_;
  pending_.emplace(ticket, std::move(call));
  if (const auto out =
          limiter_.Enqueue(ticket, priority, clock_() + deadline)) {
    Reject(*out, "the call queue is full");
  }
  // Posted, because a callback must not run inside the caller's call.
  asio::post(*io_, [self = shared_from_this()] { self->DispatchQueued(); });
}

void StoreCalls::Reject(CallTicket ticket, const std::string& detail) {
  const auto node = pending_.extract(ticket);
  if (node.empty()) {
    return;
  }
  rejected_->Add();
  const Pending& call = node.mapped();
  const Error error{ErrorCode::kOverloaded, call.request.step, options_.address,
                    detail};
  if (call.watch) {
    watches_.erase(call.watch);
  }
  asio::post(*io_, [self = shared_from_this(), call, error] {
    if (self->stopped_) {
      return;
    }
    if (!call.watch) {
      call.done(error);
    } else if (!call.watch->stopped) {
      call.watch->on_end(error);
    }
  });
}

void StoreCalls::DispatchQueued() {
  if (stopped_) {
    return;
  }
  const TimePoint now = clock_();
  for (const CallTicket ticket : limiter_.Expire(now)) {
    Reject(ticket, "no rate token or free connection before the deadline");
  }
  while (busy_.size() < options_.max_connections) {
    const auto ticket = limiter_.Grant(now, ReservesLastConnection());
    if (!ticket) {
      break;
    }
    auto node = pending_.extract(*ticket);
    if (node.mapped().watch) {
      StartWatch(std::move(node.mapped()));
    } else {
      Start(std::move(node.mapped()));
    }
  }
  ArmTimer();
}

bool StoreCalls::ReservesLastConnection() const {
  return options_.max_connections > 1 &&
         busy_.size() + 1 >= options_.max_connections;
}

void StoreCalls::ArmTimer() {
  queued_->Set(static_cast<std::int64_t>(limiter_.queued()));
  const TimePoint now = clock_();
  // A token is useless without a free connection, and a timer for it would fire
  // repeatedly. The queue is checked again when a connection becomes free.
  const bool full = busy_.size() >= options_.max_connections ||
                    (ReservesLastConnection() && !limiter_.lease_waiting());
  const auto next = limiter_.NextEvent(now, full);
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(*next - now, Duration::zero()));
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->DispatchQueued();
    }
  });
}

std::shared_ptr<StoreCalls::Connection> StoreCalls::MakeConnection() {
  return std::make_shared<Connection>(io_, options_.address,
                                      options_.max_answer_bytes);
}

void StoreCalls::StartUnqueued(Pending call) {
  asio::post(*io_, [self = shared_from_this(), call = std::move(call)] {
    if (self->stopped_) {
      return;
    }
    self->CountCall(call.request.step);
    auto connection = self->MakeConnection();
    self->unqueued_.insert(connection);
    asio::co_spawn(*self->io_, self->Perform(std::move(connection), call),
                   asio::detached);
  });
}

void StoreCalls::ReturnToPool(std::shared_ptr<Connection> connection) {
  if (idle_.size() >= options_.max_connections) {
    idle_.erase(idle_.begin());
  }
  idle_.push_back(std::move(connection));
}

void StoreCalls::Start(Pending call) {
  std::shared_ptr<Connection> connection;
  if (idle_.empty()) {
    connection = MakeConnection();
  } else {
    connection = std::move(idle_.back());
    idle_.pop_back();
  }
  busy_.insert(connection);
  CountCall(call.request.step);
  asio::co_spawn(*io_, Perform(connection, std::move(call)), asio::detached);
}

asio::awaitable<void> StoreCalls::Perform(
    std::shared_ptr<Connection> connection, Pending call) {
  const auto self = shared_from_this();
  const auto started = SteadyClock::now();
  auto reply = co_await connection->Call(call.request, call.deadline);
  if (stopped_) {
    co_return;
  }
  call_seconds_->Record(
      std::chrono::duration<double>(SteadyClock::now() - started).count());
  CountFailure(call.request.step, !IsOk(reply));
  busy_.erase(connection);
  unqueued_.erase(connection);
  if (!IsOk(reply) && ErrorOf(reply).code == ErrorCode::kTimeout) {
    // The cause of this timeout may affect all idle connections, and each would
    // cost a call its deadline.
    idle_.clear();
  }
  ReturnToPool(std::move(connection));
  DispatchQueued();
  call.done(std::move(reply));
}

void StoreCalls::StartWatch(Pending call) {
  if (call.watch->stopped) {
    return;
  }
  CountCall(call.request.step);
  asio::co_spawn(*io_, PerformWatch(std::move(call)), asio::detached);
}

asio::awaitable<void> StoreCalls::PerformWatch(Pending call) {
  const auto self = shared_from_this();
  const auto watch = call.watch;
  const std::function<void()> on_open = [this, watch] { SetOpen(watch, true); };
  const std::function<bool(std::string_view)> on_data =
      [this, watch](std::string_view data) {
        return HandleWatchData(watch, data);
      };
  const Error error = co_await watch->connection->Watch(
      call.request, call.deadline, options_.watch_silence, on_open, on_data);
  if (stopped_) {
    co_return;
  }
  CountFailure(call.request.step, !watch->open && !watch->stopped);
  SetOpen(watch, false);
  watches_.erase(watch);
  if (!watch->stopped) {
    watch->on_end(error);
  }
}

void StoreCalls::SetOpen(const std::shared_ptr<WatchState>& watch, bool open) {
  if (!stopped_ && watch->open != open) {
    watch->open = open;
    waiting_watches_->Add(open ? 1 : -1);
  }
}

bool StoreCalls::HandleWatchData(const std::shared_ptr<WatchState>& watch,
                                 std::string_view data) {
  std::string& text = watch->partial_line;
  text.append(data);
  std::size_t at = 0;
  for (auto end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', at)) {
    const auto line = internal::ParseWatchLine(text.substr(at, end - at));
    if (!line) {
      return false;
    }
    at = end + 1;
    if (const auto* event = std::get_if<WatchEvent>(&*line)) {
      if (stopped_ || watch->stopped) {
        return true;
      }
      watch->on_events({*event});
    }
  }
  text.erase(0, at);
  return text.size() <= kMaxLineBytes;
}

void StoreCalls::CountCall(const std::string& step) {
  kinds_.at(step).calls->Add();
}

void StoreCalls::CountFailure(const std::string& step, bool failed) {
  kinds_.at(step).failures->Add(failed ? 1 : 0);
}

void StoreCalls::StopWatch(const std::shared_ptr<WatchState>& watch) {
  SetOpen(watch, false);
  watch->stopped = true;
  watch->connection->Close();
  watches_.erase(watch);
}

void StoreCalls::Stop() {
  // The metrics may be destroyed after this call, before the last coroutine
  // ends.
  for (const auto& watch : watches_) {
    SetOpen(watch, false);
  }
  stopped_ = true;
  timer_.cancel();
  pending_.clear();
  for (const auto& connection : busy_) {
    connection->Close();
  }
  for (const auto& connection : unqueued_) {
    connection->Close();
  }
  for (const auto& watch : watches_) {
    watch->stopped = true;
    watch->connection->Close();
  }
  busy_.clear();
  unqueued_.clear();
  watches_.clear();
  idle_.clear();
}

}  // namespace indigolead
