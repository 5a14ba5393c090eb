#ifndef INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_
#define INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_

#include "control.pb.h"
#include "core/request/quarantine.h"

namespace indigolead {

/// Converts `notice` to a message. The field `relay` is not touched.
void FillNotice(const SuspicionNotice& notice, wire::QuarantineNotice* out);

/// Converts a message to a notice.
SuspicionNotice ReadNotice(const wire::QuarantineNotice& message);

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_QUARANTINE_CODEC_H_
