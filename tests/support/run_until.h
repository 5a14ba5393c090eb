#ifndef INDIGOLEAD_TESTS_SUPPORT_RUN_UNTIL_H_
#define INDIGOLEAD_TESTS_SUPPORT_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <functional>

namespace indigolead {

/// Runs `io` until `done` returns true; aborts the test after 20 s.
void RunUntil(boost::asio::io_context* io, const std::function<bool()>& done);

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_RUN_UNTIL_H_
