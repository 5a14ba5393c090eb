#ifndef INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
#define INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_

#include <string>

#include "core/base/result.h"
#include "core/request/crash_ledger.h"

namespace indigolead {

/// Returns the report as JSON.
std::string EncodeCrashReport(const CrashReport& report);

/// Returns the report in `text`, which the entry named `peer` wrote, or the
/// error in it.
Result<CrashReport> DecodeCrashReport(const std::string& peer,
                                      const std::string& text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_REPORT_JSON_H_
