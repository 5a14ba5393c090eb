#ifndef INDIGOLEAD_ENTRY_QUARANTINE_SERVICE_H_
#define INDIGOLEAD_ENTRY_QUARANTINE_SERVICE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/request/quarantine.h"
#include "core/request/request_flow.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "wire/links.h"

namespace indigolead {

/// Joins the quarantine to the request flow and to the other entries. Lives on
/// the entry's dispatch thread.
///
/// Entries reach each other through sides, to which all of them connect: a
/// notice goes to every side, which keeps suspects apart, and a few of them
/// pass it on.
class QuarantineService {
 public:
  struct Options {
    Quarantine::Options quarantine;
    /// Sides asked to pass a notice on; more than one, as one may be dying.
    std::size_t relays = 3;
    /// Rest of a suspect whose target has another one in flight.
    Duration apart_rest = std::chrono::seconds(1);
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Returns the limits of a deployment.
    std::function<Quarantine::Policy(const std::string& deployment)> policy;
    /// A quarantine began here, or was lifted here: keep it in the store.
    std::function<void(const SuspicionNotice&)> keep;
  };

  /// `metrics` must outlive this object.
  QuarantineService(Options options, Hooks hooks, Clock clock, EventLog log,
                    MetricsRegistry* metrics);

  /// @name Hooks of `RequestFlow`.
  /// @{
  std::optional<Refusal> Check(const CallerRequest& request, TimePoint now);
  /// Returns where a suspect or a copy must go, or nothing if the request may
  /// be routed as any other.
  std::optional<RouteResult> Route(const CallerRequest& request,
                                   const std::vector<Candidate>& candidates,
                                   TimePoint now);
  void OnSent(const CallerRequest& request, const AttemptId& attempt,
              const SideInfo& side, TimePoint now);
  void OnAttemptEnd(const CallerRequest& request, const AttemptId& attempt,
                    AttemptOutcome outcome, TimePoint now);
  void ReportKill(const CallerRequest& request, const std::string& instance,
                  TimePoint now);
  /// @}

  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

  /// Takes in a quarantine kept in the store, or lifted there.
  void OnKept(const SuspicionNotice& notice, TimePoint now);
  /// Ends a quarantine on an operator's word.
  void Lift(Fingerprint fingerprint, TimePoint now);
  std::vector<SuspicionNotice> List(TimePoint now) const {
    return quarantine_.List(now);
  }

 private:
  Quarantine::Subject SubjectOf(const CallerRequest& request) const;
  void SendNotices();

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Quarantine quarantine_;
  std::map<LinkId, std::string> sides_;
  Counter& kills_;
  Counter& refused_;
  Gauge& held_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_QUARANTINE_SERVICE_H_
