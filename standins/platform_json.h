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

/// Returns `events` as lines of `GET /v1/watch`.
std::string EventsToJsonLines(const std::vector<WatchEvent>& events);

/// Returns `list` as the body of `GET /v1/instances`.
std::string InstanceListToJson(const InstanceList& list);

/// Returns the record written as `text`, or nothing if it is not one.
std::optional<InstanceRecord> InstanceFromJson(const std::string& text);

/// Returns `faults` as JSON.
std::string FaultsToJson(const PlatformFaults& faults);

/// Returns `before` with the members that the JSON object `text` names.
PlatformFaults FaultsFromJson(const std::string& text,
                              const PlatformFaults& before);

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_PLATFORM_JSON_H_
