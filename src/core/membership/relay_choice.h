#ifndef INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// An entry that can relay the store's changes to other entries.
struct RelayCandidate {
  std::string name;
  std::string failure_domain;
  std::string address;   ///< "IP:port" that serves the other entries.
  double processor = 0;  ///< CPU allotment in cores.

  friend bool operator==(const RelayCandidate&,
                         const RelayCandidate&) = default;
};

/// Selects the entry that relays the store's changes to this one.
///
/// The entries of a failure domain have the same list, so without coordination
/// they all prefer the entry with the largest CPU allotment. If its CPU does
/// not suffice for all of them, they are spread over as many of the next
/// entries as needed. A relay that failed is avoided for a while, and each
/// entry that saw it fail uses the next one. Nothing is relayed between failure
/// domains, so that no domain depends on another.
class RelayChoice {
 public:
  struct Options {
    std::string own_name;
    std::string failure_domain;
    /// With fewer entries in the failure domain, each reads the store itself,
    /// which then takes no more calls than a relay makes.
    std::size_t min_entries = 8;
    /// Entries to which a relay with one whole core may relay (its followers).
    /// Each costs up to a ten thousandth of a core during bursts of changes, so
    /// relaying takes at most a tenth of the relay's CPU.
    double followers_per_core = 1000;
    /// Time for which a relay is avoided after its first failure; doubles with
    /// each further one. A relay that is gone stays listed for minutes, and
    /// each request to it delays changes for all entries that it relays to.
    Duration min_avoid_time = std::chrono::seconds(10);
    Duration max_avoid_time = std::chrono::minutes(5);
  };

  explicit RelayChoice(Options options) : options_(std::move(options)) {}

  /// Sets the list of live entries.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// Records that relay `name` failed to answer a request.
  void OnFailed(const std::string& name, TimePoint now);

  /// Records that relay `name` answered a request.
  void OnAnswered(const std::string& name) { avoided_.erase(name); }

  /// Returns the entry to use as relay, which may be this one; unset if this
  /// entry is to read the store itself without relaying to others.
  std::optional<RelayCandidate> SelectRelay(TimePoint now) const;

 private:
  struct Avoided {
    TimePoint until{};
    Duration length{0};
  };

  std::size_t RelaysNeeded() const;

  Options options_;
  std::vector<RelayCandidate> ranked_;      ///< Own domain, best first.
  std::map<std::string, Avoided> avoided_;  ///< Failed since last answer.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_
