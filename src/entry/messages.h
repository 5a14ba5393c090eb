#ifndef INDIGOLEAD_ENTRY_MESSAGES_H_
#define INDIGOLEAD_ENTRY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/request/catalogue.h"
#include "core/request/request_types.h"
#include "store/object_store.h"

namespace indigolead {

/// The caller of a request has disconnected.
struct CallerGone {
  RequestId request;
};

/// The caller of a request has taken a part of its answer.
struct CallerTook {
  RequestId request;
  std::uint64_t bytes = 0;
};

/// From the callers' thread to the dispatch thread. Boxed requests keep the
/// ring's places small.
using ToDispatch =
    std::variant<std::monostate, std::shared_ptr<const CallerRequest>,
                 CallerGone, CallerTook>;

/// A newer configuration, for looking up callers.
struct CatalogueChanged {
  std::shared_ptr<const Catalogue> catalogue;
};

/// From the dispatch thread to the callers' thread.
using ToCallers =
    std::variant<std::monostate, AnswerHead, AnswerData, AnswerEnd, AnswerWhole,
                 AnswerRefusal, AnswerAbort, CatalogueChanged>;

/// A deployment's revision, read from the store.
struct RevisionSeen {
  std::string json;
};

/// The instance list, as the platform has it now.
struct InstancesSeen {
  InstanceList list;
};

/// An operator's drains, all of them.
struct DrainsSeen {
  std::vector<std::string> instances;
};

/// From the platform thread to the dispatch thread.
using PlatformEvent =
    std::variant<std::monostate, RevisionSeen, InstancesSeen, DrainsSeen>;

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_MESSAGES_H_
