#include "core/routing/prefix_blocks.h"

#include <xxhash.h>

namespace indigolead {

PrefixBlocks::PrefixBlocks(std::string_view prompt, std::size_t block_bytes,
                           std::uint64_t salt) {
  std::uint64_t hash = salt;
  while (prompt.size() >= block_bytes && count_ < kMaxPrefixBlocks) {
    hash = XXH64(prompt.data(), block_bytes, hash);
    hashes_[count_] = hash;
    ++count_;
    prompt.remove_prefix(block_bytes);
  }
}

}  // namespace indigolead
