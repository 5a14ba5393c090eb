#ifndef INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_
#define INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_

#include <functional>
#include <map>
#include <set>

#include "core/request/quarantine.h"
#include "envelope.pb.h"
#include "wire/links.h"

namespace indigolead {

/// Prevents several suspect requests from running at this target at once, and
/// relays entries' quarantine notices to the other entries. A request is a
/// suspect if it was in flight when a target crashed (see `Quarantine`). Runs
/// on the side's dispatch thread and sees messages before the attempt service.
class SuspectService {
 public:
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Returns true while the attempt has not ended.
    std::function<bool(const AttemptId&)> is_running;
  };

  SuspectService(Hooks hooks, Clock clock);

  /// Returns true if no other service needs the message: a notice that
  /// neither begins nor ends a quarantine, or a start that was refused here.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

 private:
  bool RefuseStart(LinkId link, const wire::StartAttempt& start);
  bool HandleNotice(LinkId link, const wire::Envelope& message);

  struct StoredNotice {
    wire::QuarantineNotice notice;
    TimePoint received_at;
  };

  void StoreNotice(const wire::QuarantineNotice& notice, TimePoint now);

  Hooks hooks_;
  Clock clock_;
  SuspectGate gate_;
  /// Newest notice about each fingerprint, sent to entries that connect later.
  std::map<Fingerprint, StoredNotice> notices_;
  std::set<LinkId> entries_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_
