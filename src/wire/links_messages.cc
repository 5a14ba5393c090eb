// Messages of `Links`: hellos, heartbeats, sending and dropping links.
#include <boost/asio/post.hpp>

#include "wire/codec.h"
#include "wire/events.h"
#include "wire/links_impl.h"

namespace indigolead {
namespace {

/// Version of the protocol between processes. A hello with another version is
/// refused; 0 (unset) is accepted.
constexpr std::uint32_t kProtocolVersion = 1;

std::string DescribeKind(const wire::Hello& hello) {
  switch (hello.kind()) {
    case wire::PROCESS_ENTRY:
      return "entry";
    case wire::PROCESS_SIDE:
      return "side";
    case wire::PROCESS_OPERATOR:
      return "operator";
    default:
      return "unspecified";
  }
}

}  // namespace

void Links::Impl::OnRouterFrame(const std::string& identity,
                                const zmq::message_t& frame) {
  metrics_.received_messages.Add();
  metrics_.received_bytes.Add(frame.size());
  wire::Envelope message;
  if (!internal::DecodeEnvelope(frame.data(), frame.size(), &message)) {
    metrics_.dropped_unparseable.Add();
    return;
  }
  const auto it = link_of_identity_.find(identity);
  if (it != link_of_identity_.end()) {
    OnLinkMessage(it->second, std::move(message));
    return;
  }
  if (message.has_hello()) {
    OnAcceptedHello(
        identity,
        static_cast<std::uint32_t>(zmq_msg_get(
            const_cast<zmq::message_t&>(frame).handle(), ZMQ_SRCFD)),
        message.hello());
    return;
  }
  // This process has dropped or refused the connection. The goodbye makes the
  // peer reconnect now instead of after the silence timeout.
  metrics_.dropped_stray.Add();
  if (!message.has_goodbye()) {
    SendGoodbye(identity, "unknown connection");
  }
}

void Links::Impl::OnDealerFrame(Dial* dial, const zmq::message_t& frame) {
  metrics_.received_messages.Add();
  metrics_.received_bytes.Add(frame.size());
  wire::Envelope message;
  if (!internal::DecodeEnvelope(frame.data(), frame.size(), &message)) {
    metrics_.dropped_unparseable.Add();
    return;
  }
  if (dial->link != 0) {
    OnLinkMessage(dial->link, std::move(message));
    return;
  }
  if (message.has_hello()) {
    OnOpenedHello(dial, message.hello());
    return;
  }
  if (message.has_goodbye()) {
    metrics_.refused.Add();
    log_(events::kLinkRefused,
         {{"peer", dial->address}, {"reason", message.goodbye().reason()}});
    CloseDial(dial);
    dial->monitor.OnRefused(clock_());
    return;
  }
  metrics_.dropped_stray.Add();
}

void Links::Impl::OnAcceptedHello(const std::string& identity,
                                  std::uint32_t descriptor,
                                  const wire::Hello& hello) {
  const std::uint64_t id = next_link_++;
  const std::string refusal = CheckHello(hello, LinkDirection::kAccepted, id);
  if (stopped_) {
    return;
  }
  if (!refusal.empty()) {
    SendGoodbye(identity, refusal);
    return;
  }
  wire::Envelope answer;
  *answer.mutable_hello() = hooks_.make_hello();
  if (SendToIdentity(identity, answer) != SendResult::kSent) {
    peers_.OnDown(id);
    return;
  }
  Link link(LinkMonitor(timing_, clock_()), hello.instance());
  link.identity = identity;
  link.descriptor = descriptor;
  link_of_identity_[identity] = id;
  link_of_descriptor_.emplace(descriptor, id);
  AddLink(id, std::move(link), hello);
}

void Links::Impl::OnOpenedHello(Dial* dial, const wire::Hello& hello) {
  const std::uint64_t id = next_link_++;
  const std::shared_ptr<internal::ZmqSocket> socket = dial->socket;
  const std::string refusal = CheckHello(hello, LinkDirection::kOpened, id);
  if (socket->is_closed()) {
    // The `on_down` hook of a replaced link has disconnected this address.
    peers_.OnDown(id);
    return;
  }
  if (!refusal.empty()) {
    CloseDial(dial);
    dial->monitor.OnRefused(clock_());
    return;
  }
  dial->link = id;
  // The next dial starts with the key that worked.
  --dial->dial_attempts;
  dial->monitor.OnUp(clock_());
  Link link(LinkMonitor(timing_, clock_()), hello.instance());
  link.address = dial->address;
  AddLink(id, std::move(link), hello);
}

std::string Links::Impl::CheckHello(const wire::Hello& hello,
                                    LinkDirection direction, std::uint64_t id) {
  const auto incarnation = Id128FromBytes(hello.incarnation());
  const wire::Hello own = hooks_.make_hello();
  std::string refusal;
  if (!incarnation.has_value() || hello.instance().empty()) {
    refusal = "malformed hello";
  } else if (hello.protocol() != kProtocolVersion && hello.protocol() != 0) {
    refusal = "other protocol version";
  } else if (hello.instance() == own.instance()) {
    refusal = hello.incarnation() == own.incarnation()
                  ? "connected to itself"
                  : "instance name is taken";
  } else {
    const PeerTable::Decision decision = peers_.OnHello(
        hello.instance(), Incarnation{*incarnation}, direction, id);
    for (const std::uint64_t old : decision.replaced) {
      SuspendDialOf(old, id);
      DropLink(old, MakeError(ErrorCode::kUnavailable, hello.instance(),
                              "replaced by a newer connection"));
    }
    if (decision.verdict == HelloVerdict::kSuperseded) {
      refusal = "superseded by a later run of the instance";
    } else if (decision.verdict == HelloVerdict::kFull) {
      refusal = "too many connections";
    }
  }
  if (!refusal.empty()) {
    metrics_.refused.Add();
    log_(events::kLinkRefused,
         {{"peer", hello.instance()}, {"reason", refusal}});
  }
  return refusal;
}

void Links::Impl::SuspendDialOf(std::uint64_t old, std::uint64_t newer) {
  const auto link = links_.find(old);
  if (link == links_.end()) {
    return;
  }
  const auto dial = dials_.find(link->second.address);
  if (dial != dials_.end() && dial->second->link == old) {
    dial->second->suspended_by = newer;
  }
}

void Links::Impl::AddLink(std::uint64_t id, Link link,
                          const wire::Hello& hello) {
  links_.emplace(id, std::move(link));
  metrics_.opened.Add();
  metrics_.up.Set(static_cast<std::int64_t>(links_.size()));
  log_(events::kLinkUp, {{"peer", hello.instance()},
                         {"kind", DescribeKind(hello)},
                         {"link", std::to_string(id)}});
  hooks_.on_up(LinkId{id}, hello);
}

void Links::Impl::OnLinkMessage(std::uint64_t id, wire::Envelope&& message) {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    metrics_.dropped_stray.Add();
    return;
  }
  Link& link = it->second;
  if (message.has_heartbeat()) {
    link.monitor.OnHeartbeatReceived(clock_());
    link.seen_sequence = message.heartbeat().sequence();
  } else {
    link.monitor.OnWorkReceived(clock_());
  }
  if (message.has_goodbye()) {
    const Error error = MakeError(ErrorCode::kUnavailable, link.instance,
                                  "goodbye: " + message.goodbye().reason());
    // The peer keeps its socket open until it receives this goodbye.
    AnswerGoodbye(&link);
    DropLink(id, error);
    return;
  }
  if (message.has_hello()) {
    metrics_.dropped_stray.Add();
    return;
  }
  hooks_.on_message(LinkId{id}, std::move(message));
}

