#ifndef INDIGOLEAD_CORE_CONFIG_CHANGE_PLAN_H_
#define INDIGOLEAD_CORE_CONFIG_CHANGE_PLAN_H_

// Classifies an operator's edit of a deployment by comparing the live revision
// with the revision that the edit is based on.

#include <cstdint>
#include <optional>
#include <string>

#include "core/config/deployment.h"

namespace indigolead {

/// Result of comparing an edit with the live revision.
enum class ChangeKind {
  kNone,         ///< The live revision already has this specification.
  kCreate,       ///< There is no live revision.
  kUpdate,       ///< The edit is based on the live revision.
  kConflict,     ///< The edit is based on a revision that is not live.
  kUnknownBase,  ///< The base revision of the edit is unknown.
};

/// Returns the kind of change that applying `wanted` makes. `base_number` is
/// the number of the revision that the edit is based on, or 0 if there was
/// none.
///
/// Prevents a lost update: of two operators who edit the same revision, the
/// second to apply would silently undo the first one's change. Checking the
/// store's version is not enough, since both read it just before they write.
ChangeKind PlanChange(const DeploymentSpec& wanted,
                      const std::optional<Revision>& live,
                      const std::optional<std::uint64_t>& base_number);

/// Author, time and reason of a change.
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
