#ifndef INDIGOLEAD_ENTRY_STREAM_ARCHIVE_JSON_H_
#define INDIGOLEAD_ENTRY_STREAM_ARCHIVE_JSON_H_

#include <string>

#include "core/base/result.h"
#include "core/request/stream_origin_archive.h"

namespace indigolead {

/// Returns the report as JSON. Its hashes are packed, 8 bytes each, in base64.
std::string EncodeStreamArchive(const StreamArchiveReport& report);

/// Parses the report in `text`. Errors name `peer`, the report's key.
Result<StreamArchiveReport> DecodeStreamArchive(const std::string& peer,
                                                const std::string& text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STREAM_ARCHIVE_JSON_H_
