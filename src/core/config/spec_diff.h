#ifndef INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_
#define INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_

// Compares deployments field by field for display to operators.

#include <string>
#include <vector>

#include "core/config/deployment.h"

namespace indigolead {

/// One field that differs. An empty text means that the field is absent.
struct FieldChange {
  std::string path;  ///< See `FlattenSpec`.
  std::string before;
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// Returns the fields that differ between `before` and `after`, ordered by
/// path.
std::vector<FieldChange> DiffSpecs(const DeploymentSpec& before,
                                   const DeploymentSpec& after);

/// One field that at least one of two concurrent edits of a revision changed.
struct EditConflict {
  std::string path;
  std::string base;    ///< In the common base revision.
  std::string yours;   ///< In the rejected edit.
  std::string theirs;  ///< In the live revision.
  /// Both edits changed the field, to different values.
  bool changed_by_both = false;

  friend bool operator==(const EditConflict&, const EditConflict&) = default;
};

/// Returns the fields that `yours` or `theirs` changed in `base`.
std::vector<EditConflict> CompareEdits(const DeploymentSpec& base,
                                       const DeploymentSpec& yours,
                                       const DeploymentSpec& theirs);

/// Returns `changes` as lines "  path: before -> after".
std::string ToText(const std::vector<FieldChange>& changes);

/// Returns `conflicts` as a table with the columns field, was, yours, theirs,
/// and an untitled one that marks the fields changed by both edits.
std::string ToText(const std::vector<EditConflict>& conflicts);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_SPEC_DIFF_H_
