#ifndef INDIGOLEAD_CORE_BASE_RANDOM_H_
#define INDIGOLEAD_CORE_BASE_RANDOM_H_

#include <cstdint>
#include <functional>

namespace indigolead {

/// Returns 64 uniformly distributed bits. Injected, because the core has no
/// random device: seeded in tests and replays to make them reproducible.
using RandomSource = std::function<std::uint64_t()>;

/// Returns a source that repeats the same sequence for the same `seed`
/// (SplitMix64). Not for secrets.
RandomSource MakeSeededRandom(std::uint64_t seed);

/// Returns a number in [0, 1) from 64 random bits.
constexpr double ToUnitInterval(std::uint64_t bits) {
  return static_cast<double>(bits >> 11U) * 0x1.0p-53;
}

/// Returns a number in [0, bound) from 64 random bits; 0 if `bound` is 0.
constexpr std::uint32_t ToBoundedInteger(std::uint64_t bits,
                                         std::uint32_t bound) {
  return static_cast<std::uint32_t>(((bits >> 32U) * bound) >> 32U);
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_RANDOM_H_
