#ifndef INDIGOLEAD_CORE_CONFIG_CHANGE_PLAN_H_
#define INDIGOLEAD_CORE_CONFIG_CHANGE_PLAN_H_

// Decides what an operator's edit of one deployment may do, from the revision
// that is live and the one that the edit was made from.

#include <cstdint>
#include <optional>
#include <string>

#include "core/config/deployment.h"

namespace indigolead {

/// What applying an edit comes to.
enum class ChangeKind {
  kNone,      ///< The live revision has this very specification.
  kCreate,    ///< There is no live revision.
  kUpdate,    ///< The edit was made from the live revision.
  kConflict,  ///< The edit was made from another revision than the live one.
  kUnseen,    ///< It isn't known which revision the edit was made from.
};

/// Returns what applying `wanted` comes to. `seen` is the number of the
/// revision that the edit was made from; 0: there was none.
///
/// The failure prevented: two operators edit the same revision, and the one
/// who applies last undoes the other's change without a word. A check of the
/// store's version alone would not do, since both read it just before they
/// write.
ChangeKind PlanChange(const DeploymentSpec& wanted,
                      const std::optional<Revision>& live,
                      const std::optional<std::uint64_t>& seen);

/// Who makes a change, when and why.
struct ChangeOrigin {
  std::string author;
  WallMicros at = 0;
  std::string source_version;
  std::string note;
  std::string nonce;

  friend bool operator==(const ChangeOrigin&, const ChangeOrigin&) = default;
};

/// Returns the revision that follows `live` with the specification `wanted`.
Revision NextRevision(const DeploymentSpec& wanted,
                      const std::optional<Revision>& live,
                      const ChangeOrigin& origin);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_CHANGE_PLAN_H_
