#ifndef INDIGOLEAD_ENTRY_DISPATCHER_H_
#define INDIGOLEAD_ENTRY_DISPATCHER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/config/settings.h"
#include "core/request/request_flow.h"
#include "entry/messages.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "wire/links.h"
#include "wire/membership_service.h"
#include "wire/revision_exchange.h"

namespace indigolead {

/// Callbacks of a service on the entry's dispatch thread. Each may be unset.
struct EntryService {
  /// Handles a message; returns true if no other service may see it.
  std::function<bool(LinkId, const wire::Envelope&)> handle_message;
  std::function<void(LinkId, const wire::Hello&)> on_link_up;
  std::function<void(LinkId)> on_link_down;
  std::function<void(TimePoint)> tick;
};

/// Connects the links, the request flow and the configuration of an entry.
///
/// Every method must be called on the thread of the io_context passed in.
class Dispatcher {
 public:
  struct Options {
    InstanceSettings instance;
    Incarnation incarnation;
    Links::Options links;
    Membership::Options membership;
    RequestFlowOptions flow;
    RevisionTable::Options revisions;
  };
  struct Hooks {
    std::function<void(ToCallers&&)> to_callers;
    /// Called every tick, to send queued messages to other threads.
    std::function<void()> on_tick;
    /// Called when a revision takes effect at this entry.
    std::function<void(const Revision&)> on_revision;
    RequestFlowHooks flow;
  };

  /// `io` and `metrics` must outlive this object.
  Dispatcher(boost::asio::io_context* io, Options options, Hooks hooks,
             Clock clock, const IdSource& ids, EventLog log,
             MetricsRegistry* metrics);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Adds a service; call before `Start`.
  void AddService(EntryService service);

  Status Start();
  std::string bound_address() const { return links_.bound_address(); }

  void OnMessage(ToDispatch&& message);
  void OnMessage(PlatformEvent&& event);

  /// Offers a revision read from the store and returns the outcome.
  RevisionOutcome OfferRevision(const std::string& json);

  /// Executes the pending actions of the request flow. Must follow every direct
  /// call to `flow()`.
  void Flush();

  /// Marks this process as leaving in hellos and heartbeats. Peers may stay
  /// connected.
  void SetLeaving() { leaving_ = true; }
  /// Sends a goodbye with `reason` to the peers and closes the links.
  void Stop(const std::string& reason);

  RequestFlow& flow() { return flow_; }
  Links& links() { return links_; }
  const MembershipService& membership() const { return membership_; }
  RevisionExchange& revisions() { return revisions_; }
  const Incarnation& incarnation() const { return options_.incarnation; }

 private:
  Links::Hooks LinkHooks();
  MembershipService::Hooks MembershipHooks();
  wire::Hello MakeHello() const;
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link, const Error& error);
  void OnEnvelope(LinkId link, wire::Envelope&& message);
  void OnHeartbeat(LinkId link, const wire::Heartbeat& heartbeat);
  void OnInstances(const InstanceList& list);
  void ExecuteAction(RequestAction& action);
  void Send(const SendStart& action);
  void Send(const SendCredit& action);
  void Send(const SendCancel& action);
  void Send(const SendResume& action);
  RevisionExchange::Hooks RevisionHooks();
  void Apply(const Revision& revision);
  void Tick();
  void UpdateMetrics();

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Links links_;
  MembershipService membership_;
  RequestFlow flow_;
  RevisionExchange revisions_;
  /// Revisions in force, by deployment. The exchange bounds their number.
  std::map<std::string, Revision> revisions_in_force_;
  std::vector<EntryService> services_;
  boost::asio::steady_timer tick_timer_;
  bool leaving_ = false;
  bool stopped_ = false;
  std::vector<RequestAction> actions_;
  wire::Envelope outgoing_;  ///< Reused to avoid allocations.
  RequestFlowCounts exported_counts_;
  Counter& forwards_;
  Counter& retries_;
  Counter& resumes_;
  Counter& foreign_frames_;
  Counter& duplicate_frames_;
  Counter& gap_frames_;
  Counter& corrupt_answers_;
  Counter& unknown_outcomes_;
  Counter& not_run_refusals_;
  Gauge& sides_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_DISPATCHER_H_
