#include "wire/transport_monitor.h"

#include <cstring>
#include <string>
#include <utility>

namespace indigolead::internal {
namespace {

constexpr int kLostEvents = ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CLOSED;
constexpr int kRefusedEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr int kConnectedEvents = ZMQ_EVENT_HANDSHAKE_SUCCEEDED;

}  // namespace

TransportMonitor::TransportMonitor(boost::asio::io_context* io,
                                   zmq::context_t* context,
                                   zmq::socket_t* watched, OnEvent on_event)
    : socket_(std::make_shared<ZmqSocket>(io, context, zmq::socket_type::pair)),
      watched_(watched),
      on_event_(std::move(on_event)) {
  // The pointer makes the name unique for the lifetime of this object.
  const std::string address =
      "inproc://monitor-" +
      std::to_string(reinterpret_cast<std::uintptr_t>(socket_.get()));
  zmq_socket_monitor(watched->handle(), address.c_str(),
                     kLostEvents | kRefusedEvents | kConnectedEvents);
  socket_->raw().set(zmq::sockopt::linger, 0);
  // No limit: a full queue would block ZeroMQ's I/O thread.
  socket_->raw().set(zmq::sockopt::rcvhwm, 0);
  socket_->raw().connect(address);
  socket_->Start([this] { return Drain(); });
}

TransportMonitor::~TransportMonitor() {
  // Monitoring must end before its reader closes. Otherwise ZeroMQ's I/O thread
  // would block forever on an event that nobody reads, and all connections of
  // the process would fall silent.
  zmq_socket_monitor(watched_->handle(), nullptr, 0);
  socket_->Close();
}

bool TransportMonitor::Drain() {
  // The callback may destroy this object. The socket is kept alive here; it is
  // closed if that has happened.
  const std::shared_ptr<ZmqSocket> socket = socket_;
  zmq::message_t frame;
  while (socket->Receive(&frame)) {
    const bool has_address = frame.more();
    zmq::message_t address;
    if (has_address) {
      socket->Receive(&address);
    }
    Report(frame);
    if (socket->is_closed()) {
      return false;
    }
  }
  return false;
}

void TransportMonitor::Report(const zmq::message_t& frame) {
  std::uint16_t event = 0;
  std::uint32_t value = 0;
  if (frame.size() < sizeof(event) + sizeof(value)) {
    return;
  }
  const char* data = static_cast<const char*>(frame.data());
  std::memcpy(&event, data, sizeof(event));
  std::memcpy(&value, data + sizeof(event), sizeof(value));
  const OnEvent on_event = on_event_;
  if ((event & kConnectedEvents) != 0) {
    on_event(Event::kConnected, value);
  } else if ((event & kRefusedEvents) != 0) {
    on_event(Event::kRefused, value);
  } else if ((event & kLostEvents) != 0) {
    on_event(Event::kLost, value);
  }
}

}  // namespace indigolead::internal
