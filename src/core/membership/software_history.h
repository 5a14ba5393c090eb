#ifndef INDIGOLEAD_CORE_MEMBERSHIP_SOFTWARE_HISTORY_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_SOFTWARE_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/membership/target_directory.h"

namespace indigolead {

/// The software versions that each service was listed with.
///
/// Proves which version began a stream that no entry has a record of: if only
/// one was listed for as long as a stream lives, it was that one. A list that
/// is up to date says nothing about versions that have left before it, so the
/// proof needs a history without gaps.
class SoftwareHistory {
 public:
  struct Options {
    /// Longest life of a stream, over all requests that continue it.
    Duration stream_life = std::chrono::seconds(60);
    /// Nothing ran before this process started, so its history is complete from
    /// the first list.
    bool first_start = false;
  };

  explicit SoftwareHistory(const Options& options) : options_(options) {}

  /// Handles a complete list of the targets. It holds until the next one.
  void OnListed(const std::vector<TargetRecord>& listed, TimePoint now);
  /// Handles targets that are listed now, or were lately, without the others:
  /// they prove nothing about versions that are not among them.
  void OnSeen(const std::vector<TargetRecord>& seen, TimePoint now);
  /// Lists may be missing from now on.
  void OnStoreLost() { complete_since_.reset(); }
  /// The last list is current again.
  void OnStoreFollowed(TimePoint now);

  /// Returns the only version that can have begun a stream of `service` that is
  /// alive now; nothing if there are several or the history is too short.
  std::optional<std::string> OnlyVersion(const std::string& service,
                                         TimePoint now) const;

  /// Returns the only version that `service` was listed with during a stream's
  /// life, as far as this process has seen; nothing if there are several. Not a
  /// proof: the process may have started, or lost the store, in that time.
  std::optional<std::string> OnlyVersionSeen(const std::string& service,
                                             TimePoint now) const;

 private:
  /// When each version was last listed; unset while it is.
  using Versions = std::map<std::string, std::optional<TimePoint>>;

  Options options_;
  std::map<std::string, Versions> services_;
  std::optional<TimePoint> complete_since_;  ///< Unset: a gap, or no list yet.
  bool any_list_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_SOFTWARE_HISTORY_H_
