#ifndef INDIGOLEAD_REPORT_REPORT_PAGE_H_
#define INDIGOLEAD_REPORT_REPORT_PAGE_H_

#include <string>

#include "report/request_report.h"

namespace indigolead::report {

/// Formats the report as tables for a terminal.
std::string ToText(const RequestReport& report);

/// Formats the report as CSV, with one row for each second.
std::string ToCsv(const RequestReport& report);

/// Draws a stacked bar chart of the requests in each second, by outcome.
std::string ToSvg(const RequestReport& report);

}  // namespace indigolead::report

#endif  // INDIGOLEAD_REPORT_REPORT_PAGE_H_
