#ifndef INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_
#define INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_

#include <functional>
#include <map>
#include <set>

#include "core/request/quarantine.h"
#include "envelope.pb.h"
#include "wire/links.h"

namespace indigolead {

/// Keeps suspects apart at this target and passes entries' notices on to the
/// other entries. Lives on the side's dispatch thread, before the attempts.
class SuspectService {
 public:
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Returns true until the attempt has ended.
    std::function<bool(const AttemptId&)> is_running;
  };

  SuspectService(Hooks hooks, Clock clock);

  /// Returns true if the message needs no other service: a notice about a
  /// suspect, or a start that was refused here.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

 private:
  bool RefuseStart(LinkId link, const wire::StartAttempt& start);
  bool TakeNotice(LinkId link, const wire::Envelope& message);

  struct Known {
    wire::QuarantineNotice notice;
    TimePoint since;
  };

  void Remember(const wire::QuarantineNotice& notice, TimePoint now);

  Hooks hooks_;
  Clock clock_;
  SuspectGate gate_;
  /// Newest notice about each request, for entries that connect later.
  std::map<Fingerprint, Known> known_;
  std::set<LinkId> entries_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_SUSPECT_SERVICE_H_
