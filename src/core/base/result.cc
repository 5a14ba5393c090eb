#include "core/base/result.h"

#include <sstream>

namespace indigolead {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return "invalid-input";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownEffect:
      return "unknown-effect";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kStaleAuthority:
      return "stale-authority";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "invalid";
}

std::ostream& operator<<(std::ostream& os, const Error& error) {
  os << error.step;
  if (!error.peer.empty()) {
    os << " (" << error.peer << ")";
  }
  return os << ": " << ErrorCodeName(error.code) << ": " << error.detail;
}

std::string ToString(const Error& error) {
  std::ostringstream os;
  os << error;
  return os.str();
}

}  // namespace indigolead
