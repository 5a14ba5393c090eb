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

/// A further service on the entry's dispatch thread. Any function may be unset.
struct EntryService {
  /// Sees every message; returns true if it was for this service alone.
  std::function<bool(LinkId, const wire::Envelope&)> handle_message;
  std::function<void(LinkId, const wire::Hello&)> on_link_up;
  std::function<void(LinkId)> on_link_down;
  std::function<void(TimePoint)> tick;
};

/// The entry's dispatch thread: joins links, request flow and configuration.
///
/// Every method is called on the thread of the io_context given.
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
    /// Called every tick, for what waits to be sent to other threads.
    std::function<void()> on_tick;
    /// A revision is in force at this entry.
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

  /// Takes a revision in as read from the store. Returns what it was.
  RevisionOutcome OfferRevision(const std::string& json);

  /// Carries out what the request flow has decided. Call after calling the
  /// flow from outside.
  void Flush();

  /// Tells the peers that this process leaves; they may stay connected.
  void SetLeaving() { leaving_ = true; }
  /// Says goodbye and closes the links.
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
  void Act(RequestAction& action);
  void Send(const SendStart& action);
  void Send(const SendCredit& action);
  void Send(const SendCancel& action);
  void Send(const SendResume& action);
  RevisionExchange::Hooks RevisionHooks();
  void Apply(const Revision& revision);
  void Tick();
  void CountFrames();

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Links links_;
  MembershipService membership_;
  RequestFlow flow_;
  RevisionExchange revisions_;
  /// In force; one element for each deployment, which the exchange bounds.
  std::map<std::string, Revision> in_force_;
  std::vector<EntryService> services_;
  boost::asio::steady_timer tick_timer_;
  bool leaving_ = false;
  bool stopped_ = false;
  std::vector<RequestAction> actions_;
  wire::Envelope outgoing_;  ///< Reused, so that its memory is.
  RequestFlowCounts counted_;
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
