#include "core/usage/usage_types.h"

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
  return window * ToMicros(length);
}

}  // namespace indigolead
