#include "side/side_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <thread>
#include <utility>

#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "side/attempt_service.h"
#include "side/claim_home_service.h"
#include "side/dispatch_service.h"
#include "side/events.h"
#include "side/leave_reasons.h"
#include "side/order_service.h"
#include "side/platform_reader.h"
#include "side/suspect_service.h"
#include "side/target_worker.h"
#include "store/http_object_store.h"
#include "target/http_target_client.h"
#include "wire/links.h"
#include "wire/membership_service.h"
#include "wire/revision_exchange.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
/// Time that a stopping process gives its sockets to flush the last frames.
constexpr Duration kFlushTime = std::chrono::milliseconds(200);
/// Factor by which the poll interval grows while the side has links. Entries
/// then tell it everything, and polling the platform is only a fallback.
constexpr int kLinkedPollFactor = 10;
constexpr std::size_t kMailboxCapacity = 4096;
constexpr std::uint32_t kProtocolVersion = 1;
constexpr int kExitClean = 0;
constexpr int kExitAttemptsCut = 1;
constexpr int kExitNotStarted = 2;

bool IsEngine(const Settings& settings) {
  return settings.side.target_kind == "engine";
}

Links::Options MakeLinkOptions(const Settings& settings) {
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

ClaimHomeService::Options MakeClaimOptions(const Settings& settings) {
  ClaimHomeService::Options options;
  options.instance = settings.instance.name;
  options.deployment = settings.side.deployment;
  options.store_deadline = settings.store.call_deadline;
  options.home.table.max_claims = settings.side.max_claims;
  options.home.table.max_answer_bytes = settings.side.max_answer_memory_bytes;
  options.home.table.retention = settings.side.claim_retention;
  options.home.journal.retention = settings.side.claim_retention;
  return options;
}

AttemptService::Options MakeAttemptOptions(const Settings& settings,
                                           const Incarnation& incarnation) {
  AttemptService::Options options;
  options.table.incarnation = incarnation;
  options.table.deployment = settings.side.deployment;
  options.table.max_attempts = settings.side.max_attempts;
  options.table.max_buffer_bytes = settings.side.max_buffer_bytes;
  options.table.stream_buffer_bytes = settings.side.stream_buffer_bytes;
  options.table.max_body_bytes = settings.links.max_message_bytes;
  options.table.finished_retention = settings.side.finished_retention;
  options.table.memory.retention = settings.side.finished_retention;
  return options;
}

PlatformReader::Options MakeReaderOptions(const Settings& settings) {
  PlatformReader::Options options;
  options.instance = settings.instance.name;
  options.interval_without_links = settings.store.instance_poll_interval;
  options.interval_with_links =
      kLinkedPollFactor * settings.store.instance_poll_interval;
  options.call.deadline = settings.store.call_deadline;
  return options;
}

OrderExecutor::Options MakeOrderOptions(const Settings& settings) {
  OrderExecutor::Options options;
  options.drain_timeout = settings.side.drain_timeout;
  return options;
}

RevisionExchange::Options MakeRevisionOptions(const Settings& settings,
                                              const Incarnation& incarnation) {
  RevisionExchange::Options options;
  options.instance = settings.instance.name;
  options.incarnation = incarnation;
  options.deployment = settings.side.deployment;
  return options;
}

wire::TargetHealth ToWire(TargetCondition state) {
  switch (state) {
    case TargetCondition::kUp:
      return wire::TARGET_UP;
    case TargetCondition::kDown:
      return wire::TARGET_DOWN;
    case TargetCondition::kChanging:
      return wire::TARGET_CHANGING;
    case TargetCondition::kUnknown:
      break;
  }
  return wire::TARGET_UNKNOWN;
}

}  // namespace