internal::SendResult Links::Impl::SendToIdentity(
    const std::string& identity, const wire::Envelope& message) {
  zmq::message_t frame;
  if (router_ == nullptr ||
      !internal::EncodeEnvelope(message, options_.max_message_bytes, &frame)) {
    metrics_.send_too_large.Add();
    return SendResult::kFull;
  }
  const std::size_t n = frame.size();
  zmq::message_t address(identity.data(), identity.size());
  SendResult result = router_->Send(std::move(address), true);
  if (result == SendResult::kSent) {
    result = router_->Send(std::move(frame), false);
  }
  router_->ScheduleCheck();
  if (result == SendResult::kSent) {
    metrics_.sent_messages.Add();
    metrics_.sent_bytes.Add(n);
  }
  return result;
}

internal::SendResult Links::Impl::SendOn(Link* link,
                                         const wire::Envelope& message) {
  if (!link->identity.empty()) {
    return SendToIdentity(link->identity, message);
  }
  const auto it = dials_.find(link->address);
  if (it == dials_.end() || it->second->socket == nullptr) {
    return SendResult::kGone;
  }
  zmq::message_t frame;
  if (!internal::EncodeEnvelope(message, options_.max_message_bytes, &frame)) {
    metrics_.send_too_large.Add();
    return SendResult::kFull;
  }
  const std::size_t n = frame.size();
  const SendResult result = it->second->socket->Send(std::move(frame), false);
  it->second->socket->ScheduleCheck();
  if (result == SendResult::kSent) {
    metrics_.sent_messages.Add();
    metrics_.sent_bytes.Add(n);
  }
  return result;
}

