#ifndef INDIGOLEAD_CORE_ROUTING_PREFIX_BLOCKS_H_
#define INDIGOLEAD_CORE_ROUTING_PREFIX_BLOCKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace indigolead {

/// Maximum number of prefix blocks per request. A longer prompt is matched by
/// its first blocks only, which bounds the time of a routing decision.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// Hashes of a prompt's prefix blocks, stored inline.
///
/// Hash N covers the prompt from its first byte to the end of block N, so two
/// prompts share a hash only if they share the whole prefix.
class PrefixBlocks {
 public:
  PrefixBlocks() = default;

  /// Hashes the complete blocks of `prompt`. An incomplete last block is
  /// omitted, because engines cache complete blocks only. `salt` separates
  /// models and adapters, whose caches cannot be shared. `block_bytes` must not
  /// be 0.
  PrefixBlocks(std::string_view prompt, std::size_t block_bytes,
               std::uint64_t salt);

  std::span<const std::uint64_t> hashes() const {
    return {hashes_.data(), count_};
  }

 private:
  std::array<std::uint64_t, kMaxPrefixBlocks> hashes_{};
  std::size_t count_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_PREFIX_BLOCKS_H_
