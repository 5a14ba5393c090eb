#ifndef INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_H_
#define INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_H_

#include <string>

namespace indigolead {

/// What sent the first event of a stream. Only a target of the same service and
/// software version may continue the stream: what two versions write does not
/// fit together, and targets do not check this.
struct StreamOrigin {
  std::string service;
  std::string software_version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_H_
