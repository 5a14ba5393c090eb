// Sockets of `Links`: options, bind, connect, reads and transport events.
#include <boost/asio/ip/address.hpp>
#include <cstring>

#include "wire/codec.h"
#include "wire/events.h"
#include "wire/links_impl.h"

namespace indigolead {
namespace {

using internal::TransportMonitor;
using internal::ZmqSocket;

/// Frames read from one socket before control returns to the event loop.
constexpr int kReadBatch = 256;
/// TCP closes a connection whose data stays unacknowledged for this long.
/// Otherwise ZeroMQ would keep the connection to a vanished peer until the
/// kernel's own timeout.
constexpr int kTransportTimeoutMs = 10000;
constexpr int kHandshakeTimeoutMs = 5000;
constexpr char kScheme[] = "tcp://";

int ToMilliseconds(Duration duration) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// Returns true if `address` is "IP:port", and sets `is_loopback`.
bool ParseAddress(const std::string& address, bool* is_loopback) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) {
    return false;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(host, ec);
  *is_loopback = !ec && ip.is_loopback();
  return !ec;
}

/// Discards the frames after `last` of a message that has more frames than the
/// protocol allows. Returns true if there were any.
bool DiscardRest(ZmqSocket* socket, const zmq::message_t& last) {
  bool more = last.more();
  const bool discarded = more;
  while (more) {
    zmq::message_t extra;
    more = socket->Receive(&extra) && extra.more();
  }
  return discarded;
}

}  // namespace

void Links::Impl::SetCommonOptions(zmq::socket_t* socket) const {
  socket->set(zmq::sockopt::linger, 0);
  socket->set(zmq::sockopt::immediate, 1);
  socket->set(zmq::sockopt::sndhwm, options_.high_water_mark);
  socket->set(zmq::sockopt::rcvhwm, options_.high_water_mark);
  socket->set(zmq::sockopt::maxmsgsize,
              static_cast<std::int64_t>(options_.max_message_bytes));
  socket->set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  socket->set(zmq::sockopt::tcp_keepalive, 1);
  socket->set(zmq::sockopt::tcp_keepalive_idle, 10);
  socket->set(zmq::sockopt::tcp_keepalive_intvl, 5);
  socket->set(zmq::sockopt::tcp_keepalive_cnt, 3);
  socket->set(zmq::sockopt::tcp_maxrt, kTransportTimeoutMs);
}

Status Links::Impl::Bind() {
  bool is_loopback = false;
  if (!ParseAddress(options_.bind_address, &is_loopback)) {
    return MakeError(ErrorCode::kInvalidInput, options_.bind_address,
                     "expected IP:port");
  }
  if (!is_loopback && !IsEncrypted()) {
    return MakeError(ErrorCode::kInvalidInput, options_.bind_address,
                     "an address outside loopback needs key files; set "
                     "public_key_file, secret_key_file, trusted_keys_file");
  }
  router_ =
      std::make_shared<ZmqSocket>(io_, &context_, zmq::socket_type::router);
  SetCommonOptions(&router_->raw());
  SetServerKeys(&router_->raw());
  router_->raw().set(zmq::sockopt::router_mandatory, 1);
  router_transport_ = std::make_unique<TransportMonitor>(
      io_, &context_, &router_->raw(),
      [this](TransportEvent event, std::uint32_t descriptor) {
        OnRouterTransport(event, descriptor);
      });
  try {
    router_->raw().bind(kScheme + options_.bind_address);
  } catch (const zmq::error_t& error) {
    return MakeError(ErrorCode::kInvalidInput, options_.bind_address,
                     error.what());
  }
  bound_address_ = router_->raw()
                       .get(zmq::sockopt::last_endpoint)
                       .substr(std::strlen(kScheme));
  router_->Start([this] { return DrainRouter(); });
  log_(events::kLinksListening, {{"address", bound_address_}});
  return Unit{};
}

bool Links::Impl::DrainRouter() {
  const std::shared_ptr<ZmqSocket> socket = router_;
  zmq::message_t identity;
  zmq::message_t frame;
  for (int n = 0; n < kReadBatch; ++n) {
    if (socket->is_closed() || !socket->Receive(&identity)) {
      return false;
    }
    if (!identity.more() || !socket->Receive(&frame)) {
      metrics_.dropped_unparseable.Add();
      continue;
    }
    if (DiscardRest(socket.get(), frame)) {
      metrics_.dropped_unparseable.Add();
      continue;
    }
    if (stopped_) {
      OnClosingFrame(identity.to_string(), frame);
    } else {
      OnRouterFrame(identity.to_string(), frame);
    }
  }
  return true;
}

bool Links::Impl::DrainDealer(const std::string& address, ZmqSocket* read) {
  const auto it = dials_.find(address);
  if (it == dials_.end() || it->second->socket.get() != read) {
    return DrainClosing(read);
  }
  // A hook may disconnect the address. The socket is then closed or in
  // `closing_sockets_`, and `dial` is no longer valid.
  Dial* dial = it->second.get();
  const std::shared_ptr<ZmqSocket> socket = dial->socket;
  SendOpeningHello(dial);
  zmq::message_t frame;
  for (int n = 0; n < kReadBatch; ++n) {
    if (socket->is_closed() || closing_sockets_.count(read) > 0 ||
        !socket->Receive(&frame)) {
      return closing_sockets_.count(read) > 0;
    }
    if (DiscardRest(socket.get(), frame)) {
      metrics_.dropped_unparseable.Add();
      continue;
    }
    OnDealerFrame(dial, frame);
  }
  return true;
}

