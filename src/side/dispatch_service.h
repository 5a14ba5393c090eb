#ifndef INDIGOLEAD_SIDE_DISPATCH_SERVICE_H_
#define INDIGOLEAD_SIDE_DISPATCH_SERVICE_H_

#include <functional>

#include "core/base/time.h"
#include "envelope.pb.h"
#include "wire/links.h"

namespace indigolead {

/// An additional service on the side's dispatch thread, such as the claim home.
/// Any of the functions may be empty.
struct DispatchService {
  /// Returns true if the message was for this service.
  std::function<bool(LinkId, const wire::Envelope&)> handle_message;
  std::function<void(LinkId, const wire::Hello&)> on_link_up;
  std::function<void(LinkId)> on_link_down;
  std::function<void(TimePoint)> tick;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_DISPATCH_SERVICE_H_
