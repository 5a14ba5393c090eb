#ifndef INDIGOLEAD_STANDINS_RUN_LOG_H_
#define INDIGOLEAD_STANDINS_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "standins/http_server.h"

namespace indigolead::standins {

/// One execution of a request, as recorded by a target.
struct RunRecord {
  std::string request_id;       ///< `X-Request-Id`, or empty.
  std::string idempotency_key;  ///< `Idempotency-Key`, or empty.
  std::string method;
  std::string path;
  std::string body_hash;  ///< 16 hex digits.
  bool finished = false;  ///< The response was completed.
  bool cut = false;       ///< Ended before its response was complete: by
                          ///< an order, a cancel or a crash.

  friend bool operator==(const RunRecord&, const RunRecord&) = default;
};

/// Records the requests that a stand-in target ran, so that a test can compare
/// them with the responses that callers received.
class RunLog {
 public:
  /// Adds a run and returns its index.
  std::size_t Start(const HttpRequest& request);
  void Finish(std::size_t run);
  void Cut(std::size_t run);

  std::vector<RunRecord> records() const;

  /// Returns the records as the body of `GET /standin/runs`.
  std::string ToJson() const;

 private:
  std::deque<RunRecord> records_;
};

/// Returns `number` as 16 hex digits.
std::string ToHexDigits(std::uint64_t number);

/// Returns the XXH64 of `text` as 16 hex digits.
std::string HashHex(const std::string& text);

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_RUN_LOG_H_
