#include "wire/links_impl.h"

#include <algorithm>

#include "wire/events.h"

namespace indigolead {
namespace {

/// Timer ticks per heartbeat interval; a heartbeat may be one tick late.
constexpr int kTicksPerHeartbeat = 5;
constexpr Duration kBackoffMin = std::chrono::milliseconds(50);
constexpr Duration kBackoffMax = std::chrono::seconds(1);
/// ZeroMQ sockets per dialled address: the DEALER, the two ends of its monitor,
/// and a predecessor that waits for its goodbye. `kOtherSockets` counts those
/// of the ROUTER.
constexpr int kSocketsPerDial = 4;
constexpr int kOtherSockets = 16;
constexpr int kMaxSockets = 65535;

LinkTiming MakeTiming(const Links::Options& options) {
  LinkTiming timing;
  timing.heartbeat_interval = options.heartbeat_interval;
  timing.silence_timeout = options.silence_timeout;
  timing.dial_timeout = options.silence_timeout;
  timing.idle_after = options.idle_after;
  timing.backoff_min = kBackoffMin;
  timing.backoff_max = kBackoffMax;
  return timing;
}

int MaxSockets(std::size_t max_links) {
  const std::size_t wanted = max_links * kSocketsPerDial + kOtherSockets;
  return static_cast<int>(std::min<std::size_t>(wanted, kMaxSockets));
}

}  // namespace

Links::Impl::Impl(boost::asio::io_context* io, Options options, Hooks hooks,
                  Clock clock, IdSource ids, EventLog log,
                  MetricsRegistry* metrics)
    : io_(io),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      ids_(std::move(ids)),
      log_(std::move(log)),
      metrics_(metrics),
      timing_(MakeTiming(options_)),
      pause_detector_(options_.heartbeat_interval),
      peers_(PeerTable::Options{options_.max_links, options_.max_links * 2}),
      timer_(*io) {
  context_.set(zmq::ctxopt::max_sockets, MaxSockets(options_.max_links));
}

Links::Impl::~Impl() {
  if (stopped_) {
    WaitForGoodbyes();
  }
  closing_sockets_.clear();
  for (auto& [address, dial] : dials_) {
    CloseDial(dial.get());
  }
  router_transport_.reset();
  if (router_ != nullptr) {
    router_->Close();
  }
}

Status Links::Impl::Start() {
  if (Status keys = StartKeys(); !IsOk(keys)) {
    return keys;
  }
  if (!options_.bind_address.empty()) {
    Status bound = Bind();
    if (!IsOk(bound)) {
      return bound;
    }
  }
  started_ = true;
  ArmTimer();
  return Unit{};
}

void Links::Impl::ArmTimer() {
  timer_.expires_after(
      std::chrono::duration_cast<boost::asio::steady_timer::duration>(
          options_.heartbeat_interval / kTicksPerHeartbeat));
  timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                        const boost::system::error_code& ec) {
    if (!ec && !alive.expired()) {
      Tick();
    }
  });
}

void Links::Impl::Tick() {
  const TimePoint now = clock_();
  ExpireClosing(now);
  if (stopped_) {
    if (IsClosing()) {
      ArmTimer();
    }
    return;
  }
  ReloadKeys(now);
  const bool paused = pause_detector_.Observe(now);
  PollLinks(now, paused);
  if (!stopped_) {
    PollDials(now);
  }
  ArmTimer();
}

void Links::Impl::PollLinks(TimePoint now, bool paused) {
  // Hooks may modify `links_`, so the ids are collected first.
  std::vector<std::uint64_t> silent;
  std::vector<std::uint64_t> due;
  for (auto& [id, link] : links_) {
    if (paused) {
      link.monitor.OnProcessPaused(now);
    }
    const LinkAction action = link.monitor.Poll(now);
    if (action == LinkAction::kCloseSilent) {
      silent.push_back(id);
    } else if (action == LinkAction::kSendHeartbeat || link.needs_probe) {
      due.push_back(id);
      link.needs_probe = false;
    }
  }
  for (const std::uint64_t id : silent) {
    const auto it = links_.find(id);
    if (it == links_.end() || stopped_) {
      continue;
    }
    const std::string instance = it->second.instance;
    metrics_.silent.Add();
    log_(events::kLinkSilent,
         {{"peer", instance}, {"link", std::to_string(id)}});
    DropLink(id, MakeError(ErrorCode::kTimeout, instance,
                           "silent for the silence timeout"));
  }
  for (const std::uint64_t id : due) {
    if (!stopped_) {
      SendHeartbeat(id);
    }
  }
}

void Links::Impl::PollDials(TimePoint now) {
  for (auto& [address, dial] : dials_) {
    if (links_.count(dial->suspended_by) > 0) {
      continue;
    }
    dial->suspended_by = 0;
    switch (dial->monitor.Poll(now)) {
      case DialAction::kOpen:
        OpenDial(dial.get());
        break;
      case DialAction::kGiveUp:
        CloseDial(dial.get());
        dial->monitor.OnLost(now);
        break;
      case DialAction::kNone:
        break;
    }
  }
}

Error Links::Impl::MakeError(ErrorCode code, const std::string& peer,
                             const std::string& detail) const {
  return Error{code, "links", peer, detail};
}

}  // namespace indigolead
