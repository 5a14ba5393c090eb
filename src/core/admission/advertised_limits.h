#ifndef INDIGOLEAD_CORE_ADMISSION_ADVERTISED_LIMITS_H_
#define INDIGOLEAD_CORE_ADMISSION_ADVERTISED_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// Rate limit information in the header fields of a target's answer.
struct LimitNotice {
  std::optional<double> limit;  ///< Requests per second from all entries.
  /// True if the target ran the request. Other answers may come from a
  /// component of the target that does not know its limit, and do not end a
  /// limit.
  bool served = false;
  TimePoint sent_at{};  ///< Time at which the request was sent.

  friend bool operator==(const LimitNotice&, const LimitNotice&) = default;
};

/// Change of the limit in force for a target, in requests per second.
struct LimitChange {
  std::optional<double> before;
  std::optional<double> after;

  friend bool operator==(const LimitChange&, const LimitChange&) = default;
};

/// Stores the rate limits that targets advertise in their answers.
///
/// Not thread-safe. Uses one record per target with a limit.
class AdvertisedLimits {
 public:
  /// A limit ends after `max_missing` consecutive answers without it, each to a
  /// request that the target ran.
  explicit AdvertisedLimits(std::uint32_t max_missing = 2)
      : max_missing_(max_missing) {}

  /// Processes the notice in an answer of `target`. Returns the change of the
  /// limit, if any.
  std::optional<LimitChange> OnAnswer(const std::string& target,
                                      const LimitNotice& notice, TimePoint now);

  /// Processes a changed limit of `target` that other entries have shared.
  /// Returns the change of the limit, if any. A shared value starts or ends a
  /// limit but does not replace a value that is in force: the one that this
  /// entry received itself is newer.
  std::optional<LimitChange> OnShared(const std::string& target,
                                      std::optional<double> limit,
                                      TimePoint now);

  /// Removes the limit of `target`. Called when the target's process has ended.
  void Forget(const std::string& target) { limits_.erase(target); }

  /// Returns the limit in force in requests per second, if any.
  std::optional<double> Find(const std::string& target) const;

  /// Returns the number of targets with a limit.
  std::size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    double value = 0;
    TimePoint advertised_at{};  ///< Time of the latest value.
    std::uint32_t missing = 0;  ///< Consecutive answers without it since then.
  };

  std::uint32_t max_missing_;
  std::map<std::string, Limit> limits_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ADVERTISED_LIMITS_H_
