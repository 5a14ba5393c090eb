#ifndef INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_

#include <string>
#include <string_view>

#include "core/base/result.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Returns the record as JSON, for the store.
std::string EncodeEntryUsage(const EntryUsage& usage);

/// Reads a record that `EncodeEntryUsage` made; an error if it is anything
/// else.
Result<EntryUsage> DecodeEntryUsage(std::string_view json);

/// Returns the settled reports as JSON, for the store.
std::string EncodeFixedUsage(const FixedUsage& usage);

/// Reads what `EncodeFixedUsage` made; an error if it is anything else, holds
/// no window, or leaves one out.
Result<FixedUsage> DecodeFixedUsage(std::string_view json);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_CODEC_H_
