#ifndef INDIGOLEAD_TARGET_TARGET_CLIENT_H_
#define INDIGOLEAD_TARGET_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/request/answer_end.h"

namespace indigolead {

/// One HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// Request as written to a target.
struct TargetRequest {
  std::string method;
  std::string path;  ///< With query.
  std::vector<HttpHeader> headers;
  std::string body;
  Duration deadline = std::chrono::seconds(60);
  /// Field that a target repeats in its answer; no name: none. An answer with
  /// another value belongs to an earlier request on the connection and is
  /// dropped; the one that follows is taken.
  HttpHeader echoed = {};
  bool is_new_work = false;  ///< Not for a target that leaves.

  friend bool operator==(const TargetRequest&, const TargetRequest&) = default;
};

/// Talks HTTP to the one target of a side.
///
/// Runs on the thread of the io_context that it was built with; hooks are
/// called there. Cancelling is by destroying the call.
class TargetClient {
 public:
  /// Hooks of one call, called in the order head, body..., end; end always
  /// comes, exactly once, unless the call is destroyed first.
  struct Hooks {
    /// The first byte is about to be written: from here on the request may
    /// have run. Returning false stops the call before that byte.
    std::function<bool()> on_before_write;
    std::function<void(int status, std::vector<HttpHeader>)> on_head;
    std::function<void(std::string_view data)> on_body;
    /// The body ended as its framing says; `on_end` follows, with an error if
    /// the answer was broken off all the same.
    std::function<void(const AnswerBodyEnd&)> on_body_end;
    /// The answer is whole, or the error says how far the call came:
    /// `kUnavailable` before the first byte was written, else
    /// `kUnknownEffect` or `kTimeout`.
    std::function<void(Status)> on_end;
  };

  /// One call in flight.
  class Call {
   public:
    virtual ~Call() = default;
    /// Stops or continues reading the answer, for back-pressure.
    virtual void PauseReading(bool pause) = 0;
  };

  virtual ~TargetClient() = default;

  /// Starts a call.
  virtual std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_TARGET_CLIENT_H_
