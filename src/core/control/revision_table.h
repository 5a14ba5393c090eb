#ifndef INDIGOLEAD_CORE_CONTROL_REVISION_TABLE_H_
#define INDIGOLEAD_CORE_CONTROL_REVISION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Revision of a deployment in its transport form.
struct RevisionRecord {
  std::string deployment;
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::string value;  ///< Complete JSON of the revision.

  friend bool operator==(const RevisionRecord&,
                         const RevisionRecord&) = default;
};

/// Result of offering a revision.
enum class RevisionOutcome {
  kNewer,     ///< Now the newest; apply it.
  kSame,      ///< Already held.
  kOlder,     ///< Ignored: from a stale read or a peer that is behind.
  kMismatch,  ///< Same number, different content: an error; the first is kept.
  kLimitReached,  ///< The limit on deployments was reached.
};

/// Newest revision number held, per deployment.
using KnownRevisions = std::map<std::string, std::uint64_t>;

/// A process that must apply revisions.
struct RevisionPeer {
  std::string instance;
  Incarnation incarnation;
  /// A side applies only its own deployment; empty: every deployment.
  std::string deployment;

  friend bool operator==(const RevisionPeer&, const RevisionPeer&) = default;
};

/// Rollout state of a deployment's newest revision.
struct RevisionRollout {
  std::uint64_t number = 0;  ///< 0: no revision is known.
  std::vector<std::string> applied;
  std::vector<std::string> waiting_for;  ///< Connected and known to be behind.
  /// Peers that lost their connection; what they apply is unknown.
  std::map<std::string, TimePoint> unknown_since;

  bool everywhere() const {
    return number != 0 && waiting_for.empty() && unknown_since.empty();
  }
  friend bool operator==(const RevisionRollout&,
                         const RevisionRollout&) = default;
};

/// Stores the newest revision of each deployment, whatever its source.
///
/// Configuration must never go back. Stale reads, disconnected peers and
/// repeated messages all offer old revisions, so revisions are ordered by
/// number and not by arrival. The class also records which revisions each peer
/// has applied.
class RevisionTable {
 public:
  struct Options {
    std::size_t max_deployments = 256;
    std::size_t max_peers = 8192;
    /// Time after which a silent peer is removed, because it was replaced.
    Duration forget_peer_after = std::chrono::minutes(10);
  };

  explicit RevisionTable(Options options);

  /// Stores `record` if it is newer than the current revision.
  RevisionOutcome Offer(RevisionRecord record);

  /// Returns the newest revision of `deployment`, or null if there is none. The
  /// pointer is valid until the next `Offer`.
  const RevisionRecord* Find(const std::string& deployment) const;

  /// Returns the newest revision number of each deployment.
  KnownRevisions Known() const;

  /// Returns the revisions that are newer than those in `known`, limited to
  /// `deployment` unless it is empty.
  std::vector<RevisionRecord> NewerThan(const KnownRevisions& known,
                                        const std::string& deployment) const;

  /// Registers a connected peer. Returns false if the limit on peers was
  /// reached.
  bool OnPeerUp(const RevisionPeer& peer, TimePoint now);

  /// Records that a peer applies revision `number` of `deployment`. Reports of
  /// an earlier incarnation of the peer are ignored.
  void OnApplied(const std::string& instance, const Incarnation& incarnation,
                 const std::string& deployment, std::uint64_t number);

  /// Records that a peer lost its connection.
  void OnPeerDown(const std::string& instance, const Incarnation& incarnation,
                  TimePoint now);

  /// Removes a peer that left or that the platform no longer lists.
  void ForgetPeer(const std::string& instance);

  /// Removes peers that have been silent for longer than `forget_peer_after`.
  void Tick(TimePoint now);

  /// Returns the rollout state of the newest revision of `deployment`.
  RevisionRollout RolloutOf(const std::string& deployment) const;

  /// Returns the revisions that `instance` applies; empty if it is unknown.
  KnownRevisions AppliedBy(const std::string& instance) const;

  /// Returns all known peers, by instance name.
  std::vector<RevisionPeer> Peers() const;

 private:
  struct Peer {
    RevisionPeer identity;
    KnownRevisions applied;
    std::optional<TimePoint> silent_since;
  };

  Options options_;
  std::map<std::string, RevisionRecord> newest_;
  std::map<std::string, Peer> peers_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_REVISION_TABLE_H_
