#ifndef INDIGOLEAD_STORE_STORE_JSON_H_
#define INDIGOLEAD_STORE_STORE_JSON_H_

#include <optional>
#include <string>
#include <variant>

#include "store/object_store.h"

namespace indigolead::internal {

/// Returns the listing in the body of `GET /v1/objects?prefix=P`, or nothing
/// if it does not follow docs/INTERFACES.md.
std::optional<ObjectStore::Listing> ParseListing(const std::string& body);

/// Returns the list in the body of `GET /v1/instances`, or nothing likewise.
std::optional<InstanceList> ParseInstanceList(const std::string& body);

/// Line of a watch that only shows that it is alive.
struct IdleLine {
  friend bool operator==(const IdleLine&, const IdleLine&) = default;
};

/// Returns what one line of `GET /v1/watch` says, or nothing likewise.
std::optional<std::variant<WatchEvent, IdleLine>> ParseWatchLine(
    const std::string& line);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_STORE_STORE_JSON_H_
