#include "core/base/random.h"

namespace indigolead {

RandomSource MakeSeededRandom(std::uint64_t seed) {
  return [state = seed]() mutable {
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
  };
}

}  // namespace indigolead
