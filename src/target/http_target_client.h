#ifndef INDIGOLEAD_TARGET_HTTP_TARGET_CLIENT_H_
#define INDIGOLEAD_TARGET_HTTP_TARGET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "core/base/result.h"
#include "core/base/time.h"
#include "target/target_client.h"

namespace indigolead {

/// HTTP/1.1 client for one target, with a pool of keep-alive connections.
///
/// A request is never written twice: a connection that fails after the first
/// byte ends the call with `kUnknownEffect`, whatever the method, because only
/// the caller knows whether a retry is safe. A pooled connection is checked
/// before use, so that a close while idle is not taken for a failed request,
/// and it is discarded shortly before the idle time in the target's
/// `Keep-Alive` header expires.
///
/// A response belongs to the one exchange that is open on its connection, or to
/// none. The value of `TargetRequest::echoed` tells which; no value is
/// therefore written twice on a connection.
///
/// A request without an id is written on a connection of its own, unless the
/// options say otherwise.
///
/// The response is read while the request is still being written, because a
/// target may reject a long body before it has read it.
class HttpTargetClient : public TargetClient {
 public:
  struct Options {
    std::string address;  ///< "IP:port" of the target.
    Duration connect_timeout = std::chrono::seconds(1);
    std::size_t max_idle_connections = 64;
    /// A connection is closed after this many requests. It bounds the memory
    /// for the ids that were written on it.
    std::size_t max_requests_per_connection = 1000;
    /// Also reuses the connections of requests that have no `echoed` value.
    /// Only for targets that never send a response that was not asked for: it
    /// could not be distinguished from the response to such a request.
    bool reuse_without_echo = false;
    std::size_t read_buffer_bytes = 16U << 10;
    std::size_t max_head_bytes = 64U << 10;
    /// The connection fails if sent bytes stay unacknowledged for this long; a
    /// host without power never responds. 0: no limit.
    Duration unacknowledged_timeout{0};
  };

  /// `io` must outlive this object and every call.
  HttpTargetClient(boost::asio::io_context* io, Options options);
  ~HttpTargetClient() override;

  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override;

  /// Closes all idle connections.
  void CloseIdleConnections();

 private:
  class Pool;
  std::shared_ptr<Pool> pool_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_HTTP_TARGET_CLIENT_H_
