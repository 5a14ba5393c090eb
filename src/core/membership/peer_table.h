#ifndef INDIGOLEAD_CORE_MEMBERSHIP_PEER_TABLE_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_PEER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/ids.h"

namespace indigolead {

/// Whether this process opened or accepted a connection.
enum class LinkDirection { kOpened, kAccepted };

/// Result of the check of a peer's hello.
enum class HelloVerdict {
  kAccept,
  /// A later run of the same instance has been seen, so this one is stale.
  kSuperseded,
  /// `PeerTable::Options::max_links` is reached.
  kFull,
};

/// Maps each connection to an instance and to the run (incarnation) of it.
///
/// The latest run wins. A process that was replaced while it was paused or cut
/// off may resume and go on sending, and its peers would then mix two runs of
/// one instance. Superseded runs are therefore remembered and refused. If two
/// processes are configured with the same instance name, the later one is kept,
/// instead of each replacing the other in turn.
class PeerTable {
 public:
  struct Options {
    std::size_t max_links = 4096;
    /// Limit on known instances, including those without a link.
    std::size_t max_instances = 8192;
    std::size_t max_superseded_per_instance = 4;
  };

  struct Decision {
    HelloVerdict verdict = HelloVerdict::kAccept;
    /// Links replaced by the new one and removed from the table.
    std::vector<std::uint64_t> replaced;
  };

  explicit PeerTable(Options options) : options_(options) {}

  /// Handles a hello received on connection `link`. Replaces a link of the same
  /// run in the same direction, because a peer opens a second connection only
  /// after it has abandoned the first. Keeps the link in the other direction:
  /// two processes may each have opened one, and replacing across directions
  /// would make them close each other's connection forever.
  Decision OnHello(const std::string& instance, const Incarnation& incarnation,
                   LinkDirection direction, std::uint64_t link);

  /// Removes `link`. The runs of its instance stay known.
  void OnDown(std::uint64_t link);

  std::size_t link_count() const { return instance_of_link_.size(); }
  std::size_t instance_count() const { return instances_.size(); }

 private:
  struct Instance {
    Incarnation current;
    std::uint64_t opened = 0;    // 0: none.
    std::uint64_t accepted = 0;  // 0: none.
    std::deque<Incarnation> superseded;
    std::list<std::string>::iterator lru_position;
  };

  Instance& Touch(const std::string& name);
  void RemoveLink(std::uint64_t* slot, std::vector<std::uint64_t>* replaced);
  void Supersede(const Incarnation& incarnation, Instance* instance,
                 std::vector<std::uint64_t>* replaced);
  void EvictOldest();

  Options options_;
  std::unordered_map<std::string, Instance> instances_;
  std::list<std::string> lru_;  // Least recent hello first.
  std::unordered_map<std::uint64_t, std::string> instance_of_link_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_PEER_TABLE_H_
