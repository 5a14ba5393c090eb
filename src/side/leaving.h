#ifndef INDIGOLEAD_SIDE_LEAVING_H_
#define INDIGOLEAD_SIDE_LEAVING_H_

#include <cstdint>
#include <string>

namespace indigolead {

/// Sources that can make a side leave. Each is told apart, so that one that is
/// taken back does not undo another.
enum class LeavingSign : std::uint8_t {
  kStop = 1,          ///< A planned stop of this process; never taken back.
  kInstanceList = 2,  ///< The platform's list has the instance as leaving.
  kNotice = 4,        ///< An entry passed on an operator's drain.
  kStore = 8,         ///< The store holds a drain of this instance.
};

/// Keeps which signs are up.
class LeavingSigns {
 public:
  /// Sets or clears `sign`; returns true if `leaving()` changed by it.
  bool Set(LeavingSign sign, bool up) {
    const bool before = leaving();
    const auto bit = static_cast<std::uint8_t>(sign);
    if (up) {
      signs_ |= bit;
    } else if (sign != LeavingSign::kStop) {
      signs_ &= static_cast<std::uint8_t>(~bit);
    }
    return leaving() != before;
  }

  bool leaving() const { return signs_ != 0; }
  bool stopping() const {
    return (signs_ & static_cast<std::uint8_t>(LeavingSign::kStop)) != 0;
  }

 private:
  std::uint8_t signs_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_LEAVING_H_
