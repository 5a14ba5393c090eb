#ifndef INDIGOLEAD_SIDE_LEAVING_H_
#define INDIGOLEAD_SIDE_LEAVING_H_

#include <cstdint>
#include <string>

namespace indigolead {

/// Reasons for which a side leaves. They are tracked separately, so that
/// withdrawing one does not withdraw another.
enum class LeavingSign : std::uint8_t {
  kStop = 1,          ///< A planned stop of this process; never withdrawn.
  kInstanceList = 2,  ///< The platform's list marks the instance as leaving.
  kNotice = 4,        ///< An entry forwarded an operator's drain.
  kStore = 8,         ///< The store has a drain record of this instance.
};

/// Set of the reasons that currently apply.
class LeavingSigns {
 public:
  /// Sets or clears `sign`. Returns true if this changed `leaving()`.
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
