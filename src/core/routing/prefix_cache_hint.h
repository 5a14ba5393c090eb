#ifndef INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_
#define INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Estimate of how much of a prompt is in a target's prefix cache.
struct CachedPrefix {
  std::size_t blocks = 0;  ///< Leading blocks of the prompt.
  double confidence = 0;   ///< Probability that they are still there, 0 to 1.

  friend bool operator==(const CachedPrefix&, const CachedPrefix&) = default;
};

/// Tracks which prefix blocks one target probably caches.
///
/// Engines publish cache events late and with gaps, so the hint can be wrong in
/// either direction; an error costs a prefill, but never an answer. A block's
/// confidence halves with every `half_life` since it was last seen, and drops
/// with each event lost since, by the share of the cache that the event may
/// have removed.
///
/// Memory is a fixed eight-way set-associative table with one cache line per
/// set. A full set evicts its oldest block.
class PrefixCacheHint {
 public:
  struct Options {
    std::size_t capacity_blocks = 4096;  ///< Rounded up to a power of two.
    Duration half_life = std::chrono::minutes(5);
  };

  explicit PrefixCacheHint(const Options& options);

  /// Records that the target caches `block` as of `now`.
  void Add(std::uint64_t block, TimePoint now);

  /// Records that the target evicted `block`.
  void Remove(std::uint64_t block);

  /// Records that events about an estimated `lost_blocks` blocks were lost.
  void OnLostEvents(std::uint64_t lost_blocks);

  /// Removes all blocks. Used after a restart, when the target's cache is
  /// empty.
  void Clear();

  /// Returns how much of a prompt is probably cached. `blocks` are the hashes
  /// of the prompt's prefix blocks in order. Uses a binary search, because a
  /// cached block implies that all blocks before it are cached.
  CachedPrefix Find(std::span<const std::uint64_t> blocks, TimePoint now) const;

 private:
  struct Entry {
    std::uint32_t tag = 0;  ///< Upper hash bits, made odd; 0 if empty.
    /// When last seen, in units of 0.1 s. Wraps after 19 days and is ambiguous
    /// after half of that.
    std::uint32_t tick : 24 = 0;
    std::uint32_t staleness : 8 =
        0;  ///< Low bits of `staleness_` when last seen.
  };
  static constexpr std::size_t kWays = 8;
  using Set = std::array<Entry, kWays>;

  static std::uint32_t Tick(TimePoint now);
  static std::uint32_t Tag(std::uint64_t block);
  const Entry* FindEntry(std::uint64_t block) const;
  std::uint32_t AgeOf(const Entry& entry, std::uint32_t tick) const;
  std::uint32_t StalenessOf(const Entry& entry) const;
  double Confidence(const Entry& entry, TimePoint now) const;
  void DropStale();

  std::vector<Set> sets_;
  std::uint64_t mask_;
  double half_life_ticks_;
  std::size_t size_ = 0;
  /// Total staleness added by lost events, in sixteenths of a halving of the
  /// confidence. The staleness of a block is the part added since the block was
  /// last seen.
  std::uint32_t staleness_ = 0;
  std::uint32_t dropped_at_staleness_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_PREFIX_CACHE_HINT_H_
