#include "core/config/spec_diff.h"

#include <map>
#include <set>

#include "core/base/text_table.h"
#include "core/config/declaration_keys.h"

namespace indigolead {
namespace {

using Fields = std::map<std::string, std::string>;

/// Returns the fields of `spec`. A deployment that does not exist yet has no
/// fields rather than default ones.
Fields FieldsOf(const DeploymentSpec& spec) {
  return spec == DeploymentSpec{} ? Fields{} : FlattenSpec(spec);
}

std::string ValueIn(const Fields& fields, const std::string& path) {
  const auto it = fields.find(path);
  return it == fields.end() ? "" : it->second;
}

std::string ValueOrNone(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

}  // namespace

std::vector<FieldChange> DiffSpecs(const DeploymentSpec& before,
                                   const DeploymentSpec& after) {
  const Fields old_fields = FieldsOf(before);
  const Fields new_fields = FieldsOf(after);
  Fields all = old_fields;
  all.insert(new_fields.begin(), new_fields.end());
  std::vector<FieldChange> changes;
  for (const auto& [path, value] : all) {
    FieldChange change{path, ValueIn(old_fields, path),
                       ValueIn(new_fields, path)};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<EditConflict> CompareEdits(const DeploymentSpec& base,
                                       const DeploymentSpec& yours,
                                       const DeploymentSpec& theirs) {
  const Fields base_fields = FieldsOf(base);
  const Fields your_fields = FieldsOf(yours);
  const Fields their_fields = FieldsOf(theirs);
  Fields all = base_fields;
  all.insert(your_fields.begin(), your_fields.end());
  all.insert(their_fields.begin(), their_fields.end());
  std::vector<EditConflict> conflicts;
  for (const auto& [path, value] : all) {
    EditConflict conflict{path, ValueIn(base_fields, path),
                          ValueIn(your_fields, path),
                          ValueIn(their_fields, path), false};
    const bool by_you = conflict.yours != conflict.base;
    const bool by_them = conflict.theirs != conflict.base;
    conflict.changed_by_both =
        by_you && by_them && conflict.yours != conflict.theirs;
    if (by_you || by_them) {
      conflicts.push_back(std::move(conflict));
    }
  }
  return conflicts;
}

std::string ToText(const std::vector<FieldChange>& changes) {
  std::string text;
  for (const FieldChange& it : changes) {
    text += "  " + it.path + ": " + ValueOrNone(it.before) + " -> " +
            ValueOrNone(it.after) + "\n";
  }
  return text;
}

std::string ToText(const std::vector<EditConflict>& conflicts) {
  TextTable table({"field", "was", "yours", "theirs", ""});
  for (const EditConflict& it : conflicts) {
    table.AddRow({it.path, ValueOrNone(it.base), ValueOrNone(it.yours),
                  ValueOrNone(it.theirs),
                  it.changed_by_both ? "both changed it" : ""});
  }
  return table.ToText();
}

}  // namespace indigolead
