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

/// Which end of a connection this process is.
enum class LinkDirection { kOpened, kAccepted };

/// What becomes of a connection whose peer has said hello.
enum class HelloVerdict {
  kAccept,
  /// A later run of the same instance has been seen: this one is stale.
  kSuperseded,
  /// The bound on links is reached.
  kFull,
};

/// Knows which run of which instance every connection leads to.
///
/// The newest hello wins. A process that was replaced while it was paused or
/// cut off may wake and go on sending; its peers would then mix two runs of
/// one instance. So the runs that were superseded are remembered and refused.
/// This also settles two processes configured with the same instance name:
/// the one that came later is kept, instead of both taking turns.
class PeerTable {
 public:
  struct Options {
    std::size_t max_links = 4096;
    /// Instances remembered, those without a link included.
    std::size_t max_instances = 8192;
    std::size_t max_superseded_per_instance = 4;
  };

  struct Decision {
    HelloVerdict verdict = HelloVerdict::kAccept;
    /// Links that the new one replaces; no longer in the table.
    std::vector<std::uint64_t> replaced;
  };

  explicit PeerTable(Options options) : options_(options) {}

  /// Decides on a hello that came on connection `link`. A link of the same
  /// run in the same direction is replaced, because a peer opens a second
  /// connection only after it has given up the first. The other direction is
  /// left alone: two processes may each have opened one, and replacing across
  /// directions would make them close each other's for ever.
  Decision OnHello(const std::string& instance, const Incarnation& incarnation,
                   LinkDirection direction, std::uint64_t link);

  /// Forgets `link`; its instance's runs stay remembered.
  void OnDown(std::uint64_t link);

  std::size_t link_count() const { return instance_of_link_.size(); }
  std::size_t instance_count() const { return instances_.size(); }

 private:
  struct Instance {
    Incarnation current;
    std::uint64_t opened = 0;    // 0: none.
    std::uint64_t accepted = 0;  // 0: none.
    std::deque<Incarnation> superseded;
    std::list<std::string>::iterator age;
  };

  Instance& Touch(const std::string& name);
  void TakeLink(std::uint64_t* slot, std::vector<std::uint64_t>* replaced);
  void Supersede(const Incarnation& incarnation, Instance* instance,
                 std::vector<std::uint64_t>* replaced);
  void EvictOldest();

  Options options_;
  std::unordered_map<std::string, Instance> instances_;
  std::list<std::string> ages_;  // Least recently greeted first.
  std::unordered_map<std::uint64_t, std::string> instance_of_link_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_PEER_TABLE_H_
