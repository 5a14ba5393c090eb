#include "core/config/change_plan.h"

#include "core/config/revision_json.h"

namespace indigolead {

ChangeKind PlanChange(const DeploymentSpec& wanted,
                      const std::optional<Revision>& live,
                      const std::optional<std::uint64_t>& base_number) {
  if (live && live->spec == wanted) {
    return ChangeKind::kNone;
  }
  const std::uint64_t live_number = live ? live->number : 0;
  if (base_number) {
    if (*base_number != live_number) {
      return ChangeKind::kConflict;
    }
    return live ? ChangeKind::kUpdate : ChangeKind::kCreate;
  }
  return live ? ChangeKind::kUnknownBase : ChangeKind::kCreate;
}

Revision NextRevision(const DeploymentSpec& wanted,
                      const std::optional<Revision>& live,
                      const ChangeOrigin& origin) {
  Revision next;
  next.number = live ? live->number + 1 : 1;
  next.spec = wanted;
  next.author = origin.author;
  next.accepted_at = origin.at;
  next.source_version = origin.source_version;
  next.digest = SpecDigest(wanted);
  next.note = origin.note;
  next.nonce = origin.nonce;
  return next;
}

}  // namespace indigolead
