#ifndef INDIGOLEAD_CLI_STOP_SIGNALS_H_
#define INDIGOLEAD_CLI_STOP_SIGNALS_H_

#include <functional>
#include <memory>

namespace indigolead::cli {

/// Handles SIGTERM and SIGINT on its own thread to start a graceful shutdown.
/// Ignores SIGPIPE once constructed, so that a disconnected peer fails one
/// write instead of terminating the process.
class StopSignals {
 public:
  /// Calls `on_stop` with the number of the first signal, from another thread.
  /// Further signals have no effect: the drain timeout bounds the shutdown.
  explicit StopSignals(std::function<void(int signal)> on_stop);
  ~StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_STOP_SIGNALS_H_
