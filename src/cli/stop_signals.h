#ifndef INDIGOLEAD_CLI_STOP_SIGNALS_H_
#define INDIGOLEAD_CLI_STOP_SIGNALS_H_

#include <functional>
#include <memory>

namespace indigolead::cli {

/// Turns SIGTERM and SIGINT into a planned stop, on a thread of its own, and
/// ignores SIGPIPE while it lives: a peer that went away is an error of one
/// write, not the end of the process.
class StopSignals {
 public:
  /// `on_stop` is called at the first signal with its number, from another
  /// thread. Further signals change nothing: the drain timeout bounds the stop.
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