bool Links::Impl::Send(LinkId id, const wire::Envelope& message) {
  const auto it = links_.find(id.value);
  if (stopped_ || it == links_.end() || lost_links_.count(id.value) > 0) {
    metrics_.send_gone.Add();
    return false;
  }
  const SendResult result = SendOn(&it->second, message);
  if (result == SendResult::kSent) {
    if (message.has_heartbeat()) {
      it->second.monitor.OnHeartbeatSent(clock_());
    } else {
      it->second.monitor.OnWorkSent(clock_());
    }
    return true;
  }
  if (result == SendResult::kFull) {
    metrics_.send_full.Add();
    return false;
  }
  metrics_.send_gone.Add();
  DropLater(id.value);
  return false;
}

void Links::Impl::SendGoodbye(const std::string& identity,
                              const std::string& reason) {
  wire::Envelope goodbye;
  goodbye.mutable_goodbye()->set_reason(reason);
  SendToIdentity(identity, goodbye);
}

void Links::Impl::SendHeartbeat(std::uint64_t id) {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return;
  }
  wire::Envelope message;
  wire::Heartbeat* heartbeat = message.mutable_heartbeat();
  if (hooks_.fill_heartbeat) {
    hooks_.fill_heartbeat(heartbeat);
  }
  Link& link = it->second;
  heartbeat->set_sequence(++link.sent_sequence);
  heartbeat->set_echo_sequence(link.seen_sequence);
  const SendResult result = SendOn(&link, message);
  if (result == SendResult::kSent) {
    metrics_.heartbeats_sent.Add();
    link.monitor.OnHeartbeatSent(clock_());
  } else if (result == SendResult::kGone) {
    DropLater(id);
  }
}

void Links::Impl::DropLink(std::uint64_t id, const Error& error) {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return;
  }
  const Link link = std::move(it->second);
  links_.erase(it);
  lost_links_.erase(id);
  peers_.OnDown(id);
  link_of_identity_.erase(link.identity);
  const auto [first, last] = link_of_descriptor_.equal_range(link.descriptor);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == id) {
      link_of_descriptor_.erase(entry);
      break;
    }
  }
  if (const auto dial = dials_.find(link.address);
      dial != dials_.end() && dial->second->link == id) {
    CloseDial(dial->second.get());
    dial->second->monitor.OnLost(clock_());
  }
  metrics_.up.Set(static_cast<std::int64_t>(links_.size()));
  log_(events::kLinkDown, {{"peer", link.instance},
                           {"link", std::to_string(id)},
                           {"reason", error.detail}});
  hooks_.on_down(LinkId{id}, error);
}

void Links::Impl::DropLater(std::uint64_t id) {
  // The owner may be iterating over its links when a send fails, so `on_down`
  // is called from the event loop and never from inside `Send`.
  lost_links_.insert(id);
  if (drop_posted_) {
    return;
  }
  drop_posted_ = true;
  boost::asio::post(*io_, [this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) {
      drop_posted_ = false;
      DropLostLinks();
    }
  });
}

void Links::Impl::DropLostLinks() {
  if (stopped_) {
    return;
  }
  // Deliver the frames that the peer sent before it closed.
  while (router_ != nullptr && DrainRouter()) {
  }
  while (!lost_links_.empty() && !stopped_) {
    const std::uint64_t id = *lost_links_.begin();
    lost_links_.erase(lost_links_.begin());
    const auto it = links_.find(id);
    if (it != links_.end()) {
      DropLink(id, MakeError(ErrorCode::kUnavailable, it->second.instance,
                             "the connection was closed"));
    }
  }
}

}  // namespace indigolead
