#ifndef INDIGOLEAD_CORE_PLACEMENT_FLEET_BACKLOG_H_
#define INDIGOLEAD_CORE_PLACEMENT_FLEET_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/placement/backlog_digest.h"
#include "core/placement/target_knowledge.h"

namespace indigolead {

/// What the other entries have outstanding at each engine, by their digests.
///
/// Digests may be lost, late, repeated, or wrong. A figure shrinks as the
/// engine works and is dropped if its sender is silent. What one entry claims
/// counts up to a multiple of what the median entry has outstanding, because
/// callers are spread evenly over entries: an entry that claims that all
/// engines are full shifts predictions a little, which may refuse a request
/// that was only just predicted to be in time.
///
/// Performs no I/O. Not thread-safe. Memory is bounded by the options.
class FleetBacklog {
 public:
  struct Options {
    /// Time after a digest at which its figures are dropped: two refreshes of
    /// the sender may be lost.
    Duration expire_after = std::chrono::milliseconds(1300);
    /// An entry's claims count up to this multiple of the median entry's
    /// recent maximum.
    double max_share_of_median = 4;
    /// Time in which an entry's recent maximum falls to half.
    Duration maximum_half_life = std::chrono::seconds(5);
    /// Claims that always count: those of a prompt or two in a fleet that has
    /// just started.
    double min_work = 8192;
    double min_requests = 4;
    std::size_t max_peers = 1024;
  };
  /// Returns the time for which an engine is occupied by `prompts` prompts with
  /// `work` weighted tokens in total.
  using QueueTime = std::function<Duration(double prompts, double work)>;
  enum class Accepted {
    kAccepted,
    kUnknownPeer,  ///< Not in the list of entries.
    kStale,        ///< Repeated, overtaken, or of an earlier run.
  };

  explicit FleetBacklog(Options options) : options_(options) {}

  /// Sets the other live entries, by address. Discards the figures of others.
  void SetPeers(const std::vector<std::string>& peers);

  /// Replaces the figures of `peer` by those in the digest.
  Accepted OnDigest(const std::string& peer, const BacklogDigest& digest,
                    TimePoint now);

  /// Records what this entry has outstanding in total.
  void OnOwn(const EngineQueue& total, TimePoint now);

  /// Drops expired figures and computes the bounds. Call every 20 to 50 ms.
  void Tick(TimePoint now);

  /// Returns what the other entries have outstanding at `engine`, where this
  /// entry has `own`.
  TargetKnowledge At(EngineKey engine, const EngineQueue& own,
                     const QueueTime& queue_time, TimePoint now) const;

  /// Returns the number of entries whose figures are in use.
  std::size_t peers_in_use() const;

 private:
  /// Total of an entry, with its recent maximum.
  struct Total {
    EngineQueue sum;
    double work_maximum = 0;
    double request_maximum = 0;
    TimePoint at{};
  };
  struct Peer {
    bool known = false;  ///< There has been a digest.
    std::uint64_t incarnation = 0;
    std::uint64_t earlier_incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint heard_at{};
    Total total;
    std::vector<BacklogDigest::Engine> engines;
    double scale = 1;  ///< Part of its claims that counts.
  };
  struct Claim {
    const Peer* peer;
    EngineQueue queue;
  };

  void Update(Total* total, const EngineQueue& sum, TimePoint now) const;
  void ComputeScales(TimePoint now);
  void Index();

  Options options_;
  std::map<std::string, Peer> peers_;
  Total own_;
  std::unordered_map<EngineKey, std::vector<Claim>> claims_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_FLEET_BACKLOG_H_
