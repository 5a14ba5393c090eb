#include "entry/entry_process.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>
#include <system_error>
#include <thread>

#include "entry/callers_server.h"
#include "entry/control_runner.h"
#include "entry/dispatcher.h"
#include "entry/events.h"
#include "entry/guard_runner.h"
#include "entry/load_control.h"
#include "entry/platform_watcher.h"
#include "runtime/clock.h"
#include "runtime/outbox.h"

namespace indigolead {
namespace {

constexpr std::size_t kMailboxCapacity = 16384;
constexpr std::size_t kPlatformMailboxCapacity = 1024;
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::milliseconds kResignTimeout{500};
/// Time to write the last answers before connections are closed.
constexpr std::chrono::milliseconds kLastAnswersTime{200};

/// A named thread and the io_context that it runs.
class IoThread {
 public:
  /// `name` is shown by system tools; at most 15 characters.
  explicit IoThread(const char* name)
      : name_(name), work_(boost::asio::make_work_guard(io_)) {}
  ~IoThread() { Join(); }

  boost::asio::io_context* io() { return &io_; }
  void Start() {
    thread_ = std::thread([this] {
      pthread_setname_np(pthread_self(), name_);
      io_.run();
    });
  }
  void Join() {
    work_.reset();
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  /// Runs `task` on the thread and waits for it.
  void Call(const std::function<void()>& task) {
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    boost::asio::post(io_, [&] {
      task();
      const std::lock_guard<std::mutex> lock(mutex);
      done = true;
      changed.notify_one();
    });
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait(lock, [&] { return done; });
  }

 private:
  const char* name_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

Links::Options LinkOptions(const Settings& settings) {
  Links::Options options;
  options.bind_address = settings.instance.link_address;
  options.heartbeat_interval = settings.links.heartbeat_interval;
  options.silence_timeout = settings.links.silence_timeout;
  options.high_water_mark = static_cast<int>(settings.links.high_water_mark);
  options.max_message_bytes = settings.links.max_message_bytes;
  options.max_links = settings.links.max_links;
  options.public_key_file = settings.links.public_key_file;
  options.secret_key_file = settings.links.secret_key_file;
  options.trusted_keys_file = settings.links.trusted_keys_file;
  return options;
}

Dispatcher::Options DispatcherOptions(const Settings& settings,
                                      const Incarnation& incarnation) {
  Dispatcher::Options options;
  options.instance = settings.instance;
  options.incarnation = incarnation;
  options.links = LinkOptions(settings);
  options.membership =
      MakeMembershipOptions(settings, MemberKind::kEntry, RandomId().lo);
  options.flow.max_requests = settings.entry.max_requests;
  options.flow.max_sides = settings.links.max_links;
  options.flow.stream_window_bytes = settings.entry.stream_window_bytes;
  options.flow.max_buffered_bytes = std::min<std::uint64_t>(
      options.flow.max_buffered_bytes, settings.entry.stream_window_bytes / 2);
  options.flow.resume_timeout = settings.entry.resume_timeout;
  return options;
}

LoadControl::Options LoadOptions(const Settings& settings) {
  LoadControl::Options options;
  options.failure_domain = settings.instance.failure_domain;
  options.max_requests = settings.entry.max_requests;
  return options;
}

}  // namespace

class EntryProcess::Impl {
 public:
  Impl(Settings settings, EventLog log)
      : settings_(std::move(settings)),
        log_(std::move(log)),
        stop_fd_(eventfd(0, EFD_CLOEXEC)),
        to_callers_(
            callers_thread_.io(), kMailboxCapacity,
            [this](ToCallers&& it) { callers_.OnMessage(std::move(it)); }),
        to_dispatch_(
            dispatch_thread_.io(), kMailboxCapacity,
            [this](ToDispatch&& it) { dispatcher_.OnMessage(std::move(it)); }),
        from_platform_(dispatch_thread_.io(), kPlatformMailboxCapacity,
                       [this](PlatformEvent&& it) {
                         dispatcher_.OnMessage(std::move(it));
                       }),
        callers_outbox_(&to_callers_),
        dispatch_outbox_(&to_dispatch_),
        platform_outbox_(&from_platform_),
        load_control_(LoadOptions(settings_), LoadOutputs(),
                      MakeSeededRandom(RandomId().lo), &metrics_),
        platform_(
            platform_thread_.io(), settings_.store,
            [this](PlatformEvent&& it) {
              control_.OnPlatformEvent(it);
              guards_.OnPlatformEvent(it);
              platform_outbox_.Push(std::move(it));
            },
            BootTimeNow, log_, &metrics_),
        guards_(platform_thread_.io(), dispatch_thread_.io(), platform_.store(),
                settings_, incarnation_, GuardHooks(), log_, &metrics_),
        dispatcher_(dispatch_thread_.io(),
                    DispatcherOptions(settings_, incarnation_),
                    DispatcherHooks(), BootTimeNow, MakeRandomIdSource(), log_,
                    &metrics_),
        callers_(callers_thread_.io(), &settings_.entry, CallersHooks(),
                 BootTimeNow, MakeRandomIdSource(), log_, &metrics_),
        control_(platform_thread_.io(), dispatch_thread_.io(),
                 platform_.store(), &dispatcher_.revisions().revision_table(),
                 settings_, dispatcher_.incarnation(), ControlHooks(), log_) {
    if (stop_fd_ < 0) {
      throw std::system_error(errno, std::generic_category(), "eventfd");
    }
  }

