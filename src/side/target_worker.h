#ifndef INDIGOLEAD_SIDE_TARGET_WORKER_H_
#define INDIGOLEAD_SIDE_TARGET_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "observe/event_log.h"
#include "side/target_messages.h"
#include "side/target_monitor.h"
#include "target/target_client.h"

namespace indigolead {

/// Executes calls to the target, on the target's thread.
///
/// It makes the last check before a request can take effect: just before the
/// first byte it reads the clock again, since the process may have been paused
/// after the attempt was accepted. If a call to an engine breaks after that
/// byte, it ends only once a probe has determined whether the engine's process
/// crashed.
class TargetWorker {
 public:
  struct Options {
    bool is_engine = true;
    Duration poll_interval = std::chrono::milliseconds(500);
    Duration order_deadline = std::chrono::seconds(5);
    Duration probe_deadline = std::chrono::milliseconds(500);
    Duration probe_retry_interval = std::chrono::milliseconds(20);
    int max_probes = 25;
    Duration emit_retry_interval = std::chrono::milliseconds(1);
  };

  /// `emit` returns false if it cannot accept the event yet. The event is then
  /// retried, and no answers are read until it is accepted. `io` and `client`
  /// must outlive this object.
  TargetWorker(boost::asio::io_context* io, Options options,
               TargetClient* client, Clock clock,
               std::function<bool(TargetEvent&&)> emit, EventLog log);
  ~TargetWorker();

  /// Starts to monitor the target.
  void Start();
  /// Drops all calls and stops monitoring.
  void Stop();

  void Handle(TargetCommand&& command);

  std::size_t calls() const { return calls_.size(); }

 private:
  struct RunningCall {
    std::unique_ptr<TargetClient::Call> call;
    bool written = false;
    bool too_late = false;
    bool paused_by_caller = false;
    std::string boot_id;  ///< Of the engine process that got the request.
    std::string stream_id;
  };
  struct BrokenCall {
    AttemptId id;
    std::string boot_id;
    std::string detail;
  };

  void StartCall(StartCallCommand command);
  void WriteOrder(const WriteOrderCommand& command);
  void CancelCall(const AttemptId& id);
  void PauseCall(const PauseCallCommand& command);
  bool BeforeWrite(const AttemptId& id, TimePoint start_by);
  void OnBodyEnd(const AttemptId& id, const AnswerBodyEnd& end);
  void OnEnd(const AttemptId& id, const Status& status);
  void OnCallBroken(BrokenCall broken);
  void Probe(int tries_left);
  void ResolveBrokenCalls(const Result<EngineState>& probe);
  void EndCall(const AttemptId& id, CallOutcome outcome, std::string detail);
  void DeleteEngineStream(const std::string& stream_id);
  void Emit(TargetEvent event);
  void FlushOutbox();

  Options options_;
  TargetClient* client_;
  Clock clock_;
  std::function<bool(TargetEvent&&)> emit_;
  EventLog log_;
  TargetMonitor monitor_;
  std::unordered_map<AttemptId, RunningCall> calls_;
  std::vector<BrokenCall> broken_calls_;
  bool probing_ = false;
  boost::asio::steady_timer probe_timer_;
  /// Events waiting for room in the mailbox. Bounded: calls do not read while
  /// an event waits, so each adds at most the data of its read in progress.
  std::deque<TargetEvent> outbox_;
  boost::asio::steady_timer outbox_timer_;
  std::unordered_map<std::uint64_t, std::unique_ptr<TargetClient::Call>>
      stream_deletes_;
  std::uint64_t next_stream_delete_ = 0;
  std::unique_ptr<TargetClient::Call> order_call_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_TARGET_WORKER_H_
