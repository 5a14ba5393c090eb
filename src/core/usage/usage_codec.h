#ifndef INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_

#include <string>
#include <string_view>

#include "core/base/result.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Encodes the record as JSON for the store.
std::string EncodeEntryUsage(const EntryUsage& usage);

/// Decodes the output of `EncodeEntryUsage`. Returns an error for other input.
Result<EntryUsage> DecodeEntryUsage(std::string_view json);

/// Encodes the finalized reports as JSON for the store.
std::string EncodeFinalizedUsage(const FinalizedUsage& usage);

/// Decodes the output of `EncodeFinalizedUsage`. Returns an error for other
/// input and for a list of windows that is empty or has gaps.
Result<FinalizedUsage> DecodeFinalizedUsage(std::string_view json);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_
