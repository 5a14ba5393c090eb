#ifndef INDIGOLEAD_STORE_RUN_AFTER_H_
#define INDIGOLEAD_STORE_RUN_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/base/time.h"

namespace indigolead {

/// Runs a function once after a delay, on the caller's thread. Injected so that
/// tests control time.
using RunAfter = std::function<void(Duration, std::function<void()>)>;

/// Returns a `RunAfter` that uses timers of `io`, which must outlive it.
RunAfter MakeRunAfter(boost::asio::io_context* io);

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_RUN_AFTER_H_
