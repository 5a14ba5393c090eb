#ifndef INDIGOLEAD_SIDE_LEAVE_REASONS_H_
#define INDIGOLEAD_SIDE_LEAVE_REASONS_H_

#include <cstdint>
#include <string>

namespace indigolead {

/// Reasons for which a side leaves. They are tracked separately, so that
/// withdrawing one does not withdraw another.
enum class LeaveReason : std::uint8_t {
  kStop = 1,          ///< A planned stop of this process; never withdrawn.
  kInstanceList = 2,  ///< The platform's list marks the instance as leaving.
  kNotice = 4,        ///< An entry forwarded an operator's drain.
  kStore = 8,         ///< The store has a drain record of this instance.
};

/// Set of the reasons that currently apply.
class LeaveReasons {
 public:
  /// Sets or clears `reason`. Returns true if this changed `leaving()`.
  bool Set(LeaveReason reason, bool active) {
    const bool before = leaving();
    const auto bit = static_cast<std::uint8_t>(reason);
    if (active) {
      reasons_ |= bit;
    } else if (reason != LeaveReason::kStop) {
      reasons_ &= static_cast<std::uint8_t>(~bit);
    }
    return leaving() != before;
  }

  bool leaving() const { return reasons_ != 0; }
  bool stopping() const {
    return (reasons_ & static_cast<std::uint8_t>(LeaveReason::kStop)) != 0;
  }

 private:
  std::uint8_t reasons_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_LEAVE_REASONS_H_
