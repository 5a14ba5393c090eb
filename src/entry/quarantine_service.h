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

/// Connects the quarantine to the request flow and to the other entries. Runs
/// on the entry's dispatch thread.
///
/// Entries reach each other through the sides, to which all of them connect. A
/// notice goes to every side of the deployment, since the sides run suspects
/// separately; a few of them forward it to the other entries. `CrashService` is
/// for entries that call their targets directly.
class QuarantineService {
 public:
  struct Options {
    Quarantine::Options quarantine;
    /// Number of sides asked to forward a notice. More than one, since a side
    /// may be crashing.
    std::size_t relay_count = 3;
    /// Delay before a suspect is retried if its attempt was not started, since
    /// the target already has another suspect in flight.
    Duration suspect_retry_delay = std::chrono::seconds(1);
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Returns the quarantine limits of a deployment.
    std::function<Quarantine::Policy(const std::string& deployment)> policy;
    /// Persists a quarantine that began or was lifted at this entry.
    std::function<void(const SuspicionNotice&)> persist;
  };

  /// `metrics` must outlive this object.
  QuarantineService(Options options, Hooks hooks, Clock clock, EventLog log,
                    MetricsRegistry* metrics);

  /// @name Hooks of `RequestFlow`.
  /// @{
  std::optional<Refusal> Check(const CallerRequest& request, TimePoint now);
  /// Returns the route of a suspect or of a copy of one, or nothing if the
  /// request may be routed normally.
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

  /// Applies a quarantine read from the store.
  void OnQuarantineRead(const SuspicionNotice& notice, TimePoint now);
  /// Ends a quarantine, for example at an operator's request.
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
  Gauge& record_count_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_QUARANTINE_SERVICE_H_
