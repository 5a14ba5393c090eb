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

/// Talks HTTP/1.1 to one target over a pool of kept-alive connections.
///
/// A request is never written twice: a connection that breaks after the first
/// byte ends the call with `kUnknownEffect`, whatever the method, because only
/// the caller knows whether a repeat is harmless. Before it takes a pooled
/// connection into use it checks that the target has not closed it meanwhile,
/// so that an idle close is not mistaken for a broken run, and it gives a
/// connection up shortly before the time that the target's `Keep-Alive` states.
///
/// The answer is read while the request is still being written, because a
/// target may refuse a long body before it has taken it in.
class HttpTargetClient : public TargetClient {
 public:
  struct Options {
    std::string address;  ///< "IP:port" of the target.
    Duration connect_timeout = std::chrono::seconds(1);
    std::size_t max_idle_connections = 64;
    std::size_t read_buffer_bytes = 16U << 10;
    std::size_t max_head_bytes = 64U << 10;
    /// Bytes that the target's machine has not acknowledged for so long break
    /// the connection; a machine without power never answers. 0: no bound.
    Duration unacknowledged_timeout{0};
  };

  /// `io` must outlive this object and every call.
  HttpTargetClient(boost::asio::io_context* io, Options options);
  ~HttpTargetClient() override;

  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override;

  /// Closes the connections that no call uses.
  void CloseIdle();

 private:
  class Pool;
  std::shared_ptr<Pool> pool_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_HTTP_TARGET_CLIENT_H_
