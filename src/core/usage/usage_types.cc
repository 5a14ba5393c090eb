#include "core/usage/usage_types.h"

#include <limits>

namespace indigolead {
namespace {

WallMicros ToMicros(Duration length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

}  // namespace

UsageWindow WindowAt(WallMicros at, Duration length) {
  return at / ToMicros(length);
}

WallMicros StartOf(UsageWindow window, Duration length) {
  WallMicros start = 0;
  // A window in a stored record may be any number.
  if (__builtin_mul_overflow(window, ToMicros(length), &start)) {
    return window < 0 ? std::numeric_limits<WallMicros>::min()
                      : std::numeric_limits<WallMicros>::max();
  }
  return start;
}

}  // namespace indigolead
