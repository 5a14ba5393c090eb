#ifndef INDIGOLEAD_WIRE_ZAP_HANDLER_H_
#define INDIGOLEAD_WIRE_ZAP_HANDLER_H_

#include <functional>
#include <memory>
#include <string>

#include "wire/zmq_socket.h"

namespace indigolead::internal {

/// ZAP (ZeroMQ Authentication Protocol) handler that decides by its public key
/// whether a peer may connect.
///
/// CURVE itself accepts any client; ZeroMQ leaves the decision to the handler
/// at a well-known inproc address. It asks on each new connection, so a changed
/// list of keys takes effect at once.
class ZapHandler {
 public:
  /// Returns true if the peer with this Z85 public key may connect.
  using IsTrusted = std::function<bool(const std::string& public_key)>;

  /// Must be constructed before any socket of `context` is bound.
  ZapHandler(boost::asio::io_context* io, zmq::context_t* context,
             IsTrusted is_trusted);
  ~ZapHandler();
  ZapHandler(const ZapHandler&) = delete;
  ZapHandler& operator=(const ZapHandler&) = delete;

 private:
  bool Drain();

  std::shared_ptr<ZmqSocket> socket_;
  IsTrusted is_trusted_;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_ZAP_HANDLER_H_
