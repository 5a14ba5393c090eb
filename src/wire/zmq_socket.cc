#include "wire/zmq_socket.h"

#include <boost/asio/post.hpp>

namespace indigolead::internal {

ZmqSocket::ZmqSocket(boost::asio::io_context* io, zmq::context_t* context,
                     zmq::socket_type type)
    : io_(io), socket_(*context, type), descriptor_(*io) {}

ZmqSocket::~ZmqSocket() { Close(); }

void ZmqSocket::Start(OnReady on_ready) {
  on_ready_ = std::move(on_ready);
  descriptor_.assign(socket_.get(zmq::sockopt::fd));
  ScheduleCheck();
}

void ZmqSocket::ScheduleCheck() {
  if (closed_ || check_posted_) {
    return;
  }
  check_posted_ = true;
  boost::asio::post(*io_, [self = weak_from_this()] {
    if (const auto socket = self.lock()) {
      socket->check_posted_ = false;
      socket->ProcessEvents();
    }
  });
}

void ZmqSocket::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  // ZeroMQ owns the descriptor and closes it with the socket.
  if (descriptor_.is_open()) {
    descriptor_.release();
  }
  socket_.close();
}

bool ZmqSocket::Receive(zmq::message_t* message) {
  return !closed_ &&
         socket_.recv(*message, zmq::recv_flags::dontwait).has_value();
}

SendResult ZmqSocket::Send(zmq::message_t&& frame, bool more) {
  if (closed_) {
    return SendResult::kGone;
  }
  const int flags = ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0);
  if (zmq_msg_send(frame.handle(), socket_.handle(), flags) >= 0) {
    return SendResult::kSent;
  }
  return zmq_errno() == EAGAIN ? SendResult::kFull : SendResult::kGone;
}

bool ZmqSocket::IsWritable() {
  return !closed_ && (socket_.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
}

void ZmqSocket::Arm() {
  if (armed_) {
    return;
  }
  armed_ = true;
  descriptor_.async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [self = weak_from_this()](const boost::system::error_code& ec) {
        const auto socket = self.lock();
        if (socket != nullptr) {
          socket->armed_ = false;
        }
        if (socket != nullptr && !ec) {
          socket->ProcessEvents();
        }
      });
}

void ZmqSocket::ProcessEvents() {
  if (closed_) {
    return;
  }
  const bool more = on_ready_();
  if (closed_) {
    return;
  }
  if (more || (socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    ScheduleCheck();
    return;
  }
  Arm();
}

}  // namespace indigolead::internal
