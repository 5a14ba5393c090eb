#ifndef INDIGOLEAD_SIDE_TARGET_MONITOR_H_
#define INDIGOLEAD_SIDE_TARGET_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "side/target_messages.h"
#include "target/target_client.h"

namespace indigolead {

/// Polls the health, state and load of one target, on the target's thread.
///
/// Engines are polled at `/state` and `/load`, services at `/health`. Any
/// answer of a service except 503 counts as up, since not all services have
/// that path.
class TargetMonitor {
 public:
  struct Options {
    bool is_engine = true;
    Duration poll_interval = std::chrono::milliseconds(500);
    Duration deadline = std::chrono::milliseconds(500);
  };

  /// Calls `emit` with a `TargetConditionEvent` after each poll that shows the
  /// target's condition and, for engines, with an `EngineLoadEvent` after each
  /// reading of the load. `io` and `client` must outlive this object.
  TargetMonitor(boost::asio::io_context* io, Options options,
                TargetClient* client, Clock clock,
                std::function<void(TargetEvent)> emit);

  void Start();
  void Stop();

  /// Polls at once instead of at the next interval.
  void PollSoon();

  /// Reads the engine's state now and calls `done` with it, or with
  /// `kUnavailable` if no connection could be made.
  void Probe(std::function<void(const Result<EngineState>&)> done);

  /// Returns the last state read.
  const EngineState& engine() const { return engine_; }

 private:
  void Poll();
  void ScheduleNextPoll();
  void OnStateAnswer(const Result<EngineState>& answer, TimePoint asked_at);
  void PollLoad();
  void PollHealth();
  void SetState(TargetCondition state, const EngineState& engine,
                TimePoint asked_at);

  boost::asio::io_context* io_;
  Options options_;
  TargetClient* client_;
  Clock clock_;
  std::function<void(TargetEvent)> emit_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<TargetClient::Call> poll_call_;
  std::unique_ptr<TargetClient::Call> load_call_;
  std::unique_ptr<TargetClient::Call> probe_call_;
  std::vector<std::function<void(const Result<EngineState>&)>> probes_;
  EngineState engine_;
  bool stopped_ = false;
  bool polling_ = false;
};

/// Returns the state in the body of a `/state` answer.
Result<EngineState> ParseEngineState(const std::string& json);

/// Returns the body of an `/order` request.
std::string EncodeEngineOrder(const SideOrder& order);

/// Returns the load in the body of a `/load` answer received at `now`.
Result<EngineLoad> ParseEngineLoad(const std::string& json, TimePoint now);

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_TARGET_MONITOR_H_