  ~Impl() {
    Shutdown();
    close(stop_fd_);
  }

  Status Start() {
    if (started_) {
      return Unit{};
    }
    const EntrySettings& entry = settings_.entry;
    if (!entry.tls_certificate_file.empty() || !entry.tls_key_file.empty()) {
      // Serving plaintext where TLS was requested would expose callers' keys on
      // the network.
      return Error{ErrorCode::kInvalidInput, "entry.start", "",
                   "this build serves callers without TLS; remove "
                   "tls_certificate_file and tls_key_file and terminate TLS at "
                   "the load balancer"};
    }
    // No other thread runs yet, so all components may be set up on this one.
    dispatcher_.AddService(load_control_.Service(BootTimeNow));
    dispatcher_.AddService(control_.Service());
    dispatcher_.AddService(guards_.Service());
    if (Status status = dispatcher_.Start(); !IsOk(status)) {
      return status;
    }
    if (Status status = callers_.Start(); !IsOk(status)) {
      return status;
    }
    http_address_ = callers_.bound_address();
    link_address_ = dispatcher_.bound_address();
    started_ = true;
    platform_.Start();
    dispatch_thread_.Start();
    callers_thread_.Start();
    platform_thread_.Start();
    // The lease is kept in the store, so without a store there is none.
    if (!settings_.store.address.empty()) {
      platform_thread_.Call([this] {
        control_.Start();
        guards_.Start();
      });
    }
    log_(kEntryStarted, {{"http", http_address_}, {"links", link_address_}});
    return Unit{};
  }

  Status Run() {
    if (Status status = Start(); !IsOk(status)) {
      return status;
    }
    std::uint64_t count = 0;
    while (read(stop_fd_, &count, sizeof(count)) < 0 && errno == EINTR) {
    }
    DrainCallers();
    Shutdown();
    log_(kEntryStopped, {});
    return Unit{};
  }

  void RequestStop() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(stop_fd_, &one, sizeof(one));
  }

  void OfferRevision(const std::string& json) {
    dispatch_thread_.Call([&] { dispatcher_.OfferRevision(json); });
  }

  const std::string& http_address() const { return http_address_; }
  const std::string& link_address() const { return link_address_; }

 private:
  LoadControl::Outputs LoadOutputs() {
    LoadControl::Outputs outputs;
    outputs.admitted = [this](const RequestId& id, TimePoint now) {
      dispatcher_.flow().OnAdmitted(id, now);
    };
    outputs.refused = [this](const RequestId& id, Refusal refusal,
                             TimePoint now) {
      dispatcher_.flow().OnGateRefused(id, std::move(refusal), now);
    };
    return outputs;
  }

  Dispatcher::Hooks DispatcherHooks() {
    Dispatcher::Hooks hooks;
    load_control_.Install(&hooks.flow);
    guards_.InstallHooks(&hooks.flow);
    hooks.on_revision = [this](const Revision& revision) {
      load_control_.OnRevision(revision);
      control_.OnRevision(revision);
      guards_.OnRevision(revision);
    };
    hooks.to_callers = [this](ToCallers&& it) {
      if (std::holds_alternative<CatalogueChanged>(it)) {
        configured_.store(true, std::memory_order_relaxed);
      }
      callers_outbox_.Push(std::move(it));
    };
    hooks.on_tick = [this] {
      callers_outbox_.Flush();
      open_requests_.store(dispatcher_.flow().open_requests(),
                           std::memory_order_relaxed);
    };
    return hooks;
  }

  ControlRunner::Hooks ControlHooks() {
    ControlRunner::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return dispatcher_.links().Send(link, message);
    };
    return hooks;
  }

  GuardRunner::Hooks GuardHooks() {
    GuardRunner::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return dispatcher_.links().Send(link, message);
    };
    hooks.flow = [this]() -> RequestFlow& { return dispatcher_.flow(); };
    hooks.flush = [this] { dispatcher_.Flush(); };
    hooks.fencing_number = [this] { return control_.HeldFencingNumber(); };
    return hooks;
  }

