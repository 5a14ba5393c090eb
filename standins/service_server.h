#ifndef INDIGOLEAD_STANDINS_SERVICE_SERVER_H_
#define INDIGOLEAD_STANDINS_SERVICE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/http_server.h"
#include "standins/run_log.h"

namespace indigolead::standins {

/// Simulates a plain service: an echo server.
///
/// The response depends on the request alone, so a test can detect a response
/// delivered to the wrong caller. Public methods may be called from any thread
/// except the server's own.
class ServiceServer {
 public:
  struct Options {
    std::uint16_t port = 0;
    /// A request whose body or path contains this word crashes the service.
    std::string poison = "crash-service";
    /// Called for such a request. By default the service stops serving.
    std::function<void()> on_poison;
    /// Delay before each response.
    std::uint32_t delay_ms = 0;
  };

  ServiceServer() : ServiceServer(Options{}) {}
  explicit ServiceServer(Options options);

  std::uint16_t port() const { return server_->port(); }
  std::string address() const { return server_->address(); }

  void SetDown(bool down) { server_->SetDown(down); }
  void SetDelay(std::uint32_t delay_ms);

  /// While set, requests run but their responses are withheld.
  void SetHold(bool hold);

  std::vector<RunRecord> runs();

 private:
  Task Handle(HttpExchange& exchange);
  Task Stream(HttpExchange& exchange, std::string body, std::uint64_t chunks);

  Options options_;
  bool hold_ = false;
  RunLog log_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_SERVICE_SERVER_H_
