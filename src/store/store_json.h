#ifndef INDIGOLEAD_STORE_STORE_JSON_H_
#define INDIGOLEAD_STORE_STORE_JSON_H_

#include <optional>
#include <string>
#include <variant>

#include "store/object_store.h"

namespace indigolead::internal {

/// Parses the body of `GET /v1/objects?prefix=P`. Returns nothing if it does
/// not conform to docs/INTERFACES.md.
std::optional<ObjectStore::Listing> ParseListing(const std::string& body);

/// Parses the body of `GET /v1/instances`. Returns nothing if it does not
/// conform.
std::optional<InstanceList> ParseInstanceList(const std::string& body);

/// Keep-alive line of a watch.
struct IdleLine {
  friend bool operator==(const IdleLine&, const IdleLine&) = default;
};

/// Parses one line of `GET /v1/watch`. Returns nothing if it does not conform.
std::optional<std::variant<WatchEvent, IdleLine>> ParseWatchLine(
    const std::string& line);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_STORE_STORE_JSON_H_
