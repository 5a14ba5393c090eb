#ifndef INDIGOLEAD_STORE_LISTED_INSTANCES_H_
#define INDIGOLEAD_STORE_LISTED_INSTANCES_H_

#include <vector>

#include "core/membership/connection_plan.h"
#include "store/object_store.h"

namespace indigolead {

/// Converts the platform's instance list to the form that membership uses.
/// Leaves out instances of an unknown kind.
inline std::vector<ListedInstance> ToListedInstances(const InstanceList& list) {
  std::vector<ListedInstance> listed;
  for (const InstanceRecord& record : list.instances) {
    if (record.kind != "entry" && record.kind != "target") {
      continue;
    }
    listed.push_back(
        {record.name,
         record.kind == "entry" ? MemberKind::kEntry : MemberKind::kSide,
         record.failure_domain, record.region, record.link_address,
         record.state == InstanceState::kLeaving});
  }
  return listed;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_LISTED_INSTANCES_H_
