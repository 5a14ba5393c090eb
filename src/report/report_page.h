#ifndef INDIGOLEAD_REPORT_REPORT_PAGE_H_
#define INDIGOLEAD_REPORT_REPORT_PAGE_H_

#include <string>

#include "report/request_report.h"

namespace indigolead::report {

/// Returns the report as tables for a terminal.
std::string ToText(const RequestReport& report);

/// Returns one line for each second, with a line of names first.
std::string ToCsv(const RequestReport& report);

/// Returns a picture of each second's requests, stacked by what became of them.
std::string ToSvg(const RequestReport& report);

}  // namespace indigolead::report

#endif  // INDIGOLEAD_REPORT_REPORT_PAGE_H_
