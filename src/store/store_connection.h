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
  std::string content_type = {};  ///< Of the body; empty: not stated.
};

/// Returns true if a call of this step may change the store, so that its
/// outcome is open when it breaks. A read that breaks has simply failed.
inline bool IsWriteStep(const std::string& step) {
  return step == "store.put" || step == "store.delete";
}

/// HTTP answer of the object API.
struct StoreReply {
  int status = 0;
  std::optional<std::uint64_t> version;  ///< `X-Version`.
  std::string body;
};

/// One keep-alive connection to the object API, with one call at a time.
///
/// Runs on the thread of its io_context. Coroutines keep the connection alive
/// through the shared pointer that their caller holds.
class StoreConnection {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// `address` is "IP:port"; larger answers than `max_answer_bytes` fail.
  StoreConnection(boost::asio::io_context* io, std::string address,
                  std::uint64_t max_answer_bytes);
  ~StoreConnection();
  StoreConnection(const StoreConnection&) = delete;
  StoreConnection& operator=(const StoreConnection&) = delete;

  /// Makes one call, connecting first if need be. Fails with `kUnavailable`
  /// before the request was written, later with `kTimeout` or
  /// `kUnknownEffect`.
  boost::asio::awaitable<Result<StoreReply>> Call(const StoreRequest& request,
                                                  SteadyTime deadline);

  /// Opens a watch and calls `on_data` with each part of its body, until it
  /// breaks or sends nothing for `silence`. Returns why it ended.
  boost::asio::awaitable<Error> Watch(
      const StoreRequest& request, SteadyTime deadline, Duration silence,
      const std::function<void()>& on_open,
      const std::function<bool(std::string_view)>& on_data);

  /// Cuts the connection; a call in flight fails. Nothing happens afterwards
  /// until the next call.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_STORE_STORE_CONNECTION_H_
