#ifndef INDIGOLEAD_WIRE_MEMBERSHIP_SERVICE_H_
#define INDIGOLEAD_WIRE_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <set>
#include <string>

#include "core/config/settings.h"
#include "core/membership/membership.h"
#include "observe/event_log.h"
#include "store/object_store.h"
#include "wire/links.h"

namespace indigolead {

/// Keeps a process connected to the peers that its membership plan names.
///
/// Entries read the platform's instance list and forward its list of entries to
/// their sides: thousands of sides that read it themselves would exceed the
/// platform's call rate. Runs on the dispatch thread, like the links.
class MembershipService {
 public:
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    std::function<void(const std::string& address)> connect;
    std::function<void(const std::string& address)> disconnect;
    /// Returns true if no work depends on the connection to `address`.
    std::function<bool(const std::string& address)> may_disconnect;
  };

  MembershipService(Membership::Options options, Hooks hooks, Clock clock,
                    EventLog log);

  /// Returns true if no other service needs the message.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  /// Applies a list read from the platform, unless it is no newer than the
  /// current one.
  void OnInstances(const InstanceList& list);
  void Tick(TimePoint now);

  /// Returns the state of `instance` as seen by this process.
  MemberState StateOf(const std::string& instance) const {
    return membership_.StateOf(instance);
  }

 private:
  void ApplyList(std::uint64_t version, std::vector<ListedInstance> instances);
  void SendNotice(LinkId link);
  void Execute(const std::vector<MembershipAction>& actions);

  MemberKind kind_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Membership membership_;
  TimePoint last_tick_;
  std::uint64_t version_ = 0;
  wire::Envelope notice_;
  std::set<LinkId> sides_;
};

/// Returns the membership options of a process with these settings.
Membership::Options MakeMembershipOptions(const Settings& settings,
                                          MemberKind kind, std::uint64_t seed);

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_MEMBERSHIP_SERVICE_H_
