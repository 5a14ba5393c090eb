#ifndef INDIGOLEAD_CORE_REQUEST_API_KEYS_H_
#define INDIGOLEAD_CORE_REQUEST_API_KEYS_H_

#include <array>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/request/request_types.h"

namespace indigolead {

/// SHA-256 of an API key. The key itself is kept only until it is hashed, so
/// that no log line, metric or error can show it.
using KeyHash = std::array<unsigned char, 32>;

/// Returns the hash of `key` as presented by a caller.
KeyHash HashKey(std::string_view key);

/// Returns the key that a caller presents as `Authorization: Bearer KEY`. Empty
/// if there is no Authorization field or more than one: it would be unclear
/// which of two keys a target or an earlier proxy used. Valid as long as
/// `headers`.
std::string_view FindBearerKey(const std::vector<HeaderField>& headers);

/// Returns the refusal for a missing, malformed or unknown API key. It reveals
/// nothing about the key presented.
Refusal UnknownKeyRefusal();

namespace internal {

/// Uses the first bytes of the SHA-256, which are uniformly distributed.
struct KeyHashHasher {
  std::size_t operator()(const KeyHash& hash) const;
};

/// Compares in constant time, so that the timing does not reveal how much of a
/// guess matched.
struct KeyHashEqual {
  bool operator()(const KeyHash& a, const KeyHash& b) const;
};

}  // namespace internal

/// Maps API keys to values with a lookup time independent of the number of
/// keys. One key may have several values.
///
/// The bucket searched depends only on the SHA-256 of the key presented, so the
/// timing reveals nothing to a caller about keys that it does not have.
template <typename T>
class KeyIndex {
 public:
  void Add(const KeyHash& hash, T value) {
    values_[hash].push_back(std::move(value));
  }

  /// Returns the values of the key with this hash, in the order in which they
  /// were added; empty if there is none. Valid until the next `Add`.
  const std::vector<T>& Find(const KeyHash& hash) const {
    static const std::vector<T> kNone;
    const auto it = values_.find(hash);
    return it == values_.end() ? kNone : it->second;
  }

  std::size_t size() const { return values_.size(); }

 private:
  std::unordered_map<KeyHash, std::vector<T>, internal::KeyHashHasher,
                     internal::KeyHashEqual>
      values_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_API_KEYS_H_
