#ifndef INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_
#define INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_

// Compares deployments field by field, for people.

#include <string>
#include <vector>

#include "core/config/deployment.h"

namespace indigolead {

/// One field that differs. Empty text: the field is absent there.
struct FieldChange {
  std::string path;  ///< See `FlattenSpec`.
  std::string before;
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// Returns the fields that differ between `before` and `after`, by path.
std::vector<FieldChange> DiffSpecs(const DeploymentSpec& before,
                                   const DeploymentSpec& after);

/// One field that two racing edits of the same revision leave unequal, or
/// that one of them changed.
struct EditConflict {
  std::string path;
  std::string base;    ///< In the revision that the edit was made from.
  std::string yours;   ///< In the edit that was refused.
  std::string theirs;  ///< In the revision that is live.
  bool both = false;   ///< Both edits changed it, to different values.

  friend bool operator==(const EditConflict&, const EditConflict&) = default;
};

/// Returns the fields that `yours` or `theirs` changed in `base`.
std::vector<EditConflict> CompareEdits(const DeploymentSpec& base,
                                       const DeploymentSpec& yours,
                                       const DeploymentSpec& theirs);

/// Returns `changes` as lines "  path: before -> after".
std::string ToText(const std::vector<FieldChange>& changes);

/// Returns `conflicts` as a table with the columns field, was, yours, theirs.
std::string ToText(const std::vector<EditConflict>& conflicts);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_
