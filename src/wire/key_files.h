#ifndef INDIGOLEAD_WIRE_KEY_FILES_H_
#define INDIGOLEAD_WIRE_KEY_FILES_H_

#include <string>
#include <vector>

#include "core/base/result.h"

namespace indigolead::internal {

/// CURVE keys of a process, each as the 40 characters of ZeroMQ's Z85 form.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  /// Public keys of peers that are let in, and that are dialled: the newest
  /// first. One key pair may serve a whole fleet; during a change of keys the
  /// old one is trusted too.
  std::vector<std::string> trusted;

  friend bool operator==(const CurveKeys&, const CurveKeys&) = default;
};

/// Reads the three files. The first two hold one key, the third one key a line;
/// blank lines and lines that start with '#' are skipped. No error text holds
/// any part of a key.
Result<CurveKeys> LoadCurveKeys(const std::string& public_key_file,
                                const std::string& secret_key_file,
                                const std::string& trusted_keys_file);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_KEY_FILES_H_