class SideProcess::Impl {
 public:
  Impl(Settings settings, EventLog log, Hooks hooks)
      : settings_(std::move(settings)),
        log_(std::move(log)),
        hooks_(std::move(hooks)),
        incarnation_{RandomId()},
        tick_timer_(dispatch_io_),
        client_(&target_io_, {.address = settings_.side.target_address}),
        to_target_(
            &target_io_, kMailboxCapacity,
            [this](TargetCommand&& it) { worker_.Handle(std::move(it)); }),
        to_dispatch_(
            &dispatch_io_, kMailboxCapacity,
            [this](TargetEvent&& it) { OnTargetEvent(std::move(it)); }),
        worker_(
            &target_io_,
            {.is_engine = IsEngine(settings_),
             .poll_interval = settings_.side.load_poll_interval},
            &client_, BootTimeNow,
            [this](TargetEvent&& it) {
              return to_dispatch_.Push(std::move(it));
            },
            log_),
        attempts_(MakeAttemptOptions(settings_, incarnation_),
                  MakeAttemptHooks(), BootTimeNow, log_, &metrics_),
        store_(&dispatch_io_, HttpObjectStore::OptionsFrom(settings_.store),
               BootTimeNow, &metrics_),
        platform_(MakeReaderOptions(settings_), &store_, MakeReaderHooks()),
        orders_(settings_.instance.name, MakeOrderOptions(settings_),
                MakeOrderHooks(), BootTimeNow, log_),
        links_(&dispatch_io_, MakeLinkOptions(settings_), MakeLinkHooks(),
               BootTimeNow, RandomId, log_, &metrics_),
        membership_(
            MakeMembershipOptions(settings_, MemberKind::kSide, RandomId().lo),
            MakeMembershipHooks(), BootTimeNow, log_),
        revisions_(MakeRevisionOptions(settings_, incarnation_),
                   MakeRevisionHooks(), log_) {
    services_.push_back(RevisionService());
  }

  int Run() {
    const Status started = links_.Start();
    if (!IsOk(started)) {
      log_(kSideStopped, {{"error", ToString(ErrorOf(started))}});
      return kExitNotStarted;
    }
    membership_.Tick(BootTimeNow());
    log_(kSideStarted, {{"instance", settings_.instance.name},
                        {"link_address", links_.bound_address()},
                        {"target", settings_.side.target_address}});
    if (hooks_.on_ready) {
      hooks_.on_ready(links_.bound_address());
    }
    std::thread target_thread([this] {
      const auto guard = asio::make_work_guard(target_io_);
      worker_.Start();
      target_io_.run();
    });
    ScheduleTick();
    dispatch_io_.run();
    asio::post(target_io_, [this] {
      worker_.Stop();
      target_io_.stop();
    });
    target_thread.join();
    return exit_status_;
  }

  void RequestStop() {
    asio::post(dispatch_io_,
               [this] { SetLeaveReason(LeaveReason::kStop, true, "stop"); });
  }

