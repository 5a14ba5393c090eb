// Graceful shutdown of `Links`: goodbyes, and closing sockets without losing
// frames in flight.
//
// A TCP socket closed with unread input sends a reset, which can discard the
// last frames of this process, so that a planned stop would truncate a caller's
// answer. Therefore both ends send a goodbye, and the closing end keeps reading
// until it has received the peer's.
#include <vector>

#include "wire/codec.h"
#include "wire/links_impl.h"

namespace indigolead {
namespace {

using internal::ZmqSocket;

/// Longest wait for the peer's goodbye, so that a hung peer cannot block a
/// stop.
constexpr Duration kGoodbyeTimeout = std::chrono::milliseconds(500);
/// Linger of a closed socket, in which it can still send its answering goodbye.
constexpr int kGoodbyeLingerMs = 200;
constexpr auto kPollInterval = std::chrono::milliseconds(10);

bool IsGoodbye(const zmq::message_t& frame) {
  wire::Envelope message;
  return internal::DecodeEnvelope(frame.data(), frame.size(), &message) &&
         message.has_goodbye();
}

}  // namespace

void Links::Impl::Stop(const std::string& reason) {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  wire::Envelope goodbye;
  goodbye.mutable_goodbye()->set_reason(reason);
  for (auto& [id, link] : links_) {
    if (!link.identity.empty() && SendOn(&link, goodbye) == SendResult::kSent) {
      closing_identities_.insert(link.identity);
    }
  }
  for (auto& [address, dial] : dials_) {
    CloseDialGracefully(dial.get(), reason);
  }
  dials_.clear();
  links_.clear();
  link_of_identity_.clear();
  link_of_descriptor_.clear();
  metrics_.up.Set(0);
  router_deadline_ = clock_() + kGoodbyeTimeout;
  if (closing_identities_.empty()) {
    CloseRouter();
  }
}

void Links::Impl::CloseDialGracefully(Dial* dial, const std::string& reason) {
  const auto link = links_.find(dial->link);
  wire::Envelope goodbye;
  goodbye.mutable_goodbye()->set_reason(reason);
  if (link != links_.end() &&
      SendOn(&link->second, goodbye) == SendResult::kSent) {
    ZmqSocket* const socket = dial->socket.get();
    closing_sockets_[socket] = {std::move(dial->socket),
                                clock_() + kGoodbyeTimeout};
  }
  CloseDial(dial);
}

void Links::Impl::AnswerGoodbye(Link* link) {
  wire::Envelope goodbye;
  goodbye.mutable_goodbye()->set_reason("goodbye received");
  SendOn(link, goodbye);
  const auto dial = dials_.find(link->address);
  if (dial != dials_.end() && dial->second->socket != nullptr) {
    dial->second->socket->raw().set(zmq::sockopt::linger, kGoodbyeLingerMs);
  }
}

bool Links::Impl::DrainClosing(ZmqSocket* socket) {
  const auto it = closing_sockets_.find(socket);
  if (it == closing_sockets_.end()) {
    return false;
  }
  zmq::message_t frame;
  while (socket->Receive(&frame)) {
    if (IsGoodbye(frame)) {
      // The running callback keeps the socket alive.
      socket->Close();
      closing_sockets_.erase(it);
      return false;
    }
  }
  return false;
}

void Links::Impl::OnClosingFrame(const std::string& identity,
                                 const zmq::message_t& frame) {
  if (IsGoodbye(frame)) {
    closing_identities_.erase(identity);
  }
  if (closing_identities_.empty()) {
    CloseRouter();
  }
}

void Links::Impl::CloseRouter() {
  closing_identities_.clear();
  router_transport_.reset();
  if (router_ != nullptr) {
    router_->Close();
  }
}

void Links::Impl::ExpireClosing(TimePoint now) {
  std::erase_if(closing_sockets_, [now](auto& entry) {
    const bool expired = now >= entry.second.until;
    if (expired) {
      entry.second.socket->Close();
    }
    return expired;
  });
  if (stopped_ && now >= router_deadline_) {
    CloseRouter();
  }
}

void Links::Impl::WaitForGoodbyes() {
  // The event loop may no longer run, so the sockets are polled here, within
  // the same time limit.
  for (auto left = kGoodbyeTimeout; IsClosing() && left > Duration::zero();
       left -= kPollInterval) {
    std::vector<zmq::pollitem_t> items;
    std::vector<ZmqSocket*> sockets;
    for (auto& [socket, closing_socket] : closing_sockets_) {
      items.push_back({socket->raw().handle(), 0, ZMQ_POLLIN, 0});
      sockets.push_back(socket);
    }
    if (!closing_identities_.empty()) {
      items.push_back({router_->raw().handle(), 0, ZMQ_POLLIN, 0});
    }
    zmq::poll(items, kPollInterval);
    for (ZmqSocket* const socket : sockets) {
      DrainClosing(socket);
    }
    while (!closing_identities_.empty() && DrainRouter()) {
    }
    ExpireClosing(clock_());
  }
}

}  // namespace indigolead
