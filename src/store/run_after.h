#ifndef INDIGOLEAD_STORE_RUN_AFTER_H_
#define INDIGOLEAD_STORE_RUN_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/base/time.h"

namespace indigolead {

/// Calls a function once after a delay, on the thread of its user. Injected,
/// so that tests choose when time passes.
using RunAfter = std::function<void(Duration, std::function<void()>)>;

/// Returns a `RunAfter` with timers of `io`, which must outlive it.
RunAfter MakeRunAfter(boost::asio::io_context* io);

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_RUN_AFTER_H_
