#ifndef INDIGOLEAD_CORE_REQUEST_STOPPING_REFUSAL_H_
#define INDIGOLEAD_CORE_REQUEST_STOPPING_REFUSAL_H_

#include "core/request/request_types.h"

namespace indigolead {

/// Returns the refusal of a request that has not run and cannot be answered
/// before this entry ends. Another entry can take it as soon as its caller has
/// a new connection.
inline Refusal StoppingRefusal() {
  return {503, RunState::kNotRun, "entry_stopping",
          "This entry is stopping; another one takes the request.",
          std::chrono::milliseconds(100)};
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_STOPPING_REFUSAL_H_
