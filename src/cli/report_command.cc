#include <fstream>
#include <string>

#include "cli/commands.h"
#include "cli/flags.h"
#include "report/report_page.h"
#include "report/request_report.h"

namespace indigolead::cli {
namespace {

/// Writes `text` to the file at `path`; does nothing if `path` is empty.
bool WriteFile(const std::string& path, const std::string& text,
               std::ostream* err) {
  if (path.empty()) {
    return true;
  }
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out) {
    *err << "report: cannot write " << path << '\n';
  }
  return static_cast<bool>(out);
}

}  // namespace

int RunReport(const CommandContext& context) {
  report::RequestReport report;
  for (const std::string& path : context.arguments) {
    std::ifstream in(path);
    if (!in) {
      *context.err << "report: cannot read " << path << '\n';
      return kExitUsage;
    }
    std::string line;
    for (std::uint64_t n = 1; std::getline(in, line); ++n) {
      report.Add(path, n, line);
    }
  }
  *context.out << report::ToText(report);
  const bool written =
      WriteFile(FLAGS_csv, report::ToCsv(report), context.err) &&
      WriteFile(FLAGS_svg, report::ToSvg(report), context.err);
  return written ? kExitOk : kExitFailed;
}

}  // namespace indigolead::cli
