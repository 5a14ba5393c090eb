#ifndef INDIGOLEAD_WIRE_TRANSPORT_MONITOR_H_
#define INDIGOLEAD_WIRE_TRANSPORT_MONITOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <zmq.hpp>

#include "wire/zmq_socket.h"

namespace indigolead::internal {

/// Reports what happens below one ZeroMQ socket.
///
/// ZeroMQ hides the loss of a connection from its user. Told of it, the owner
/// opens a new connection at once; without it, only silence would tell.
class TransportMonitor {
 public:
  enum class Event { kConnected, kLost, kRefused };

  /// `on_event` gets the descriptor of the connection where there is one.
  using OnEvent = std::function<void(Event, std::uint32_t descriptor)>;

  /// Watches `watched`, which must outlive this object and be open until then;
  /// call before it is bound or connected.
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
