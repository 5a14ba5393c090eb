#include "core/routing/prefix_cache_hint.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace indigolead {
namespace {

/// Resolution of the time stamps: fine enough for half-lives of a second,
/// coarse enough for 32 bits to last more than a year.
constexpr Duration kTick = std::chrono::milliseconds(10);

/// Gaps beyond this many make no further difference.
constexpr std::uint32_t kMaxGaps = 8;

}  // namespace

PrefixCacheHint::PrefixCacheHint(const Options& options)
    : sets_(std::bit_ceil(
          std::max<std::size_t>(options.capacity_blocks / kWays, 1))),
      mask_(sets_.size() - 1),
      half_life_ticks_(
          std::max(1.0, static_cast<double>(options.half_life / kTick))) {}

std::uint32_t PrefixCacheHint::Tick(TimePoint now) {
  return static_cast<std::uint32_t>(now.time_since_epoch() / kTick) + 1;
}

std::uint32_t PrefixCacheHint::Tag(std::uint64_t block) {
  return static_cast<std::uint32_t>(block >> 32U) | 1U;
}

void PrefixCacheHint::Add(std::uint64_t block, TimePoint now) {
  Set& set = sets_[block & mask_];
  const std::uint32_t tag = Tag(block);
  Entry* slot = &set[0];
  for (Entry& it : set) {
    if (it.tag == tag) {
      slot = &it;
      break;
    }
    if (it.seen_tick < slot->seen_tick) {
      slot = &it;
    }
  }
  *slot = Entry{tag, Tick(now)};
}

void PrefixCacheHint::Remove(std::uint64_t block) {
  for (Entry& it : sets_[block & mask_]) {
    if (it.tag == Tag(block)) {
      it = Entry{};
    }
  }
}

void PrefixCacheHint::NoteGap(TimePoint now) {
  gap_tick_ = Tick(now);
  gaps_ = std::min(gaps_ + 1, kMaxGaps);
}

void PrefixCacheHint::Clear() {
  std::fill(sets_.begin(), sets_.end(), Set{});
  gap_tick_ = 0;
  gaps_ = 0;
}

const PrefixCacheHint::Entry* PrefixCacheHint::FindEntry(
    std::uint64_t block) const {
  const Set& set = sets_[block & mask_];
  const std::uint32_t tag = Tag(block);
  for (const Entry& it : set) {
    if (it.tag == tag) {
      return &it;
    }
  }
  return nullptr;
}

double PrefixCacheHint::Confidence(const Entry& entry, TimePoint now) const {
  const std::uint32_t tick = Tick(now);
  // A time that went backwards makes an entry young, not ancient.
  const std::uint32_t age = tick > entry.seen_tick ? tick - entry.seen_tick : 0;
  const bool doubtful = entry.seen_tick <= gap_tick_;
  const double halvings =
      age / half_life_ticks_ + (doubtful ? static_cast<double>(gaps_) : 0.0);
  return std::exp2(-halvings);
}

CachedPrefix PrefixCacheHint::Find(std::span<const std::uint64_t> blocks,
                                   TimePoint now) const {
  std::size_t low = 0;
  std::size_t high = blocks.size();
  const Entry* last = nullptr;
  while (low < high) {
    // The first probe is the first block: most targets hold nothing of a
    // prompt, and then one cache line is all that is read.
    const std::size_t middle =
        low == 0 && last == nullptr && high == blocks.size()
            ? 0
            : low + (high - low) / 2;
    const Entry* entry = FindEntry(blocks[middle]);
    if (entry == nullptr) {
      high = middle;
    } else {
      last = entry;
      low = middle + 1;
    }
  }
  if (last == nullptr) {
    return CachedPrefix{};
  }
  return CachedPrefix{low, Confidence(*last, now)};
}

}  // namespace indigolead
