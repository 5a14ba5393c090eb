#ifndef INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_
#define INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Says how much of a prompt a target probably has in its prefix cache.
struct CachedPrefix {
  std::size_t blocks = 0;  ///< Blocks from the start of the prompt.
  double confidence = 0;   ///< Probability that they are still there, 0 to 1.

  friend bool operator==(const CachedPrefix&, const CachedPrefix&) = default;
};

/// Remembers which prefix blocks one target probably caches.
///
/// Engines publish cache events late and with gaps, so this is a hint: it may
/// be wrong both ways, and a wrong one costs a prefill, never an answer. Each
/// block's confidence halves with every `half_life` since it was last seen, and
/// falls with each event lost since, by the share of the cache that the event
/// may have removed.
///
/// Memory is one fixed table of eight-way sets, one cache line each; a full
/// set forgets its oldest block.
class PrefixCacheHint {
 public:
  struct Options {
    std::size_t capacity_blocks = 4096;  ///< Rounded up to a power of two.
    Duration half_life = std::chrono::minutes(5);
  };

  explicit PrefixCacheHint(const Options& options);

  /// Records that the target holds `block` as of `now`.
  void Add(std::uint64_t block, TimePoint now);

  /// Records that the target dropped `block`.
  void Remove(std::uint64_t block);

  /// Records that about `lost_blocks` were added or removed unseen.
  void NoteGap(std::uint64_t lost_blocks);

  /// Forgets everything, because the target's cache is empty after a restart.
  void Clear();

  /// Returns how much of a prompt is probably cached. `blocks` are the hashes
  /// of the prompt's prefix blocks in order. Takes time logarithmic in their
  /// number: a cached block implies that those before it are cached.
  CachedPrefix Find(std::span<const std::uint64_t> blocks, TimePoint now) const;

 private:
  struct Entry {
    std::uint32_t tag = 0;        ///< High half of the hash; 0 if empty.
    std::uint32_t tick : 24 = 0;  ///< Time last seen; wraps after 19 days.
    std::uint32_t doubt : 8 = 0;  ///< Low bits of `doubt_` at that time.
  };
  static constexpr std::size_t kWays = 8;
  using Set = std::array<Entry, kWays>;

  static std::uint32_t Tick(TimePoint now);
  static std::uint32_t Tag(std::uint64_t block);
  const Entry* FindEntry(std::uint64_t block) const;
  std::uint32_t AgeOf(const Entry& entry, std::uint32_t tick) const;
  std::uint32_t DoubtOf(const Entry& entry) const;
  double Confidence(const Entry& entry, TimePoint now) const;
  void DropDoubtful();

  std::vector<Set> sets_;
  std::uint64_t mask_;
  double half_life_ticks_;
  std::size_t size_ = 0;
  /// Doubt added by all gaps so far, in parts of a halving. A block's own is
  /// what was added since it was last seen.
  std::uint32_t doubt_ = 0;
  std::uint32_t dropped_at_doubt_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_
