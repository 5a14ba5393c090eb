#ifndef INDIGOLEAD_WIRE_ZAP_HANDLER_H_
#define INDIGOLEAD_WIRE_ZAP_HANDLER_H_

#include <functional>
#include <memory>
#include <string>

#include "wire/zmq_socket.h"

namespace indigolead::internal {

/// Answers ZeroMQ's question whether a peer's public key is let in.
///
/// CURVE alone encrypts to anybody; who may connect is decided by whoever
/// serves this well-known address. It is asked on each new connection, so a
/// changed list of keys counts at once.
class ZapHandler {
 public:
  /// Returns true if the peer with this Z85 public key may connect.
  using IsTrusted = std::function<bool(const std::string& public_key)>;

  /// Must be built before any socket of `context` is bound.
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
