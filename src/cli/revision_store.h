#ifndef INDIGOLEAD_CLI_REVISION_STORE_H_
#define INDIGOLEAD_CLI_REVISION_STORE_H_

// Reads and writes deployment revisions through the object API.

#include <optional>
#include <string>
#include <vector>

#include "cli/operator_store.h"
#include "core/config/change_plan.h"
#include "core/config/deployment.h"

namespace indigolead::cli {

/// Number of earlier revisions kept for each deployment.
inline constexpr std::uint64_t kHistoryKept = 100;

/// Newest revision of a deployment and the object that stores it.
struct LiveRevision {
  Revision revision;
  StoredObject object;
};

/// Returns the newest revision of `deployment`, or nullopt if there is none.
Result<std::optional<LiveRevision>> ReadLive(OperatorStore* store,
                                             const std::string& deployment);

/// Returns the newest revision of every deployment, sorted by name.
Result<std::vector<LiveRevision>> ReadAllLive(OperatorStore* store);

/// Returns all kept revisions of `deployment`, newest first.
Result<std::vector<Revision>> ReadHistory(OperatorStore* store,
                                          const std::string& deployment);

/// Replaces the newest revision `live` by `next` and keeps `live` in the
/// history. Fails with `kConflict`, without replacing it, if `live` is no
/// longer the newest.
Status WriteNext(OperatorStore* store, const std::optional<LiveRevision>& live,
                 const Revision& next);

/// Returns the origin of a change from --author, --note and --source_version.
/// Without --source_version, uses the version-control revision of `directory`,
/// which may be empty.
ChangeOrigin OriginFromFlags(const std::string& directory);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_REVISION_STORE_H_
