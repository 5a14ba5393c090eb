#ifndef INDIGOLEAD_CLI_REVISION_STORE_H_
#define INDIGOLEAD_CLI_REVISION_STORE_H_

// Reads and writes the revisions of deployments in the object API.

#include <optional>
#include <string>
#include <vector>

#include "cli/operator_store.h"
#include "core/config/change_plan.h"
#include "core/config/deployment.h"

namespace indigolead::cli {

/// Earlier revisions of a deployment that are kept.
inline constexpr std::uint64_t kHistoryKept = 100;

/// The newest revision of a deployment with the object that holds it.
struct LiveRevision {
  Revision revision;
  StoredObject object;
};

/// Returns the newest revision of `deployment`; nothing if there is none.
Result<std::optional<LiveRevision>> ReadLive(OperatorStore* store,
                                             const std::string& deployment);

/// Returns the newest revision of every deployment, by name.
Result<std::vector<LiveRevision>> ReadAllLive(OperatorStore* store);

/// Returns the newest and the earlier revisions of `deployment`, newest first.
Result<std::vector<Revision>> ReadHistory(OperatorStore* store,
                                          const std::string& deployment);

/// Makes `next` the newest revision if `live` still is, and keeps `live` in
/// the history. Fails with `kConflict`, without effect, if it is not.
Status WriteNext(OperatorStore* store, const std::optional<LiveRevision>& live,
                 const Revision& next);

/// Returns who changes what from the flags: --author, --note,
/// --source_version. `directory` may be empty; else its version-control
/// revision is taken if the flag is absent.
ChangeOrigin OriginFromFlags(const std::string& directory);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_REVISION_STORE_H_
