#ifndef INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_
#define INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_

// The JSON form of a revision, as it is kept in the object API and passed
// between processes. Durations are integers in microseconds and their names
// end with "_us"; digests are 16 hexadecimal digits.

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/result.h"
#include "core/config/deployment.h"

namespace indigolead {

/// Returns `revision` as JSON on one line, its keys in alphabetical order.
std::string ToJson(const Revision& revision);

/// Returns `spec` as JSON on one line, its keys in alphabetical order: equal
/// specifications give equal text.
std::string ToJson(const DeploymentSpec& spec);

/// Returns the revision written as `json`.
///
/// Unknown fields are ignored and missing ones keep their defaults, so that
/// processes of neighbouring versions read each other's revisions. A field of
/// the wrong type or out of range is an error that names it: a value read
/// wrongly would be in force everywhere within seconds.
Result<Revision> RevisionFromJson(std::string_view json);

/// Returns the XXH64 hash of the JSON form of `spec`.
std::uint64_t SpecDigest(const DeploymentSpec& spec);

/// Returns `digest` as 16 lower-case hexadecimal digits.
std::string DigestText(std::uint64_t digest);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_
