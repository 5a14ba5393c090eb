#ifndef INDIGOLEAD_CORE_ADMISSION_NAMED_LIMITS_H_
#define INDIGOLEAD_CORE_ADMISSION_NAMED_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// What the head of a target's answer says of the target's limit.
struct LimitNotice {
  std::optional<double> limit;  ///< Requests a second, of all entries together.
  /// The target ran the request. An answer of any other kind may come from a
  /// part of the target that does not know of its need, and ends no limit.
  bool served = false;
  TimePoint sent_at{};  ///< When the request was sent.

  friend bool operator==(const LimitNotice&, const LimitNotice&) = default;
};

/// A change of what is believed of a target's limit, in requests a second.
struct LimitChange {
  std::optional<double> before;
  std::optional<double> after;

  friend bool operator==(const LimitChange&, const LimitChange&) = default;
};

/// Remembers which targets say how many requests a second they take.
///
/// Not thread-safe. Memory: one record for each target that names a limit.
class NamedLimits {
 public:
  /// `max_unnamed` answers in a row without a limit end it.
  explicit NamedLimits(std::uint32_t max_unnamed = 2)
      : max_unnamed_(max_unnamed) {}

  /// Takes what an answer of `target` says. Returns the change of belief.
  std::optional<LimitChange> OnAnswer(const std::string& target,
                                      const LimitNotice& notice, TimePoint now);

  /// Takes what other entries have told of `target`, which changed. Returns the
  /// change of belief. What this entry was told itself is newer, and stays.
  std::optional<LimitChange> OnShared(const std::string& target,
                                      std::optional<double> limit,
                                      TimePoint now);

  /// The target's run is over, and its limit with it.
  void Forget(const std::string& target) { limits_.erase(target); }

  /// Returns the limit in force, in requests a second, or nothing.
  std::optional<double> Find(const std::string& target) const;

  /// Returns the number of targets with a limit.
  std::size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    double value = 0;
    TimePoint named_at{};       ///< When it was named last.
    std::uint32_t unnamed = 0;  ///< Answers without it since, in a row.
  };

  std::uint32_t max_unnamed_;
  std::map<std::string, Limit> limits_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_NAMED_LIMITS_H_
