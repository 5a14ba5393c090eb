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

/// Result of a send that does not wait.
enum class SendResult { kSent, kFull, kGone };

/// One ZeroMQ socket served by an io_context.
///
/// A ZeroMQ socket's descriptor is edge-triggered and becomes readable for
/// internal commands too: a message that arrives while a send processes such
/// commands leaves no edge behind and would wait for ever. So the events are
/// read again after every wake-up, and in a posted pass after every send.
class ZmqSocket : public std::enable_shared_from_this<ZmqSocket> {
 public:
  /// Reads what the socket holds, up to a batch; returns true if more may be
  /// left. May close the socket.
  using OnReady = std::function<bool()>;

  ZmqSocket(boost::asio::io_context* io, zmq::context_t* context,
            zmq::socket_type type);
  ~ZmqSocket();
  ZmqSocket(const ZmqSocket&) = delete;
  ZmqSocket& operator=(const ZmqSocket&) = delete;

  /// Starts calling `on_ready` on the io_context's thread. Call after the
  /// socket is bound or connected.
  void Start(OnReady on_ready);

  /// Plans one pass of `on_ready` soon, however often it is called.
  void CheckSoon();

  /// Closes the socket; `on_ready` is not called afterwards.
  void Close();
  bool is_closed() const { return closed_; }

  /// Returns true if a message was read.
  bool Receive(zmq::message_t* message);

  /// Sends one frame without waiting.
  SendResult Send(zmq::message_t&& frame, bool more);

  /// Returns true if a send would be accepted now.
  bool IsWritable();

  /// Returns the socket, for options, bind and connect.
  zmq::socket_t& raw() { return socket_; }

 private:
  void Arm();
  void Pass();

  boost::asio::io_context* io_;
  zmq::socket_t socket_;
  boost::asio::posix::stream_descriptor descriptor_;
  OnReady on_ready_;
  bool closed_ = false;
  bool armed_ = false;
  bool posted_ = false;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_ZMQ_SOCKET_H_
