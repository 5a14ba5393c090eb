#ifndef INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_
#define INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_

#include "control.pb.h"
#include "core/request/quarantine.h"

namespace indigolead {

/// Writes `notice` as a message; `relay` is left as it is.
void FillNotice(const SuspicionNotice& notice, wire::QuarantineNotice* out);

/// Returns the notice in `message`.
SuspicionNotice ReadNotice(const wire::QuarantineNotice& message);

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_
