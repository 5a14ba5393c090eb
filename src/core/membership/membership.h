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

/// What this process believes of another.
enum class MemberState {
  kLive,     ///< A link is up and steady: give it work.
  kSuspect,  ///< No steady link, but nothing says that it is gone.
  kLeaving,  ///< Finishes its work; gets nothing new.
  kGone,     ///< Neither linked nor listed.
};

/// Returns the stable, lower-case name of `state`.
std::string_view MemberStateName(MemberState state);

/// What a peer said of itself when a link came up.
struct MemberHello {
  std::string instance;
  MemberKind kind = MemberKind::kEntry;
  std::string failure_domain;
  std::string region;
  bool leaving = false;

  friend bool operator==(const MemberHello&, const MemberHello&) = default;
};

/// Dial this address and keep the connection.
struct ConnectTo {
  std::string address;
  friend bool operator==(const ConnectTo&, const ConnectTo&) = default;
};

/// Give the connection to this address up.
struct DisconnectFrom {
  std::string address;
  friend bool operator==(const DisconnectFrom&,
                         const DisconnectFrom&) = default;
};

/// The belief about one instance has changed.
struct MemberChanged {
  std::string instance;
  MemberState from = MemberState::kGone;
  MemberState to = MemberState::kGone;
  friend bool operator==(const MemberChanged&, const MemberChanged&) = default;
};

using MembershipAction = std::variant<ConnectTo, DisconnectFrom, MemberChanged>;

/// Combines the platform's lagging instance list with what the links say.
///
/// Neither source is enough. The list still shows a process that died seconds
/// ago and not yet one that has just started; a link can fall silent while its
/// peer is well. So a link decides whether work may be sent now, the list
/// decides whom to dial, and only both together call an instance gone. One lost
/// link makes an instance suspect to this process and to nobody else.
class Membership {
 public:
  struct Options {
    ConnectionPlanOptions plan;
    /// Addresses dialled until the first list arrives: "IP:port".
    std::vector<std::string> seeds;
    /// Time without link and listing after which an instance is gone.
    Duration gone_timeout = std::chrono::seconds(10);
    /// An instance that lost its link `flap_losses` times within
    /// `flap_window` counts as live again only after `flap_hold` with a link.
    std::uint32_t flap_losses = 3;
    Duration flap_window = std::chrono::seconds(30);
    Duration flap_hold = std::chrono::seconds(5);
    /// Time for which a connection outlives its place in the plan, so that a
    /// list that wavers moves nothing.
    Duration disconnect_delay = std::chrono::seconds(10);
    /// New connections are spread over this time for each listed instance, up
    /// to the maximum, so that a restart of many does not dial in one moment.
    Duration connect_spread_per_instance = std::chrono::milliseconds(1);
    Duration connect_spread_max = std::chrono::seconds(2);
    /// A longer gap between two ticks means that this process was paused or
    /// the clock jumped; waiting times then start anew.
    Duration longest_tick_gap = std::chrono::seconds(2);
    std::size_t max_instances = 16384;
    std::uint64_t seed = 0;
  };

  struct Hooks {
    /// Returns true if no work depends on the connection to `address`.
    std::function<bool(const std::string& address)> may_disconnect;
  };

  Membership(Options options, Hooks hooks);

  /// Takes a list that the platform answered with. A failed read is no list:
  /// then nothing is reported and the last one holds.
  std::vector<MembershipAction> OnInstanceList(
      std::vector<ListedInstance> instances, TimePoint now);
  std::vector<MembershipAction> OnLinkUp(std::uint64_t link,
                                         const MemberHello& hello,
                                         TimePoint now);
  std::vector<MembershipAction> OnLinkDown(std::uint64_t link, TimePoint now);
  /// The instance itself, or an operator's drain, says that it leaves or no
  /// longer does.
  std::vector<MembershipAction> OnLeaving(const std::string& instance,
                                          bool leaving, TimePoint now);
  std::vector<MembershipAction> Tick(TimePoint now);

  /// Returns the belief about `instance`; `kGone` if nothing is known of it.
  MemberState StateOf(const std::string& instance) const;
  std::size_t member_count() const { return members_.size(); }
  /// Returns how many instances were ignored because of `max_instances`.
  std::uint64_t ignored_count() const { return ignored_; }

 private:
  struct Member {
    std::set<std::uint64_t> links;
    bool listed = false;
    bool listed_leaving = false;
    bool said_leaving = false;
    TimePoint unlinked_since;
    TimePoint up_since;
    std::deque<TimePoint> losses;
    MemberState state = MemberState::kGone;
  };
  struct Dial {
    std::optional<TimePoint> connect_at;  ///< Set until dialled.
    std::optional<TimePoint> unwanted_since;
  };

  Member* FindOrAdd(const std::string& name, TimePoint now);
  MemberState Judge(const Member& member, TimePoint now) const;
  bool IsFlapping(const Member& member, TimePoint now) const;
  void Update(const std::string& name, Member* member, TimePoint now,
              std::vector<MembershipAction>* actions);
  void PlanAgain(TimePoint now);
  void PollDials(TimePoint now, std::vector<MembershipAction>* actions);
  void ForgiveJump(Duration jump);

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
