#ifndef INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
#define INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_

#include <string>

#include "core/base/result.h"
#include "core/request/crash_ledger.h"
#include "core/request/prompt_part_ledger.h"

namespace indigolead {

/// What one entry tells the others about crashes of targets.
struct EntryCrashReport {
  CrashReport requests;
  PartCrashReport parts;  ///< Empty in reports of older versions.

  friend bool operator==(const EntryCrashReport&,
                         const EntryCrashReport&) = default;
};

/// Returns the report as JSON.
std::string EncodeCrashReport(const EntryCrashReport& report);

/// Parses the report in `text`. Errors name `peer`, the writer of the report.
Result<EntryCrashReport> DecodeCrashReport(const std::string& peer,
                                           const std::string& text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
