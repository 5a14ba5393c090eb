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
struct CallerDisconnected {
  RequestId request;
};

/// Bytes of an answer were written to the caller's socket.
struct AnswerBytesWritten {
  RequestId request;
  std::uint64_t bytes = 0;
};

/// A message from the callers' thread to the dispatch thread. Requests are held
/// by pointer to keep the mailbox entries small.
using ToDispatch =
    std::variant<std::monostate, std::shared_ptr<const CallerRequest>,
                 CallerDisconnected, AnswerBytesWritten>;

/// A newer catalogue, used to look up callers.
struct CatalogueChanged {
  std::shared_ptr<const Catalogue> catalogue;
};

/// A message from the dispatch thread to the callers' thread.
using ToCallers =
    std::variant<std::monostate, AnswerHead, AnswerData, AnswerEnd, AnswerWhole,
                 AnswerRefusal, AnswerAbort, CatalogueChanged>;

/// A deployment's revision, read from the store.
struct RevisionRead {
  std::string json;
};

/// The platform's current instance list.
struct InstanceListRead {
  InstanceList list;
};

/// The complete list of instances that an operator is draining.
struct DrainListRead {
  std::vector<std::string> instances;
};

/// An event from the platform thread to the dispatch thread.
using PlatformEvent =
    std::variant<std::monostate, RevisionRead, InstanceListRead, DrainListRead>;

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_MESSAGES_H_
