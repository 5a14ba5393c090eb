#include "core/request/api_keys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

#include "core/request/header_fields.h"

namespace indigolead {

KeyHash HashKey(std::string_view key) {
  KeyHash hash{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         hash.data());
  return hash;
}

std::string_view FindBearerKey(const std::vector<HeaderField>& headers) {
  constexpr std::string_view kBearer = "Bearer ";
  std::string_view key;
  bool seen = false;
  for (const HeaderField& it : headers) {
    if (!EqualsIgnoringCase(it.name, "authorization")) {
      continue;
    }
    if (seen) {
      return {};
    }
    seen = true;
    const std::string_view value = it.value;
    if (EqualsIgnoringCase(value.substr(0, kBearer.size()), kBearer)) {
      key = value.substr(kBearer.size());
    }
  }
  return key;
}

Refusal UnknownKeyRefusal() {
  return {401, RunState::kNotRun, "invalid_api_key",
          "Send a known API key as \"Authorization: Bearer KEY\"."};
}

namespace internal {

std::size_t KeyHashBucket::operator()(const KeyHash& hash) const {
  std::size_t bucket = 0;
  std::memcpy(&bucket, hash.data(), sizeof(bucket));
  return bucket;
}

bool KeyHashEqual::operator()(const KeyHash& a, const KeyHash& b) const {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace internal
}  // namespace indigolead
