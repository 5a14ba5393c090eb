// Measures the lookup of an API key, including its hash, among the client
// accounts of the two-year capacity plan. Compares it with the linear scan of
// all hashes that it replaced. The goal is less than 1 us per lookup.

#include <openssl/crypto.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "core/request/api_keys.h"

namespace indigolead {
namespace {

constexpr int kAccounts = 820;
constexpr int kKeysEach = 5;
constexpr int kLookUps = 1'000'000;

std::string MakeKey(int n) { return "j3nr26tta828m82thh" + std::to_string(n); }

/// Returns the mean time of `n` calls of `look_up`, in nanoseconds.
template <typename LookUp>
double MeanTime(int n, const LookUp& look_up) {
  const auto begin = std::chrono::steady_clock::now();
  for (int it = 0; it < n; ++it) {
    look_up(it);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - begin;
  return took.count() / n;
}

int Run() {
  KeyIndex<int> index;
  std::vector<KeyHash> scanned;
  std::vector<std::string> keys;
  for (int n = 0; n < kAccounts * kKeysEach; ++n) {
    keys.push_back(MakeKey(n));
    scanned.push_back(HashKey(keys.back()));
    index.Add(scanned.back(), n / kKeysEach);
  }
  std::size_t found = 0;
  const double scan_ns = MeanTime(kLookUps / 100, [&](int n) {
    const KeyHash hash = HashKey(keys[n % keys.size()]);
    for (const KeyHash& it : scanned) {
      found += CRYPTO_memcmp(it.data(), hash.data(), hash.size()) == 0 ? 1 : 0;
    }
  });
  const double lookup_ns = MeanTime(kLookUps, [&](int n) {
    found += index.Find(HashKey(keys[n % keys.size()])).size();
  });
  std::printf("key_scan_ns %.0f\nkey_look_up_ns %.0f\n", scan_ns, lookup_ns);
  return found == kLookUps + kLookUps / 100 ? 0 : 1;
}

}  // namespace
}  // namespace indigolead

int main() { return indigolead::Run(); }
