#ifndef INDIGOLEAD_OBSERVE_EVENT_FIELDS_H_
#define INDIGOLEAD_OBSERVE_EVENT_FIELDS_H_

#include <chrono>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// Returns `length` in whole milliseconds, as the value of an event field whose
/// name ends in "_ms".
inline std::string FormatMilliseconds(Duration length) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

}  // namespace indigolead

#endif  // INDIGOLEAD_OBSERVE_EVENT_FIELDS_H_