  /// Answers the entry's own paths. Runs on the callers' thread.
  std::optional<WholeAnswer> LocalAnswer(std::string_view path) const {
    if (path != "/admin/status") {
      return std::nullopt;
    }
    std::string status = control_.StatusJson();
    if (status.empty()) {
      return WholeAnswer{503, {}, "not known yet: the entry has just started"};
    }
    return WholeAnswer{
        200, {{"Content-Type", "application/json"}}, std::move(status)};
  }

  CallersServer::Hooks CallersHooks() {
    CallersServer::Hooks hooks;
    hooks.submit = [this](std::shared_ptr<const CallerRequest> request) {
      if (dispatch_outbox_.waiting() > 0) {
        return false;
      }
      return to_dispatch_.Push(ToDispatch(std::move(request)));
    };
    hooks.disconnected = [this](CallerDisconnected disconnected) {
      dispatch_outbox_.Push(disconnected);
    };
    hooks.bytes_written = [this](AnswerBytesWritten bytes_written) {
      dispatch_outbox_.Push(bytes_written);
    };
    hooks.ready = [this] {
      return configured_.load(std::memory_order_relaxed);
    };
    hooks.on_sweep = [this] { dispatch_outbox_.Flush(); };
    hooks.local = [this](std::string_view path) { return LocalAnswer(path); };
    return hooks;
  }

  /// Waits up to `drain_timeout` for open requests and streams to end.
  void DrainCallers() {
    log_(kEntryStopping, {});
    const TimePoint limit = BootTimeNow() + settings_.entry.drain_timeout;
    const TimePoint answer_by = limit - kLastAnswersTime;
    callers_thread_.Call([&] { callers_.StartDrain(answer_by); });
    dispatch_thread_.Call([&] {
      dispatcher_.SetLeaving();
      dispatcher_.flow().BeginStop(answer_by);
      dispatcher_.flow().RefuseLongRequests();
    });
    while (BootTimeNow() < limit) {
      bool drained = false;
      callers_thread_.Call([&] { drained = callers_.drained(); });
      if (drained && open_requests_.load(std::memory_order_relaxed) == 0) {
        return;
      }
      std::this_thread::sleep_for(kDrainPoll);
    }
    log_(kDrainTimedOut,
         {{"open_requests", std::to_string(open_requests_.load())}});
  }

  /// Releases the control lease. Waits for the store only briefly, because a
  /// lease that is not released expires by itself.
  void StopControl() {
    platform_thread_.Call([this] {
      control_.Stop();
      guards_.Stop();
    });
    const TimePoint limit = BootTimeNow() + kResignTimeout;
    for (bool stopped = false; !stopped && BootTimeNow() < limit;) {
      platform_thread_.Call([&] { stopped = control_.Stopped(); });
      std::this_thread::sleep_for(stopped ? Duration{} : Duration(kDrainPoll));
    }
  }

  void Shutdown() {
    if (!started_) {
      return;
    }
    started_ = false;
    StopControl();
    platform_thread_.Join();
    callers_thread_.Call([this] { callers_.Stop(); });
    dispatch_thread_.Call([this] { dispatcher_.Stop("planned stop"); });
    callers_thread_.Join();
    dispatch_thread_.Join();
  }

  Settings settings_;
  EventLog log_;
  int stop_fd_;
  MetricsRegistry metrics_;
  std::atomic<bool> configured_{false};
  std::atomic<std::size_t> open_requests_{0};
  bool started_ = false;
  std::string http_address_;
  std::string link_address_;
  IoThread callers_thread_{"entry-callers"};
  IoThread dispatch_thread_{"entry-dispatch"};
  IoThread platform_thread_{"entry-platform"};
  Mailbox<ToCallers> to_callers_;
  Mailbox<ToDispatch> to_dispatch_;
  Mailbox<PlatformEvent> from_platform_;
  Outbox<ToCallers> callers_outbox_;
  Outbox<ToDispatch> dispatch_outbox_;
  Outbox<PlatformEvent> platform_outbox_;
  const Incarnation incarnation_{RandomId()};
  LoadControl load_control_;
  PlatformWatcher platform_;
  GuardRunner guards_;
  Dispatcher dispatcher_;
  CallersServer callers_;
  ControlRunner control_;
};

EntryProcess::EntryProcess(Settings settings, EventLog log)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(log))) {}
EntryProcess::~EntryProcess() = default;

Status EntryProcess::Start() { return impl_->Start(); }
Status EntryProcess::Run() { return impl_->Run(); }
void EntryProcess::RequestStop() { impl_->RequestStop(); }
std::string EntryProcess::http_address() const { return impl_->http_address(); }
std::string EntryProcess::link_address() const { return impl_->link_address(); }
void EntryProcess::OfferRevision(const std::string& json) {
  impl_->OfferRevision(json);
}

}  // namespace indigolead
