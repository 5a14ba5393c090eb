#ifndef INDIGOLEAD_WIRE_TRANSPORT_MONITOR_H_
#define INDIGOLEAD_WIRE_TRANSPORT_MONITOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <zmq.hpp>

#include "wire/zmq_socket.h"

namespace indigolead::internal {

/// Reports connection events of one ZeroMQ socket.
///
/// A ZeroMQ socket does not report a lost connection. With the monitor the
/// owner can reconnect at once instead of after the silence timeout.
class TransportMonitor {
 public:
  enum class Event { kConnected, kLost, kRefused };

  /// `descriptor` is that of the connection, where the event has one.
  using OnEvent = std::function<void(Event, std::uint32_t descriptor)>;

  /// Monitors `watched`, which must stay open for the lifetime of this object.
  /// Must be constructed before `watched` is bound or connected.
  TransportMonitor(boost::asio::io_context* io, zmq::context_t* context,
                   zmq::socket_t* watched, OnEvent on_event);
  ~TransportMonitor();
  TransportMonitor(const TransportMonitor&) = delete;
  TransportMonitor& operator=(const TransportMonitor&) = delete;

 private:
  bool Drain();
  void Report(const zmq::message_t& frame);

  std::shared_ptr<ZmqSocket> socket_;
  zmq::socket_t* watched_;
  OnEvent on_event_;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_TRANSPORT_MONITOR_H_
