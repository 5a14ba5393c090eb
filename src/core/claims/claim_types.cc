#include "core/claims/claim_types.h"

#include <xxhash.h>

namespace indigolead {
namespace {

constexpr std::size_t kHeaderOverheadBytes = 64;

void AppendPart(std::string_view part, std::string* out) {
  const std::uint64_t n = part.size();
  out->append(reinterpret_cast<const char*>(&n), sizeof n);
  out->append(part);
}

std::string JoinParts(std::string_view a, std::string_view b,
                      std::string_view c) {
  std::string joined;
  joined.reserve(a.size() + b.size() + c.size() + 3 * sizeof(std::uint64_t));
  AppendPart(a, &joined);
  AppendPart(b, &joined);
  AppendPart(c, &joined);
  return joined;
}

}  // namespace

ClaimKey MakeClaimKey(std::string_view client_account,
                      std::string_view deployment,
                      std::string_view idempotency_key) {
  const std::string joined =
      JoinParts(client_account, deployment, idempotency_key);
  const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
  return ClaimKey{{hash.high64, hash.low64}};
}

std::uint64_t MakeBodyDigest(std::string_view method, std::string_view path,
                             std::string_view body) {
  const std::string joined = JoinParts(method, path, body);
  return XXH3_64bits(joined.data(), joined.size());
}

std::uint32_t SlotOf(const ClaimKey& key, std::uint32_t slot_count) {
  return static_cast<std::uint32_t>(key.value.hi % slot_count);
}

std::size_t ClaimAnswer::size() const {
  std::size_t n = body.size();
  for (const AnswerHeader& it : headers) {
    n += it.name.size() + it.value.size() + kHeaderOverheadBytes;
  }
  return n;
}

}  // namespace indigolead
