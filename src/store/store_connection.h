#ifndef INDIGOLEAD_STORE_STORE_CONNECTION_H_
#define INDIGOLEAD_STORE_STORE_CONNECTION_H_

// The awaitable header of this Boost uses std::exchange without including it.
// clang-format off
#include <utility>
#include <boost/asio/awaitable.hpp>
// clang-format on

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/result.h"
#include "store/object_store.h"

namespace indigolead::internal {

/// HTTP request to the object API.
struct StoreRequest {
  std::string step;  ///< Step named in errors, such as "store.put".
  std::string method;
  std::string target;  ///< Path and query.
  std::optional<ExpectedVersion> expected;
  std::string body;
  std::string content_type = {};  ///< Of the body; omitted if empty.
};

/// Returns true if a call of this step may change the store. Its effect is
/// unknown if the connection breaks, whereas a read has simply failed.
inline bool IsWriteStep(const std::string& step) {
  return step == "store.put" || step == "store.delete";
}

/// HTTP response of the object API.
struct StoreReply {
  int status = 0;
  std::optional<std::uint64_t> version;  ///< `X-Version`.
  std::string body;
};

/// Keep-alive connection to the object API that carries one call at a time.
///
/// Runs on the thread of its io_context. Callers must hold a shared pointer to
/// the connection while one of its coroutines runs.
class StoreConnection {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// `address` is "IP:port". Responses larger than `max_answer_bytes` fail.
  StoreConnection(boost::asio::io_context* io, std::string address,
                  std::uint64_t max_answer_bytes);
  ~StoreConnection();
  StoreConnection(const StoreConnection&) = delete;
  StoreConnection& operator=(const StoreConnection&) = delete;

  /// Makes one call, connecting first if necessary. Fails with `kUnavailable`
  /// before the request was written, and afterwards with `kTimeout`, or with
  /// `kUnknownEffect` for a write.
  boost::asio::awaitable<Result<StoreReply>> Call(const StoreRequest& request,
                                                  SteadyTime deadline);

  /// Opens a watch and passes each part of its body to `on_data`, until the
  /// watch breaks, sends nothing for `silence`, or `on_data` returns false.
  /// Calls `on_open` once the watch is accepted. Returns why it ended.
  boost::asio::awaitable<Error> Watch(
      const StoreRequest& request, SteadyTime deadline, Duration silence,
      const std::function<void()>& on_open,
      const std::function<bool(std::string_view)>& on_data);

  /// Closes the connection; a call in flight fails. The next call reconnects.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_STORE_STORE_CONNECTION_H_
