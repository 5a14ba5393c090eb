#include "core/request/api_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cstring>
#include <memory>

#include "core/request/header_fields.h"

namespace indigolead {

// OpenSSL's one-shot function looks up its algorithm by name on each call,
// which takes longer than hashing a key.
KeyHash HashKey(std::string_view key) {
  using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
  static const EVP_MD* const kSha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  static thread_local const Context context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  KeyHash hash{};
  EVP_DigestInit_ex2(context.get(), kSha256, nullptr);
  EVP_DigestUpdate(context.get(), key.data(), key.size());
  EVP_DigestFinal_ex(context.get(), hash.data(), nullptr);
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

std::size_t KeyHashHasher::operator()(const KeyHash& hash) const {
  std::size_t bucket = 0;
  std::memcpy(&bucket, hash.data(), sizeof(bucket));
  return bucket;
}

bool KeyHashEqual::operator()(const KeyHash& a, const KeyHash& b) const {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace internal
}  // namespace indigolead