 private:
  AttemptService::Hooks MakeAttemptHooks() {
    AttemptService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return links_.Send(link, message);
    };
    hooks.command = [this](TargetCommand&& command) {
      return to_target_.Push(std::move(command));
    };
    hooks.closed_for_change = [this] { return !orders_.gate_open(); };
    return hooks;
  }

  MembershipService::Hooks MakeMembershipHooks() {
    MembershipService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return links_.Send(link, message);
    };
    hooks.connect = [this](const std::string& it) { links_.Connect(it); };
    hooks.disconnect = [this](const std::string& it) { links_.Disconnect(it); };
    hooks.may_disconnect = [this](const std::string&) {
      return attempts_.Idle();
    };
    return hooks;
  }

  OrderService::Hooks MakeOrderHooks() {
    OrderService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return links_.Send(link, message);
    };
    hooks.command = [this](TargetCommand&& command) {
      return to_target_.Push(std::move(command));
    };
    hooks.running = [this] { return attempts_.running(); };
    hooks.read_fencing_number =
        [this](PlatformReader::FencingNumberCallback done) {
          platform_.ReadFencingNumber(std::move(done));
        };
    return hooks;
  }

  PlatformReader::Hooks MakeReaderHooks() {
    PlatformReader::Hooks hooks;
    hooks.on_instances = [this](const InstanceList& it) {
      membership_.OnInstances(it);
    };
    hooks.on_instance_leaving = [this](bool leaving) {
      SetLeaveReason(LeaveReason::kInstanceList, leaving, "instance list");
    };
    hooks.on_drain = [this](bool drained) {
      SetLeaveReason(LeaveReason::kStore, drained, "drain in the store");
    };
    return hooks;
  }

  void OnTargetEvent(TargetEvent&& event) {
    if (const auto* written = std::get_if<OrderWrittenEvent>(&event)) {
      orders_.OnWritten(*written);
      return;
    }
    if (const auto* condition = std::get_if<TargetConditionEvent>(&event)) {
      attempts_.OnTargetEvent(TargetConditionEvent(*condition));
      orders_.OnTargetCondition(*condition);
      return;
    }
    attempts_.OnTargetEvent(std::move(event));
  }

  SuspectService::Hooks MakeSuspectHooks() {
    SuspectService::Hooks hooks;
    hooks.send = [this](LinkId link, const wire::Envelope& message) {
      return links_.Send(link, message);
    };
    hooks.is_running = [this](const AttemptId& id) {
      return attempts_.IsRunning(id);
    };
    return hooks;
  }

  template <typename T>
  static DispatchService MakeService(T* it) {
    DispatchService service;
    service.handle_message = [it](LinkId link, const wire::Envelope& message) {
      return it->HandleMessage(link, message);
    };
    service.on_link_up = [it](LinkId link, const wire::Hello& hello) {
      it->OnLinkUp(link, hello);
    };
    service.on_link_down = [it](LinkId link) { it->OnLinkDown(link); };
    service.tick = [it](TimePoint now) { it->Tick(now); };
    return service;
  }

  Links::Hooks MakeLinkHooks() {
    Links::Hooks hooks;
    hooks.make_hello = [this] { return MakeHello(); };
    hooks.fill_heartbeat = [this](wire::Heartbeat* it) { FillHeartbeat(it); };
    hooks.on_up = [this](LinkId link, const wire::Hello& hello) {
      up_links_.insert(link.value);
      membership_.OnLinkUp(link, hello);
      attempts_.OnLinkUp(link, hello);
      orders_.OnLinkUp(link, hello);
      for (const auto& it : services_) {
        if (it.on_link_up) {
          it.on_link_up(link, hello);
        }
      }
    };
    hooks.on_down = [this](LinkId link, const Error&) {
      up_links_.erase(link.value);
      membership_.OnLinkDown(link);
      attempts_.OnLinkDown(link);
      orders_.OnLinkDown(link);
      for (const auto& it : services_) {
        if (it.on_link_down) {
          it.on_link_down(link);
        }
      }
    };
    hooks.on_message = [this](LinkId link, wire::Envelope&& message) {
      OnMessage(link, std::move(message));
    };
    return hooks;
  }

  /// The side does not use revisions itself; it keeps the newest one for
  /// entries that start while the store is down.
  RevisionExchange::Hooks MakeRevisionHooks() {
    return {[this](LinkId link, const wire::Envelope& message) {
              return links_.Send(link, message);
            },
            [](const Revision&) {}};
  }

  DispatchService RevisionService() {
    DispatchService service;
    service.handle_message = [this](LinkId link, const wire::Envelope& it) {
      return revisions_.HandleMessage(link, it, BootTimeNow());
    };
    service.on_link_up = [this](LinkId link, const wire::Hello& hello) {
      revisions_.OnLinkUp(link, hello, BootTimeNow());
    };
    service.on_link_down = [this](LinkId link) {
      revisions_.OnLinkDown(link, BootTimeNow());
    };
    service.tick = [this](TimePoint now) { revisions_.Tick(now); };
    return service;
  }

  void OnMessage(LinkId link, wire::Envelope&& message) {
    if (message.body_case() == wire::Envelope::kDrain) {
      OnDrainNotice(message.drain());
      return;
    }
    if (membership_.HandleMessage(link, message)) {
      return;
    }
    for (const auto& it : services_) {
      if (it.handle_message && it.handle_message(link, message)) {
        return;
      }
    }
    if (!orders_.HandleMessage(link, message)) {
      attempts_.HandleMessage(link, std::move(message));
    }
  }

  void OnDrainNotice(const wire::DrainNotice& notice) {
    if (notice.instance() == settings_.instance.name) {
      SetLeaveReason(LeaveReason::kNotice, notice.drain(), notice.cause());
    }
  }

  wire::Hello MakeHello() const {
    wire::Hello hello;
    hello.set_protocol(kProtocolVersion);
    hello.set_kind(wire::PROCESS_SIDE);
    hello.set_instance(settings_.instance.name);
    hello.set_incarnation(ToBytes(incarnation_.value));
    hello.set_failure_domain(settings_.instance.failure_domain);
    hello.set_region(settings_.instance.region);
    hello.set_link_address(links_.bound_address());
    hello.set_leaving(leave_reasons_.leaving());
    FillTarget(hello.mutable_target());
    revisions_.AddKnownRevisions(hello.mutable_revisions());
    return hello;
  }

  void FillHeartbeat(wire::Heartbeat* heartbeat) const {
    heartbeat->set_leaving(leave_reasons_.leaving());
    attempts_.FillLoadReport(heartbeat->mutable_load());
    FillTarget(heartbeat->mutable_target());
  }

  void FillTarget(wire::TargetInfo* target) const {
    const EngineState& engine = attempts_.engine();
    target->set_deployment(settings_.side.deployment);
    target->set_is_engine(IsEngine(settings_));
    target->set_role(engine.role);
    if (!engine.model.empty()) {
      target->add_models(engine.model + "@" + engine.version);
    }
    for (const auto& it : engine.adapters) {
      target->add_adapters(it);
    }
    const auto health = ToWire(attempts_.target_condition());
    const bool closed = !orders_.gate_open() && health == wire::TARGET_UP;
    target->set_health(closed ? wire::TARGET_CHANGING : health);
    target->set_order_generation(orders_.executor().generation_in_force());
    target->set_fencing_number(orders_.executor().newest_number());
  }

  void SetLeaveReason(LeaveReason reason, bool active,
                      const std::string& cause) {
    if (active && reason == LeaveReason::kStop && !leave_reasons_.stopping()) {
      stop_deadline_ = BootTimeNow() + settings_.side.drain_timeout;
    }
    if (!leave_reasons_.Set(reason, active)) {
      return;
    }
    attempts_.SetLeaving(leave_reasons_.leaving());
    claims_.SetLeaving(leave_reasons_.leaving());
    log_(leave_reasons_.leaving() ? kSideLeaving : kSideStaying,
         {{"cause", cause}, {"running", std::to_string(attempts_.running())}});
    AnnounceLeaving(cause);
  }

  /// Notifies the entries at once. A heartbeat is sent only after a period of
  /// silence; until then they would keep choosing this target.
  void AnnounceLeaving(const std::string& cause) {
    wire::Envelope message;
    auto* drain = message.mutable_drain();
    drain->set_instance(settings_.instance.name);
    drain->set_drain(leave_reasons_.leaving());
    drain->set_cause(cause);
    for (const auto& it : up_links_) {
      links_.Send(LinkId{it}, message);
    }
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        Tick();
      }
    });
  }

  void Tick() {
    const TimePoint now = BootTimeNow();
    attempts_.Tick(now);
    membership_.Tick(now);
    orders_.Tick(now);
    if (!settings_.store.address.empty()) {
      platform_.Tick(now, !up_links_.empty());
    }
    for (const auto& it : services_) {
      if (it.tick) {
        it.tick(now);
      }
    }
    if (leave_reasons_.stopping() &&
        (attempts_.Idle() || now >= stop_deadline_)) {
      FinishStop();
      return;
    }
    ScheduleTick();
  }

  void FinishStop() {
    const auto cut = attempts_.running();
    exit_status_ = cut == 0 ? kExitClean : kExitAttemptsCut;
    log_(kSideStopped, {{"cut", std::to_string(cut)}});
    links_.Stop("stopped");
    // The last frames may still be queued in the sockets.
    tick_timer_.expires_after(kFlushTime);
    tick_timer_.async_wait([this](const boost::system::error_code&) {
      to_dispatch_.Close();
      dispatch_io_.stop();
    });
  }

  Settings settings_;
  EventLog log_;
  Hooks hooks_;
  Incarnation incarnation_;
  MetricsRegistry metrics_;
  asio::io_context dispatch_io_{1};
  asio::io_context target_io_{1};
  asio::steady_timer tick_timer_;
  HttpTargetClient client_;
  Mailbox<TargetCommand> to_target_;
  Mailbox<TargetEvent> to_dispatch_;
  TargetWorker worker_;
  AttemptService attempts_;
  HttpObjectStore store_;
  PlatformReader platform_;
  OrderService orders_;
  Links links_;
  MembershipService membership_;
  RevisionExchange revisions_;
  SuspectService suspects_{MakeSuspectHooks(), BootTimeNow};
  ClaimHomeService claims_{MakeClaimOptions(settings_),
                           &store_,
                           [this](LinkId link, const wire::Envelope& it) {
                             return links_.Send(link, it);
                           },
                           BootTimeNow,
                           RandomId,
                           log_,
                           &metrics_};
  std::vector<DispatchService> services_{MakeService(&suspects_),
                                         MakeService(&claims_)};
  std::set<std::uint64_t> up_links_;
  LeaveReasons leave_reasons_;
  TimePoint stop_deadline_;
  int exit_status_ = kExitClean;
};

SideProcess::SideProcess(Settings settings, EventLog log)
    : SideProcess(std::move(settings), std::move(log), Hooks{}) {}

SideProcess::SideProcess(Settings settings, EventLog log, Hooks hooks)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(log),
                                   std::move(hooks))) {}

SideProcess::~SideProcess() = default;

int SideProcess::Run() { return impl_->Run(); }

void SideProcess::RequestStop() { impl_->RequestStop(); }

}  // namespace indigolead
