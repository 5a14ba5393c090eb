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

/// Passes orders and fencing numbers from the store on to the sides that this
/// entry has links to.
///
/// Orders reach sides only this way, whoever holds the lease. Two things keep
/// an old order from a side:
/// - an order is passed on only if it was written while its number was in
///   force, which the lease seen in the same watch tells;
/// - a side that has just connected may know nothing, so it is told a number
///   and an order only after the store was read *after* it connected. An entry
///   that is cut off from the store, or whose watch is silent, tells it
///   nothing, and the side takes no orders.
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
    /// Lists lease and orders in the store; answered with `OnStateRead`.
    std::function<void()> read_state;
  };

  OrderForwarder(Options options, Hooks hooks, EventLog log);

  /// A side connected.
  void OnSideUp(LinkId link, const std::string& instance, TimePoint now);
  void OnLinkDown(LinkId link);

  /// The watch showed the lease and orders as of a newer version.
  void OnState(const ControlState& state, TimePoint now);

  /// The listing asked for by `read_state` was answered.
  void OnStateRead(const Result<ControlState>& answer, TimePoint now);

  /// A side reported on an order.
  void OnReport(LinkId link, const OrderReport& report);

  /// Repeats what was not answered.
  void Tick(TimePoint now);

 private:
  struct Side {
    std::string instance;
    TimePoint up_at;
    bool trusted = false;  ///< The store was read after the side connected.
    std::optional<OrderReport> report;
    TimePoint sent_at;
    FencingNumber sent_number = 0;
    std::uint64_t sent_generation = 0;
    FencingNumber notified = 0;
  };

  void Merge(const ControlState& state);
  void Update(LinkId link, Side* side, TimePoint now);
  void SendOrder(LinkId link, Side* side, const TargetOrder& order,
                 TimePoint now);
  static bool Answered(const Side& side, const TargetOrder& order);

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
