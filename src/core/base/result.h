#ifndef INDIGOLEAD_CORE_BASE_RESULT_H_
#define INDIGOLEAD_CORE_BASE_RESULT_H_

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace indigolead {

/// Classifies an error by what the caller of the failed step can do next.
enum class ErrorCode {
  kInvalidInput,    ///< The input is wrong; repeating it cannot help.
  kNotFound,        ///< The named thing does not exist.
  kConflict,        ///< A condition on a version did not hold.
  kTimeout,         ///< No answer came in time; the effect is unknown.
  kUnavailable,     ///< The peer refused or could not be reached; no effect.
  kUnknownEffect,   ///< The connection broke after sending; effect unknown.
  kOverloaded,      ///< A limit was reached; no effect.
  kStaleAuthority,  ///< The fencing number or epoch is out of date; no effect.
  kProtocol,        ///< The peer violated the protocol.
  kInternal,        ///< A broken invariant of this program.
};

/// Returns the stable, lower-case name of `code`, as used in logs.
std::string_view ErrorCodeName(ErrorCode code);

/// Describes what failed, in which step and at which peer.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;    ///< Step that failed, such as "store.put".
  std::string peer;    ///< Peer at which it failed; empty if none is involved.
  std::string detail;  ///< Expected and actual state, and what to do.

  friend bool operator==(const Error&, const Error&) = default;
};

/// Prints "step (peer): code: detail".
std::ostream& operator<<(std::ostream& os, const Error& error);

/// Returns the text that `operator<<` prints.
std::string ToString(const Error& error);

/// Holds either a value or the error that prevented it.
template <typename T>
using Result = std::variant<T, Error>;

/// Value of a step that returns nothing.
struct Unit {
  friend bool operator==(const Unit&, const Unit&) = default;
};

/// Result of a step without a value.
using Status = Result<Unit>;

/// Returns true if `result` holds a value.
template <typename T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// Returns the value of `result`, which must hold one.
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

/// Returns the value of `result`, which must hold one, ready to be moved from.
template <typename T>
T&& ValueOf(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

/// Returns the error of `result`, which must hold one.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_RESULT_H_
