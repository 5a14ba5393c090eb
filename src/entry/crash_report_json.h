#ifndef INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
#define INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_

#include <string>

#include "core/base/result.h"
#include "core/request/crash_ledger.h"

namespace indigolead {

/// Returns the report as JSON.
std::string EncodeCrashReport(const CrashReport& report);

/// Parses the report in `text`. Errors name `peer`, the writer of the report.
Result<CrashReport> DecodeCrashReport(const std::string& peer,
                                      const std::string& text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
