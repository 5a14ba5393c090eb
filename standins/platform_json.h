#ifndef INDIGOLEAD_STANDINS_PLATFORM_JSON_H_
#define INDIGOLEAD_STANDINS_PLATFORM_JSON_H_

#include <optional>
#include <string>
#include <vector>

#include "standins/platform_server.h"
#include "store/object_store.h"

namespace indigolead::standins {

/// Returns `listing` as the body of `GET /v1/objects?prefix=P`.
std::string ListingToJson(const ObjectStore::Listing& listing);

/// Returns `events` as JSON lines of the response to `GET /v1/watch`.
std::string EventsToJsonLines(const std::vector<WatchEvent>& events);

/// Returns `list` as the body of `GET /v1/instances`.
std::string InstanceListToJson(const InstanceList& list);

/// Parses `text`. Returns `std::nullopt` if it is not an instance record.
std::optional<InstanceRecord> InstanceFromJson(const std::string& text);

/// Returns `faults` as JSON.
std::string FaultsToJson(const PlatformFaults& faults);

/// Returns `before`, updated with the members of the JSON object `text`.
PlatformFaults FaultsFromJson(const std::string& text,
                              const PlatformFaults& before);

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_PLATFORM_JSON_H_
