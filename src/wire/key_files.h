#ifndef INDIGOLEAD_WIRE_KEY_FILES_H_
#define INDIGOLEAD_WIRE_KEY_FILES_H_

#include <string>
#include <vector>

#include "core/base/result.h"

namespace indigolead::internal {

/// CURVE keys of a process, each as 40 characters in ZeroMQ's Z85 encoding.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  /// Public keys of the peers that may connect and that are dialled, newest
  /// first. A whole fleet may share one key pair; during a key rotation the old
  /// key stays trusted.
  std::vector<std::string> trusted;

  friend bool operator==(const CurveKeys&, const CurveKeys&) = default;
};

/// Reads the three files. The first two hold one key, the third one key per
/// line; blank lines and lines that start with '#' are skipped. No error text
/// contains any part of a key.
Result<CurveKeys> LoadCurveKeys(const std::string& public_key_file,
                                const std::string& secret_key_file,
                                const std::string& trusted_keys_file);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_KEY_FILES_H_
