#ifndef INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_
#define INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_

// JSON encoding of a revision, as stored in the object API and exchanged
// between processes. Durations are integers in microseconds with names that end
// in "_us"; digests are 16 hexadecimal digits.

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/result.h"
#include "core/config/deployment.h"

namespace indigolead {

/// Returns `revision` as one line of JSON with keys in alphabetical order.
std::string ToJson(const Revision& revision);

/// Returns `spec` as one line of JSON with keys in alphabetical order, so that
/// equal specifications give equal text.
std::string ToJson(const DeploymentSpec& spec);

/// Parses a revision from `json`.
///
/// Unknown fields are ignored and missing ones keep their defaults, so that
/// processes of adjacent versions can read each other's revisions. A field of
/// the wrong type or out of range is an error that names the field, since a
/// misread value would take effect on every instance within seconds.
Result<Revision> RevisionFromJson(std::string_view json);

/// Returns the XXH64 hash of the JSON form of `spec`.
std::uint64_t SpecDigest(const DeploymentSpec& spec);

/// Returns `digest` as 16 lower-case hexadecimal digits.
std::string DigestText(std::uint64_t digest);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_REVISION_JSON_H_
