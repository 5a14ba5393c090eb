#ifndef INDIGOLEAD_SIDE_ATTEMPT_SERVICE_H_
#define INDIGOLEAD_SIDE_ATTEMPT_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/base/time.h"
#include "core/request/attempt_table.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "side/target_messages.h"
#include "wire/links.h"

namespace indigolead {

/// Connects the attempt table to the links and to the target's thread. Runs on
/// the dispatch thread.
class AttemptService {
 public:
  struct Options {
    AttemptTable::Options table;
    std::size_t max_quarantines = 4096;
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Passes a command to the target's thread; returns false if its mailbox
    /// is full.
    std::function<bool(TargetCommand&&)> command;
    /// Returns true while no new attempt may start because the target is being
    /// changed.
    std::function<bool()> closed_for_change;
    /// Adds the figures of other services to a load report.
    std::function<void(wire::LoadReport*)> fill_load;
  };

  AttemptService(Options options, Hooks hooks, Clock clock, EventLog log,
                 MetricsRegistry* metrics);

  /// Returns true if the message was for this service.
  bool HandleMessage(LinkId link, wire::Envelope&& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

  /// Handles an event from the target's thread.
  void OnTargetEvent(TargetEvent&& event);

  /// Fills `load` with the target's current load.
  void FillLoadReport(wire::LoadReport* load) const;

  void SetLeaving(bool leaving) { table_.SetLeaving(leaving); }
  bool Idle() const { return table_.Idle() && commands_.empty(); }
  std::size_t running() const { return table_.running(); }
  TargetCondition target_condition() const { return target_condition_; }
  bool IsRunning(const AttemptId& id) const { return table_.IsRunning(id); }
  const EngineState& engine() const { return engine_; }

 private:
  struct Quarantine {
    TimePoint until;
  };

  AttemptTable::Hooks MakeTableHooks();
  RefusalReason Check(const AttemptStart& start) const;
  bool SendFrame(LinkNumber link, const AttemptId& id,
                 const AttemptFrame& frame);
  void SendCommand(TargetCommand command);
  void FlushCommands();
  void OnTargetCondition(const TargetConditionEvent& event);
  void OnQuarantine(const wire::QuarantineNotice& notice);
  void HandleStart(LinkId link, wire::StartAttempt&& message);
  void HandleBodyChunk(LinkId link, const wire::BodyChunk& message);
  void HandleCredit(const wire::Credit& message);
  void HandleCancel(LinkId link, const wire::CancelAttempt& message);
  void HandleResume(LinkId link, const wire::ResumeAttempt& message);
  void LogMalformed(const char* kind);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  AttemptTable table_;
  TargetCondition target_condition_ = TargetCondition::kUnknown;
  EngineState engine_;
  std::optional<EngineLoad> load_;
  std::unordered_map<std::uint64_t, Quarantine> quarantines_;
  /// Commands waiting for room in the mailbox; at most two for each attempt.
  std::deque<TargetCommand> commands_;
  Gauge& running_gauge_;
  Gauge& buffered_gauge_;
  Counter& started_counter_;
  Counter& refused_counter_;
  Counter& foreign_counter_;
  Counter& resumed_counter_;
  AttemptTable::Counts exported_counts_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_ATTEMPT_SERVICE_H_
