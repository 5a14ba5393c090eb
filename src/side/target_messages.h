#ifndef INDIGOLEAD_SIDE_TARGET_MESSAGES_H_
#define INDIGOLEAD_SIDE_TARGET_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/control/order_executor.h"
#include "core/request/attempt_types.h"

namespace indigolead {

/// @name Commands from the dispatch thread to the target's thread.
/// @{
struct StartCallCommand {
  AttemptId id;
  AttemptRequest request;
  TimePoint start_by;
  TimePoint finish_by;
};
struct CancelCallCommand {
  AttemptId id;
};
struct PauseCallCommand {
  AttemptId id;
  bool pause = false;
};
/// Writes an order. If its first byte cannot be written before `write_by`, the
/// order is not written at all.
struct WriteOrderCommand {
  std::uint64_t ticket = 0;
  SideOrder order;
  TimePoint write_by;
};
/// Polls the target's state now instead of at the next interval.
struct ReadStateCommand {};
using TargetCommand =
    std::variant<std::monostate, StartCallCommand, CancelCallCommand,
                 PauseCallCommand, WriteOrderCommand, ReadStateCommand>;
/// @}

/// Whether the target can serve, as last observed.
enum class TargetCondition { kUnknown, kUp, kDown, kChanging };

/// Load figures of an engine and the time at which they were measured.
struct EngineLoad {
  TimePoint measured_at;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t kv_used_bytes = 0;
  std::uint64_t kv_capacity_bytes = 0;
  std::uint32_t slots = 0;
  std::uint64_t prefill_tokens_per_s = 0;
  std::uint64_t decode_tokens_per_s = 0;

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// State that an engine reports about itself.
struct EngineState {
  std::string boot_id;
  std::string role;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint64_t fencing_number = 0;
  std::uint64_t generation = 0;
  bool changing = false;
  bool checks_fencing = true;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/// @name Events from the target's thread to the dispatch thread.
/// @{
struct CallHeadEvent {
  AttemptId id;
  int status = 0;
  HeaderList headers;
};
struct CallBodyEvent {
  AttemptId id;
  std::string data;
};
struct CallEndEvent {
  AttemptId id;
  CallOutcome outcome = CallOutcome::kComplete;
  std::string detail;
};
struct TargetConditionEvent {
  TargetCondition state = TargetCondition::kUnknown;
  EngineState engine;  ///< Last state read; engines only.
  TimePoint asked_at;  ///< When the request for the state was sent.
};
struct OrderWrittenEvent {
  std::uint64_t ticket = 0;
  OrderWriteResult result = OrderWriteResult::kUnknown;
  std::string detail;
};
struct EngineLoadEvent {
  EngineLoad load;
};
/// Changes of the engine's prefix cache. `gap_before` is the number of events
/// lost before this one.
struct CacheChangedEvent {
  std::uint64_t first_sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
  std::uint64_t gap_before = 0;
};
using TargetEvent =
    std::variant<std::monostate, CallHeadEvent, CallBodyEvent, CallEndEvent,
                 TargetConditionEvent, EngineLoadEvent, CacheChangedEvent,
                 OrderWrittenEvent>;
/// @}

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_TARGET_MESSAGES_H_
