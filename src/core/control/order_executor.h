#ifndef INDIGOLEAD_CORE_CONTROL_ORDER_EXECUTOR_H_
#define INDIGOLEAD_CORE_CONTROL_ORDER_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/control/orders.h"

namespace indigolead {

/// Role, model and adapters of an engine, as the engine names them.
struct EngineSetup {
  std::string role;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  ///< In any order.

  friend bool operator==(const EngineSetup&, const EngineSetup&) = default;
};

/// Returns true if two setups are equal, regardless of the order of adapters.
bool SameSetup(const EngineSetup& a, const EngineSetup& b);

/// Order for one target, as received by the target's side.
struct SideOrder {
  FencingNumber fencing_number = 0;
  std::uint64_t generation = 0;
  EngineSetup setup;
  bool out_of_service = false;  ///< The target must take no work.

  friend bool operator==(const SideOrder&, const SideOrder&) = default;
};

/// Observed state of an engine.
struct EngineReading {
  std::string boot_id;
  EngineSetup setup;
  std::uint64_t generation = 0;
  bool changing = false;
  bool reachable = true;
  TimePoint asked_at;  ///< Time of the request, before the answer.

  friend bool operator==(const EngineReading&, const EngineReading&) = default;
};

/// Outcome of writing an order to an engine.
enum class OrderWriteResult {
  kTaken,       ///< The engine accepted it and starts the change.
  kStale,       ///< The engine knows a newer fencing number.
  kBusy,        ///< The engine is already changing.
  kRejected,    ///< The engine refused the order.
  kNotWritten,  ///< No byte was written; no effect.
  kUnknown,     ///< The connection broke after the first byte.
};

/// Applies orders to one engine, one at a time.
///
/// Not every engine rejects an old fencing number, and no engine can be asked
/// to wait for its requests to end. All orders reach the engine through its
/// side, so the side does both. It confirms the number with the store before it
/// drains the target and again right before it writes, and it lets the running
/// attempts end. It writes the next order only when the engine's state shows
/// the outcome of the last one. A process that was paused in between finds its
/// confirmation expired, because the age counts from before the read was sent.
class OrderExecutor {
 public:
  struct Options {
    /// Maximum age of a confirmed fencing number for a write.
    Duration authority_window = std::chrono::seconds(1);
    Duration confirm_retry = std::chrono::seconds(2);
    Duration confirm_timeout = std::chrono::seconds(5);
    Duration drain_timeout = std::chrono::minutes(10);
    Duration read_interval = std::chrono::milliseconds(200);
    Duration change_timeout = std::chrono::minutes(5);
    /// Time within which an order may still reach the engine after its write
    /// broke off.
    Duration settle_time = std::chrono::seconds(5);
    /// Delay before a write is repeated.
    Duration write_pause = std::chrono::milliseconds(500);
    /// Maximum writes of one order, counting repeats after crashes and broken
    /// writes.
    int max_writes = 3;
  };

  struct Hooks {
    std::function<void(const OrderReport&)> report;
    /// Lets the target's side accept new attempts or, if `open` is false,
    /// reject them as not run.
    std::function<void(bool open)> set_gate;
    /// Reads the newest fencing number from the store; answered by
    /// `OnConfirmed`.
    std::function<void(std::uint64_t ticket)> confirm;
    /// Writes to the engine; answered by `OnWritten`. The first byte must be
    /// sent before `write_by`, or nothing is sent.
    std::function<void(std::uint64_t ticket, const SideOrder&,
                       TimePoint write_by)>
        write;
    /// Requests a read of the engine's state. Every reading is passed to
    /// `OnReading`.
    std::function<void()> read_state;
    /// Returns the number of attempts that have not ended.
    std::function<std::size_t()> running;
  };

  OrderExecutor(std::string target, Options options, Hooks hooks);

  /// Handles the newest fencing number seen from a peer or the store.
  void OnFencingNumber(FencingNumber number, TimePoint now);
  void OnOrder(const SideOrder& order, TimePoint now);
  /// Answers `confirm`; `number` is empty if the store could not be read.
  void OnConfirmed(std::uint64_t ticket, std::optional<FencingNumber> number,
                   TimePoint asked_at, TimePoint now);
  void OnWritten(std::uint64_t ticket, OrderWriteResult result,
                 const std::string& detail, TimePoint now);
  void OnReading(const EngineReading& reading, TimePoint now);
  void Tick(TimePoint now);

  /// Returns the last report, which is sent to an entry that connects.
  const std::optional<OrderReport>& last_report() const { return report_; }
  FencingNumber newest_number() const { return newest_number_; }
  /// Returns the generation of the order in force, or 0 if there is none.
  std::uint64_t generation_in_force() const;
  bool gate_open() const { return gate_open_; }

 private:
  enum class Step {
    kIdle,
    kConfirm,  ///< Before draining.
    kDrain,
    kReconfirm,  ///< Right before the write.
    kWrite,
    kWatch,         ///< The engine is changing.
    kResolveWrite,  ///< The write broke off; it may have arrived.
  };

  bool WriteMayBeInProgress() const;
  void StartOrder(const SideOrder& order, TimePoint now);
  void StartNextOrder(TimePoint now);
  void RequestConfirmation(Step step, TimePoint now);
  void ContinueAfterConfirmation(TimePoint now);
  void StartDrain(TimePoint now);
  void TickDrain(TimePoint now);
  void Write(TimePoint now);
  void EvaluateReading(const EngineReading& reading, TimePoint now);
  void RetryWrite(const std::string& why, TimePoint now);
  void Postpone(TimePoint now);
  void Finish(OrderPhase phase, const std::string& detail, TimePoint now);
  void EnterStep(Step step, TimePoint now);
  void Report(OrderPhase phase, const std::string& detail);
  void SetGate(bool open);

  std::string target_;
  Options options_;
  Hooks hooks_;
  Step step_ = Step::kIdle;
  TimePoint step_since_;
  std::optional<SideOrder> current_order_;
  std::optional<SideOrder> next_order_;  ///< Starts when `current_order_` ends.
  bool number_known_ = false;
  FencingNumber newest_number_ = 0;
  TimePoint confirmed_at_;
  std::uint64_t ticket_ = 0;
  std::optional<TimePoint> confirm_sent_at_;
  TimePoint confirm_not_before_;
  int write_count_ = 0;
  TimePoint written_at_;
  TimePoint write_not_before_;
  std::string boot_id_at_write_;
  std::optional<EngineReading> reading_;
  TimePoint next_read_;
  bool gate_open_ = true;
  std::optional<OrderReport> report_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_ORDER_EXECUTOR_H_
