#ifndef INDIGOLEAD_ENTRY_ORDER_FORWARDER_H_
#define INDIGOLEAD_ENTRY_ORDER_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/control/orders.h"
#include "entry/control_state.h"
#include "observe/event_log.h"
#include "wire/links.h"

namespace indigolead {

/// Forwards orders and fencing numbers from the store to the sides that this
/// entry has links to.
///
/// Orders reach sides only this way, whichever entry holds the lease. Two rules
/// keep outdated orders from a side:
/// - an order is forwarded only if it was written while its fencing number was
///   in force, according to the lease seen in the same watch;
/// - a side that has just connected may know no fencing number yet, so it is
///   sent a number and an order only after a read of the store that began
///   *after* it connected. An entry that is cut off from the store, or whose
///   watch is silent, sends it nothing, and the side takes no orders.
///
/// Messages may be lost, so an order is repeated until the side answers it.
class OrderForwarder {
 public:
  struct Options {
    Duration repeat_interval = std::chrono::seconds(2);
    Duration read_interval = std::chrono::seconds(1);
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Lists the lease and the orders in the store; the result is passed to
    /// `OnStateRead`.
    std::function<void()> read_state;
  };

  OrderForwarder(Options options, Hooks hooks, EventLog log);

  /// Registers a side that has connected.
  void OnSideUp(LinkId link, const std::string& instance, TimePoint now);
  void OnLinkDown(LinkId link);

  /// Processes the state of the lease and the orders that the watch reported
  /// for a newer version.
  void OnState(const ControlState& state, TimePoint now);

  /// Takes the result of a listing requested through `read_state`.
  void OnStateRead(const Result<ControlState>& answer, TimePoint now);

  /// Takes a side's report on an order.
  void OnReport(LinkId link, const OrderReport& report);

  /// Repeats unanswered orders and reads.
  void Tick(TimePoint now);

 private:
  struct Side {
    std::string instance;
    TimePoint up_at;
    /// Whether a read of the store that began after the side connected has
    /// returned.
    bool read_confirmed = false;
    std::optional<OrderReport> report;
    TimePoint sent_at;
    FencingNumber sent_number = 0;
    std::uint64_t sent_generation = 0;
    FencingNumber notified_number = 0;
  };

  void Merge(const ControlState& state);
  void Update(LinkId link, Side* side, TimePoint now);
  void SendOrder(LinkId link, Side* side, const TargetOrder& order,
                 TimePoint now);
  static bool IsAnswered(const Side& side, const TargetOrder& order);

  Options options_;
  Hooks hooks_;
  EventLog log_;
  ControlState state_;
  std::map<LinkId, Side> sides_;
  std::optional<TimePoint> read_sent_at_;
  std::optional<TimePoint> last_read_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ORDER_FORWARDER_H_
