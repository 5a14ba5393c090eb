#ifndef INDIGOLEAD_CORE_REQUEST_FINGERPRINT_H_
#define INDIGOLEAD_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>

namespace indigolead {

/// Identifies requests that a target cannot distinguish: a hash of client
/// account, path and body, which stay the same when a caller repeats a request.
using Fingerprint = std::uint64_t;

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_FINGERPRINT_H_