void Links::Impl::OnRouterTransport(TransportEvent event,
                                    std::uint32_t descriptor) {
  if (event == TransportEvent::kRefused) {
    metrics_.refused.Add();
    log_(events::kLinkRefused, {{"reason", "handshake"}});
    return;
  }
  if (event != TransportEvent::kLost) {
    return;
  }
  // This is only a hint, since the descriptor may already belong to a newer
  // connection. A heartbeat on each of its links, now and at the next tick,
  // shows which are lost; the second one is needed because the ROUTER may not
  // yet have processed the loss.
  std::vector<std::uint64_t> probed;
  const auto [first, last] = link_of_descriptor_.equal_range(descriptor);
  for (auto it = first; it != last; ++it) {
    probed.push_back(it->second);
  }
  for (const std::uint64_t id : probed) {
    if (const auto it = links_.find(id); it != links_.end()) {
      it->second.needs_probe = true;
      SendHeartbeat(id);
    }
  }
}

void Links::Impl::OnDealerTransport(const std::string& address,
                                    TransportEvent event) {
  auto it = dials_.find(address);
  if (it == dials_.end() || it->second->socket == nullptr) {
    return;
  }
  const std::shared_ptr<ZmqSocket> socket = it->second->socket;
  if (event == TransportEvent::kConnected) {
    DrainDealer(address, socket.get());
    return;
  }
  // Deliver the frames that were received before the loss.
  while (DrainDealer(address, socket.get())) {
  }
  it = dials_.find(address);
  if (it == dials_.end() || it->second->socket != socket) {
    return;
  }
  if (event == TransportEvent::kRefused) {
    metrics_.refused.Add();
    log_(events::kLinkRefused, {{"peer", address}, {"reason", "handshake"}});
  }
  OnDialLost(it->second.get(), MakeError(ErrorCode::kUnavailable, address,
                                         "the connection was lost"));
}

std::string Links::Impl::NewRoutingId() {
  // Each connection has its own id, so that neither a restarted process nor a
  // later connection of this one receives messages for an earlier connection.
  // The first byte must not be zero, which ZeroMQ reserves.
  return "i" + hooks_.make_hello().incarnation() + ToBytes(ids_());
}

void Links::Impl::Connect(const std::string& address) {
  if (stopped_ || dials_.count(address) > 0) {
    return;
  }
  bool is_loopback = false;
  if (!ParseAddress(address, &is_loopback) ||
      (!is_loopback && !IsEncrypted()) || dials_.size() >= options_.max_links) {
    metrics_.refused.Add();
    log_(events::kLinkAddressRefused, {{"peer", address}});
    return;
  }
  auto dial = std::make_unique<Dial>(address,
                                     DialMonitor(timing_, ids_().lo, clock_()));
  // No keys are loaded before `Start`; the first tick opens the dial then.
  if (started_) {
    OpenDial(dial.get());
  }
  dials_[address] = std::move(dial);
}

void Links::Impl::Disconnect(const std::string& address) {
  const auto it = dials_.find(address);
  if (it == dials_.end()) {
    return;
  }
  if (it->second->link != 0) {
    DropLater(it->second->link);
  }
  CloseDialGracefully(it->second.get(), "disconnected");
  dials_.erase(it);
}

void Links::Impl::OpenDial(Dial* dial) {
  dial->socket =
      std::make_shared<ZmqSocket>(io_, &context_, zmq::socket_type::dealer);
  zmq::socket_t& raw = dial->socket->raw();
  SetCommonOptions(&raw);
  SetClientKeys(*dial, &raw);
  ++dial->dial_attempts;
  raw.set(zmq::sockopt::routing_id, NewRoutingId());
  // ZeroMQ's own reconnect would reuse the routing id of the lost connection,
  // so it is off and each connection gets a new socket.
  raw.set(zmq::sockopt::reconnect_ivl, -1);
  raw.set(zmq::sockopt::connect_timeout, ToMilliseconds(timing_.dial_timeout));
  const std::string address = dial->address;
  dial->transport = std::make_unique<TransportMonitor>(
      io_, &context_, &raw, [this, address](TransportEvent event, auto) {
        OnDealerTransport(address, event);
      });
  dial->monitor.OnOpened(clock_());
  try {
    raw.connect(kScheme + address);
  } catch (const zmq::error_t& error) {
    OnDialLost(dial, MakeError(ErrorCode::kUnavailable, address, error.what()));
    return;
  }
  dial->socket->Start([this, address, read = dial->socket.get()] {
    return DrainDealer(address, read);
  });
}

void Links::Impl::CloseDial(Dial* dial) {
  dial->transport.reset();
  if (dial->socket != nullptr) {
    dial->socket->Close();
    dial->socket.reset();
  }
  dial->hello_sent = false;
  dial->link = 0;
}

void Links::Impl::OnDialLost(Dial* dial, const Error& error) {
  if (dial->link != 0) {
    DropLink(dial->link, error);
    return;
  }
  CloseDial(dial);
  dial->monitor.OnLost(clock_());
}

void Links::Impl::SendOpeningHello(Dial* dial) {
  if (dial->hello_sent || dial->socket == nullptr ||
      !dial->socket->IsWritable()) {
    return;
  }
  wire::Envelope hello;
  *hello.mutable_hello() = hooks_.make_hello();
  zmq::message_t frame;
  if (internal::EncodeEnvelope(hello, options_.max_message_bytes, &frame)) {
    dial->hello_sent =
        dial->socket->Send(std::move(frame), false) == SendResult::kSent;
  }
}

}  // namespace indigolead
