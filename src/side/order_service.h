#ifndef INDIGOLEAD_SIDE_ORDER_SERVICE_H_
#define INDIGOLEAD_SIDE_ORDER_SERVICE_H_

#include <functional>
#include <set>
#include <string>

#include "core/base/time.h"
#include "core/control/order_executor.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "side/target_messages.h"
#include "wire/links.h"

namespace indigolead {

/// Connects the order executor to the links, the store and the target's thread.
/// Runs on the dispatch thread.
class OrderService {
 public:
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    std::function<bool(TargetCommand&&)> command;
    std::function<std::size_t()> running;
    /// Reads the newest fencing number from the store.
    std::function<void(std::function<void(std::optional<FencingNumber>)>)>
        read_fencing_number;
  };

  OrderService(std::string instance, OrderExecutor::Options options,
               Hooks hooks, Clock clock, EventLog log);

  /// Returns true if the message was for this service.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

  void OnTargetCondition(const TargetConditionEvent& event);
  void OnWritten(const OrderWrittenEvent& event);

  const OrderExecutor& executor() const { return executor_; }
  bool gate_open() const { return executor_.gate_open(); }

 private:
  OrderExecutor::Hooks MakeExecutorHooks();
  void Report(const OrderReport& report);
  void SendReport(LinkId link, const OrderReport& report);
  void Confirm(std::uint64_t ticket);
  void Write(std::uint64_t ticket, const SideOrder& order, TimePoint write_by);

  std::string instance_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::set<LinkId> links_;
  OrderExecutor executor_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_ORDER_SERVICE_H_
