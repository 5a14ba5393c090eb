#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATION_KEYS_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATION_KEYS_H_

// Defines every declaration key in one place. The reader, the writer, the
// comparison of edits and docs/DECLARATIONS.md are driven by these tables.

#include <map>
#include <string>
#include <vector>

#include "core/config/deployment.h"
#include "core/config/key_rules.h"

namespace indigolead {

/// Returns the keys of "[template NAME]".
const std::vector<KeyRow<DeploymentSpec>>& DeploymentKeys();

/// Returns the keys of "[template NAME model MODEL]".
const std::vector<KeyRow<ModelSpec>>& ModelKeys();

/// Returns the keys of "[client-account DEPLOYMENT NAME]" and of
/// "[template NAME client-account]".
const std::vector<KeyRow<ClientAccountSpec>>& ClientAccountKeys();

/// Returns the row for `key`, or null if there is none.
template <typename Owner>
const KeyRow<Owner>* FindKey(const std::vector<KeyRow<Owner>>& rows,
                             const std::string& key) {
  for (const KeyRow<Owner>& it : rows) {
    if (it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

/// Returns the keys of `rows` in table order.
template <typename Owner>
std::vector<std::string> KeyNames(const std::vector<KeyRow<Owner>>& rows) {
  std::vector<std::string> names;
  names.reserve(rows.size());
  for (const KeyRow<Owner>& it : rows) {
    names.push_back(it.key);
  }
  return names;
}

/// Returns the text of every field of `spec`, keyed by its path, such as
/// "deadline", "model tarifa version" or "client-account gran-via priority".
std::map<std::string, std::string> FlattenSpec(const DeploymentSpec& spec);

/// Returns the reference page of declarations, in Markdown.
std::string DeclarationsMarkdown();

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATION_KEYS_H_
