#ifndef INDIGOLEAD_ENTRY_BACKLOG_EXCHANGE_H_
#define INDIGOLEAD_ENTRY_BACKLOG_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/membership/relay_choice.h"
#include "core/placement/backlog_sender.h"
#include "core/placement/engine_placement.h"
#include "core/placement/fleet_backlog.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace indigolead {

/// Shares what each entry has outstanding at engines with the other entries.
///
/// Runs on the thread of its caller.
class BacklogExchange {
 public:
  struct Options {
    std::string own_name;
    /// Entries from which open work is shared. With fewer, each sees most of an
    /// engine's queue in its own calls, and digests mainly move work elsewhere.
    std::size_t min_entries = 12;
    BacklogSender::Options sender;
    FleetBacklog::Options fleet;
  };
  struct Hooks {
    /// Sends a digest to the entry at `address`; it may be lost.
    std::function<void(const std::string& address, const BacklogDigest&)> send;
    /// Calls the function with the placement of each service.
    std::function<void(const std::function<void(const EnginePlacement&)>&)>
        visit_placements;
    /// Returns the placement of a service, or null if there is none yet.
    std::function<const EnginePlacement*(const std::string& service)>
        placement_of;
  };

  BacklogExchange(Options options, Hooks hooks, Clock clock, EventLog log,
                  MetricsRegistry* metrics);
  BacklogExchange(const BacklogExchange&) = delete;
  BacklogExchange& operator=(const BacklogExchange&) = delete;

  /// Sets the list of live entries, which may include this one.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// Handles a digest that came from `address`.
  void OnDigest(const std::string& address, const BacklogDigest& digest);

  /// Sends this entry's digest if one is due. Call every 20 to 50 ms, and after
  /// requests are sent.
  void Tick();

  /// Returns what the other entries have outstanding at an engine.
  TargetKnowledge KnowledgeOf(const std::string& service,
                              const std::string& instance) const;

 private:
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  BacklogSender sender_;
  FleetBacklog fleet_;
  std::vector<std::string> peers_;  ///< Addresses of the other entries.
  Counter& digests_sent_;
  Counter& digests_received_;
  Counter& digests_ignored_;
  Gauge& peers_in_use_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_BACKLOG_EXCHANGE_H_
