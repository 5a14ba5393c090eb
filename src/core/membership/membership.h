#ifndef INDIGOLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/membership/connection_plan.h"

namespace indigolead {

/// State of another process as seen by this one.
enum class MemberState {
  kLive,     ///< Has a stable link and may get work.
  kSuspect,  ///< No stable link, but not known to be gone.
  kLeaving,  ///< Finishes its work and gets no new work.
  kGone,     ///< Neither linked nor listed.
};

/// Returns the stable, lower-case name of `state`.
std::string_view MemberStateName(MemberState state);

/// Data that a peer sends about itself when a link comes up.
struct MemberHello {
  std::string instance;
  MemberKind kind = MemberKind::kEntry;
  std::string failure_domain;
  std::string region;
  bool leaving = false;

  friend bool operator==(const MemberHello&, const MemberHello&) = default;
};

/// Action: dials this address and keeps the connection open.
struct ConnectTo {
  std::string address;
  friend bool operator==(const ConnectTo&, const ConnectTo&) = default;
};

/// Action: closes the connection to this address.
struct DisconnectFrom {
  std::string address;
  friend bool operator==(const DisconnectFrom&,
                         const DisconnectFrom&) = default;
};

/// Action: reports that the state of one instance has changed.
struct MemberChanged {
  std::string instance;
  MemberState from = MemberState::kGone;
  MemberState to = MemberState::kGone;
  friend bool operator==(const MemberChanged&, const MemberChanged&) = default;
};

using MembershipAction = std::variant<ConnectTo, DisconnectFrom, MemberChanged>;

/// Derives the state of each instance from the platform's instance list, which
/// lags, and from the state of the links.
///
/// Neither source is enough. The list still contains a process that died
/// seconds ago and lacks one that has just started; a link can fail while its
/// peer is healthy. So the links decide whether work may be sent now, the list
/// decides which instances to dial, and an instance is gone only if it has
/// neither. An instance whose last link is lost becomes suspect to this process
/// only.
class Membership {
 public:
  struct Options {
    ConnectionPlanOptions plan;
    /// Addresses ("IP:port") to dial before the first list arrives.
    std::vector<std::string> seeds;
    /// Time without a link after which an unlisted instance is gone.
    Duration gone_timeout = std::chrono::seconds(10);
    /// An instance that lost its link `flap_losses` times within `flap_window`
    /// is live again only after it has had a link for `flap_hold`.
    std::uint32_t flap_losses = 3;
    Duration flap_window = std::chrono::seconds(30);
    Duration flap_hold = std::chrono::seconds(5);
    /// Time for which a connection is kept after it left the plan, so that an
    /// unstable list causes no reconnects.
    Duration disconnect_delay = std::chrono::seconds(10);
    /// New connections are spread over this time multiplied by the number of
    /// listed instances, up to the maximum. Otherwise many restarted processes
    /// would all dial at the same moment.
    Duration connect_spread_per_instance = std::chrono::milliseconds(1);
    Duration connect_spread_max = std::chrono::seconds(2);
    /// A longer time between two ticks means that this process was paused or
    /// the clock jumped. It does not count towards any timeout.
    Duration longest_tick_gap = std::chrono::seconds(2);
    std::size_t max_instances = 16384;
    std::uint64_t seed = 0;  ///< Of the random number generator.
  };

  struct Hooks {
    /// Returns true if the connection to `address` is not needed by any work.
    std::function<bool(const std::string& address)> may_disconnect;
  };

  Membership(Options options, Hooks hooks);

  /// Handles a list received from the platform. Must not be called after a
  /// failed read; the previous list then stays valid.
  std::vector<MembershipAction> OnInstanceList(
      std::vector<ListedInstance> instances, TimePoint now);
  std::vector<MembershipAction> OnLinkUp(std::uint64_t link,
                                         const MemberHello& hello,
                                         TimePoint now);
  std::vector<MembershipAction> OnLinkDown(std::uint64_t link, TimePoint now);
  /// Handles a notice, from the instance itself or from an operator's drain,
  /// that the instance is leaving or no longer leaving.
  std::vector<MembershipAction> OnLeaving(const std::string& instance,
                                          bool leaving, TimePoint now);
  std::vector<MembershipAction> Tick(TimePoint now);

  /// Returns the state of `instance`; `kGone` if it is unknown.
  MemberState StateOf(const std::string& instance) const;
  std::size_t member_count() const { return members_.size(); }
  /// Returns how often an instance was ignored because of `max_instances`.
  std::uint64_t ignored_count() const { return ignored_; }

 private:
  struct Member {
    std::set<std::uint64_t> links;
    bool listed = false;
    bool listed_leaving = false;
    bool announced_leaving = false;
    TimePoint unlinked_since;
    TimePoint up_since;
    std::deque<TimePoint> losses;
    MemberState state = MemberState::kGone;
  };
  struct Dial {
    std::optional<TimePoint> connect_at;  ///< Set until dialed.
    std::optional<TimePoint> unwanted_since;
  };

  Member* FindOrAdd(const std::string& name, TimePoint now);
  MemberState ComputeState(const Member& member, TimePoint now) const;
  bool IsFlapping(const Member& member, TimePoint now) const;
  void Update(const std::string& name, Member* member, TimePoint now,
              std::vector<MembershipAction>* actions);
  void UpdatePlan(TimePoint now);
  void PollDials(TimePoint now, std::vector<MembershipAction>* actions);
  void ShiftTimestamps(Duration jump);

  Options options_;
  Hooks hooks_;
  std::mt19937_64 random_;
  std::vector<ListedInstance> list_;
  std::unordered_map<std::string, Member> members_;
  std::unordered_map<std::uint64_t, std::string> instance_of_link_;
  std::map<std::string, Dial> dials_;
  std::optional<TimePoint> last_tick_;
  std::uint64_t ignored_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H_
