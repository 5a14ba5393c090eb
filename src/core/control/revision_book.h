#ifndef INDIGOLEAD_CORE_CONTROL_REVISION_BOOK_H_
#define INDIGOLEAD_CORE_CONTROL_REVISION_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// One revision of one deployment in the form in which it travels.
struct RevisionRecord {
  std::string deployment;
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::string value;  ///< JSON of the revision, whole.

  friend bool operator==(const RevisionRecord&,
                         const RevisionRecord&) = default;
};

/// Says what an offered revision was to the book.
enum class RevisionOutcome {
  kNewer,     ///< Now the newest; apply it.
  kSame,      ///< Already held.
  kOlder,     ///< Ignored: a stale read, or a peer that is behind.
  kMismatch,  ///< Same number, other content: an error; the first one stays.
  kNoRoom,    ///< The bound on deployments was reached.
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

/// How far a deployment's newest revision has come.
struct InForce {
  std::uint64_t number = 0;  ///< 0: no revision is known.
  std::vector<std::string> applied;
  std::vector<std::string> waiting_for;  ///< Linked, and known to be behind.
  /// Were linked and are silent now: what they apply is not known.
  std::map<std::string, TimePoint> unknown_since;

  bool everywhere() const {
    return number != 0 && waiting_for.empty() && unknown_since.empty();
  }
  friend bool operator==(const InForce&, const InForce&) = default;
};

/// Keeps the newest revision of each deployment, wherever it came from.
///
/// Configuration must never go back. Stale reads, peers that were cut off and
/// repeated messages all offer old revisions, so the book compares numbers and
/// not arrival. It also remembers which peers have applied what.
class RevisionBook {
 public:
  struct Options {
    std::size_t max_deployments = 256;
    std::size_t max_peers = 8192;
    /// A peer silent for longer is forgotten: it was replaced.
    Duration forget_peer_after = std::chrono::minutes(10);
  };

  explicit RevisionBook(Options options);

  /// Takes `record` in if it is newer than what is held.
  RevisionOutcome Offer(RevisionRecord record);

  /// Returns the newest revision of `deployment`; null if none is known. The
  /// book owns it; it stays valid until the next `Offer`.
  const RevisionRecord* Find(const std::string& deployment) const;

  /// Returns the numbers held.
  KnownRevisions Known() const;

  /// Returns the revisions that are newer than in `known`, limited to
  /// `deployment` unless that is empty.
  std::vector<RevisionRecord> NewerThan(const KnownRevisions& known,
                                        const std::string& deployment) const;

  /// A peer connected. Returns false if the bound on peers was reached.
  bool OnPeerUp(const RevisionPeer& peer, TimePoint now);

  /// A peer has revision `number` of `deployment` in force. Reports of an
  /// earlier run of the peer are ignored.
  void OnApplied(const std::string& instance, const Incarnation& incarnation,
                 const std::string& deployment, std::uint64_t number);

  /// A peer fell silent.
  void OnPeerDown(const std::string& instance, const Incarnation& incarnation,
                  TimePoint now);

  /// A peer said goodbye, or the platform no longer lists it.
  void ForgetPeer(const std::string& instance);

  /// Forgets peers that were silent for too long.
  void Tick(TimePoint now);

  /// Returns how far the newest revision of `deployment` has come.
  InForce InForceOf(const std::string& deployment) const;

  /// Returns what `instance` has in force; empty if it is not known.
  KnownRevisions AppliedBy(const std::string& instance) const;

  /// Returns every peer that is known, by instance name.
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

#endif  // INDIGOLEAD_CORE_CONTROL_REVISION_BOOK_H_
