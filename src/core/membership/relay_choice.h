#ifndef INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// One entry that may relay the store's changes to others.
struct RelayCandidate {
  std::string name;
  std::string failure_domain;
  std::string address;   ///< "IP:port" at which it takes their questions.
  double processor = 0;  ///< Share of a core that it has.

  friend bool operator==(const RelayCandidate&,
                         const RelayCandidate&) = default;
};

/// Chooses the entry that relays the store's changes to this one.
///
/// The entries of a failure domain prefer the same one, that with the most
/// processor, without asking anyone: they have the same list. Where its
/// processor does not suffice for all of them, as many of the next are shared
/// among them as it takes. A relay that failed is avoided for a while, and all
/// who saw it fail move on to the next one. Nothing is relayed between failure
/// domains, so each domain depends on none of the others.
class RelayChoice {
 public:
  struct Options {
    std::string own_name;
    std::string failure_domain;
    /// With fewer entries in the failure domain each reads the store itself,
    /// which is then no more calls than a relay makes.
    std::size_t least_entries = 8;
    /// Entries to which one with a whole core may relay. Each takes up to a ten
    /// thousandth of a core of it in swarms of changes, so that relaying is a
    /// tenth of what the entry has.
    double followers_per_core = 1000;
    /// A relay that failed is not asked again for so long at first, twice as
    /// long after each failure more. One that is gone stays listed for minutes,
    /// and each time it is asked delays what all others learn.
    Duration avoid_for = std::chrono::seconds(10);
    Duration longest_avoid = std::chrono::minutes(5);
  };

  explicit RelayChoice(Options options) : options_(std::move(options)) {}

  /// Takes the list of entries that are alive.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// `name` did not relay what it was asked for.
  void OnFailed(const std::string& name, TimePoint now);

  /// `name` relayed what it was asked for.
  void OnAnswered(const std::string& name) { avoided_.erase(name); }

  /// Returns the entry to ask, which may be this one; nothing if this entry is
  /// to read the store without telling others.
  std::optional<RelayCandidate> Best(TimePoint now) const;

 private:
  struct Avoided {
    TimePoint until{};
    Duration length{0};
  };

  std::size_t RelaysNeeded() const;

  Options options_;
  std::vector<RelayCandidate> ranked_;      ///< Of the own domain, best first.
  std::map<std::string, Avoided> avoided_;  ///< Failed since they answered.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_RELAY_CHOICE_H_
