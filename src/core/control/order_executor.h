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

/// What an engine runs, in the engine's own words.
struct EngineSetup {
  std::string role;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  ///< In any order.

  friend bool operator==(const EngineSetup&, const EngineSetup&) = default;
};

/// Returns true if two setups are the same, whatever the adapters' order.
bool SameSetup(const EngineSetup& a, const EngineSetup& b);

/// Order for one target, as its side receives it.
struct SideOrder {
  FencingNumber fencing_number = 0;
  std::uint64_t generation = 0;
  EngineSetup setup;
  bool out_of_service = false;  ///< The target is to take no work.

  friend bool operator==(const SideOrder&, const SideOrder&) = default;
};

/// One reading of an engine's state.
struct EngineReading {
  std::string boot_id;
  EngineSetup setup;
  std::uint64_t generation = 0;
  bool changing = false;
  bool reachable = true;
  TimePoint asked_at;  ///< When the engine was asked, before its answer.

  friend bool operator==(const EngineReading&, const EngineReading&) = default;
};

/// How the write of an order to an engine ended.
enum class OrderWriteResult {
  kTaken,       ///< The engine took it and changes now.
  kStale,       ///< The engine knows a newer fencing number.
  kBusy,        ///< A change is under way at the engine.
  kRejected,    ///< The engine will not do it.
  kNotWritten,  ///< No byte was written; no effect.
  kUnknown,     ///< Broke after the first byte.
};

/// Carries out orders at one engine, one at a time.
///
/// Not every engine refuses an old fencing number, and none can be asked to
/// wait for its requests to end. So the side, through which alone orders reach
/// the engine, does both: it confirms the number with the store before it
/// drains and again right before it writes, lets the running attempts end, and
/// writes the next order only when the engine's own state shows what became of
/// the last. A process that was paused in between finds its confirmation too
/// old, because that counts from before the read was sent.
class OrderExecutor {
 public:
  struct Options {
    /// Age up to which a confirmed number allows a write.
    Duration authority_window = std::chrono::seconds(1);
    Duration confirm_retry = std::chrono::seconds(2);
    Duration confirm_timeout = std::chrono::seconds(5);
    Duration drain_timeout = std::chrono::minutes(10);
    Duration read_interval = std::chrono::milliseconds(200);
    Duration change_timeout = std::chrono::minutes(5);
    /// Time in which an order whose write broke may still reach the engine.
    Duration settle_time = std::chrono::seconds(5);
    /// Pause before a write is repeated.
    Duration write_pause = std::chrono::milliseconds(500);
    int max_writes = 3;  ///< Of one order, after crashes and broken writes.
  };

  struct Hooks {
    std::function<void(const OrderReport&)> report;
    /// Lets new attempts in, or refuses them as not run.
    std::function<void(bool open)> set_gate;
    /// Reads the newest number from the store; answered by `OnConfirmed`.
    std::function<void(std::uint64_t ticket)> confirm;
    /// Writes to the engine, the first byte before `write_by` or never;
    /// answered by `OnWritten`.
    std::function<void(std::uint64_t ticket, const SideOrder&,
                       TimePoint write_by)>
        write;
    /// Reads the engine's state soon; every reading goes to `OnReading`.
    std::function<void()> read_state;
    /// Returns the attempts that have not ended.
    std::function<std::size_t()> running;
  };

  OrderExecutor(std::string target, Options options, Hooks hooks);

  /// The newest number that a peer or the store has shown.
  void OnNumber(FencingNumber number, TimePoint now);
  void OnOrder(const SideOrder& order, TimePoint now);
  /// Answers `confirm`; nothing if the store could not be read.
  void OnConfirmed(std::uint64_t ticket, std::optional<FencingNumber> number,
                   TimePoint asked_at, TimePoint now);
  void OnWritten(std::uint64_t ticket, OrderWriteResult result,
                 const std::string& detail, TimePoint now);
  void OnReading(const EngineReading& reading, TimePoint now);
  void Tick(TimePoint now);

  /// Returns the last report, to be told to an entry that connects.
  const std::optional<OrderReport>& last_report() const { return report_; }
  FencingNumber newest_number() const { return newest_; }
  /// Returns the generation of the order in force; 0 if none is.
  std::uint64_t generation_in_force() const;
  bool gate_open() const { return gate_open_; }

 private:
  enum class Step {
    kIdle,
    kConfirm,  ///< Before draining.
    kDrain,
    kReconfirm,  ///< Right before the write.
    kWrite,
    kWatch,   ///< The engine changes.
    kSettle,  ///< The write broke: did it arrive?
  };

  bool WriteMayBeUnderWay() const;
  void Begin(const SideOrder& order, TimePoint now);
  void BeginNext(TimePoint now);
  void AskConfirm(Step step, TimePoint now);
  void AfterConfirm(TimePoint now);
  void StartDrain(TimePoint now);
  void TickDrain(TimePoint now);
  void Write(TimePoint now);
  void JudgeReading(const EngineReading& reading, TimePoint now);
  void TryAgain(const std::string& why, TimePoint now);
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
  std::optional<SideOrder> current_;
  std::optional<SideOrder> next_;  ///< Waits for `current_` to end.
  bool number_known_ = false;
  FencingNumber newest_ = 0;
  TimePoint confirmed_at_;
  std::uint64_t ticket_ = 0;
  std::optional<TimePoint> confirm_sent_;
  TimePoint confirm_not_before_;
  int writes_ = 0;
  TimePoint written_at_;
  TimePoint write_not_before_;
  std::string boot_at_write_;
  std::optional<EngineReading> reading_;
  TimePoint next_read_;
  bool gate_open_ = true;
  std::optional<OrderReport> report_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_ORDER_EXECUTOR_H_
