#ifndef INDIGOLEAD_TARGET_TARGET_CLIENT_H_
#define INDIGOLEAD_TARGET_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/request/answer_end.h"

namespace indigolead {

/// Step of the `kUnavailable` error of a call whose target could not be reached
/// in time. Unlike a refused connection, it does not show that nothing listens
/// at the target's address.
inline constexpr char kUnreachedStep[] = "target.reach";

/// One HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// Request sent to a target.
struct TargetRequest {
  std::string method;
  std::string path;  ///< Includes the query string.
  std::vector<HttpHeader> headers;
  std::string body;
  Duration deadline = std::chrono::seconds(60);
  /// Header that the target repeats in its response; an empty value means
  /// none.
  /// A response with another value belongs to an earlier request on the
  /// connection: it is dropped, and the next response is read instead. A
  /// response without the header belongs to no request: the call fails with
  /// `kUnknownEffect`.
  HttpHeader echoed = {};
  bool is_new_work = false;  ///< Must not go to a draining target.
  /// Longest body of the response; the call fails with `kProtocol` beyond it.
  std::optional<std::uint64_t> max_body_bytes = {};

  friend bool operator==(const TargetRequest&, const TargetRequest&) = default;
};

/// Why bytes from a target were not taken for the answer to a call.
enum class StrayAnswer {
  kWithoutId,        ///< A response without the call's id.
  kOfAnotherCall,    ///< A response with the id of another call.
  kUnproved,         ///< A success without proof that it is the target's own.
  kUnexpectedBytes,  ///< Bytes while no response was due.
};

/// HTTP client for a single target.
///
/// Runs on the thread of its io_context; hooks are called on that thread. A
/// call is cancelled by destroying it.
class TargetClient {
 public:
  /// Callbacks of one call, invoked in the order head, body..., end. `on_end`
  /// is invoked exactly once unless the call is destroyed first.
  struct Hooks {
    /// Called before the first byte is written; from then on the request may
    /// have been executed. Returning false stops the call before that byte.
    std::function<bool()> on_before_write;
    /// `status` is between 200 and 599; the call fails on any other.
    std::function<void(int status, std::vector<HttpHeader>)> on_head;
    std::function<void(std::string_view data)> on_body;
    /// Bytes from the target were not taken for the answer to this call, or
    /// had arrived on an idle connection that the call then did not use.
    std::function<void(StrayAnswer)> on_stray_answer;
    /// The body ended according to its framing. `on_end` follows, with an error
    /// if the response was truncated nevertheless.
    std::function<void(const AnswerBodyEnd&)> on_body_end;
    /// Success if the response is complete. Otherwise the error tells how far
    /// the call got: `kUnavailable` before the first byte was written, else
    /// `kUnknownEffect` or `kTimeout`.
    std::function<void(Status)> on_end;
  };

  /// One call in flight.
  class Call {
   public:
    virtual ~Call() = default;
    /// Pauses or resumes reading the response, for back-pressure.
    virtual void PauseReading(bool pause) = 0;
  };

  virtual ~TargetClient() = default;

  virtual std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_TARGET_CLIENT_H_
