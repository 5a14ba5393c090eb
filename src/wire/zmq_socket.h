#ifndef INDIGOLEAD_WIRE_ZMQ_SOCKET_H_
#define INDIGOLEAD_WIRE_ZMQ_SOCKET_H_

#include <utility>
// Boost 1.74 uses std::exchange without including <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

namespace indigolead::internal {

/// Result of a non-blocking send.
enum class SendResult { kSent, kFull, kGone };

/// A ZeroMQ socket whose events are handled by an io_context.
///
/// The descriptor of a ZeroMQ socket is edge-triggered and also becomes
/// readable for internal commands. A message that arrives while a send
/// processes such commands causes no further edge and would never be read. The
/// events are therefore checked after every wake-up, and in a posted task after
/// every send.
class ZmqSocket : public std::enable_shared_from_this<ZmqSocket> {
 public:
  /// Reads up to one batch of messages; returns true if more may be left. May
  /// close the socket.
  using OnReady = std::function<bool()>;

  ZmqSocket(boost::asio::io_context* io, zmq::context_t* context,
            zmq::socket_type type);
  ~ZmqSocket();
  ZmqSocket(const ZmqSocket&) = delete;
  ZmqSocket& operator=(const ZmqSocket&) = delete;

  /// Starts calling `on_ready` on the thread of the io_context. Must be called
  /// after the socket is bound or connected.
  void Start(OnReady on_ready);

  /// Posts one call of `on_ready`; has no effect while one is pending.
  void ScheduleCheck();

  /// Closes the socket; `on_ready` is not called afterwards.
  void Close();
  bool is_closed() const { return closed_; }

  /// Reads one frame without blocking. Returns false if there is none.
  bool Receive(zmq::message_t* message);

  /// Sends one frame without blocking.
  SendResult Send(zmq::message_t&& frame, bool more);

  /// Returns true if a send would succeed now.
  bool IsWritable();

  /// Returns the socket, for options, bind and connect.
  zmq::socket_t& raw() { return socket_; }

 private:
  void Arm();
  void ProcessEvents();

  boost::asio::io_context* io_;
  zmq::socket_t socket_;
  boost::asio::posix::stream_descriptor descriptor_;
  OnReady on_ready_;
  bool closed_ = false;
  bool armed_ = false;
  bool check_posted_ = false;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_ZMQ_SOCKET_H_
