#include "report/report_page.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>
#include <vector>

#include "core/base/text_table.h"

namespace indigolead::report {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr std::size_t kTargetsShown = 3;  ///< Per cause.

std::string Ms(double ms) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(0) << ms;
  return out.str();
}

/// Formats the median and the 99% quantile as "MEDIAN/TAIL".
std::string MedianAndTail(const Durations& durations) {
  return durations.size() == 0 ? "-"
                               : Ms(durations.Quantile(kMedian)) + "/" +
                                     Ms(durations.Quantile(kTail));
}

std::vector<std::string> Cells(const std::string& name,
                               const RequestStats& it) {
  return {name,
          std::to_string(it.ended()),
          std::to_string(it.answered),
          std::to_string(it.failed),
          std::to_string(it.refused),
          std::to_string(it.unknown),
          std::to_string(it.abandoned),
          std::to_string(it.further_attempts),
          MedianAndTail(it.before_first_attempt),
          MedianAndTail(it.prefill_time),
          MedianAndTail(it.first_event),
          MedianAndTail(it.pause),
          MedianAndTail(it.whole)};
}

using Counts = std::map<std::string, std::uint64_t>;

std::vector<std::pair<std::string, std::uint64_t>> SortedByCount(
    const Counts& counts) {
  std::vector<std::pair<std::string, std::uint64_t>> sorted(counts.begin(),
                                                            counts.end());
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
  return sorted;
}

std::uint64_t Sum(const Counts& counts) {
  std::uint64_t n = 0;
  for (const auto& [name, count] : counts) {
    n += count;
  }
  return n;
}

void AddCauses(const RequestReport& report, std::ostringstream* out) {
  TextTable causes({"requests without an answer", "n"});
  for (const auto& [cause, n] : SortedByCount(report.causes())) {
    causes.AddRow({cause, std::to_string(n)});
  }
  TextTable attempts({"attempts not run", "n", "most of them at"});
  for (const auto& [cause, targets] : report.attempts_refused()) {
    std::string most;
    const auto sorted = SortedByCount(targets);
    for (std::size_t it = 0; it < std::min(sorted.size(), kTargetsShown);
         ++it) {
      most += (it ? ", " : "") + sorted[it].first + " (" +
              std::to_string(sorted[it].second) + ")";
    }
    attempts.AddRow({cause, std::to_string(Sum(targets)), most});
  }
  *out << '\n' << causes.ToText() << '\n' << attempts.ToText();
}

void AddStoreCalls(const RequestReport& report, std::ostringstream* out) {
  Counts all;
  Counts by_process;
  for (const auto& [process, calls] : report.store_calls()) {
    by_process[process] = Sum(calls);
    for (const auto& [what, n] : calls) {
      all[what] += n;
    }
  }
  TextTable table({"store calls", "n", "most of one process"});
  for (const auto& [what, n] : SortedByCount(all)) {
    std::uint64_t most = 0;
    for (const auto& [process, calls] : report.store_calls()) {
      const auto it = calls.find(what);
      most = std::max(most, it == calls.end() ? 0 : it->second);
    }
    table.AddRow({what, std::to_string(n), std::to_string(most)});
  }
  *out << '\n' << table.ToText();
  if (!by_process.empty()) {
    const auto busiest = SortedByCount(by_process).front();
    *out << "most calls: " << busiest.first << " (" << busiest.second << ")\n";
  }
}

}  // namespace

std::string ToText(const RequestReport& report) {
  std::ostringstream out;
  out << report.lines() << " lines, " << report.unreadable() << " unreadable";
  for (const std::string& it : report.unreadable_places()) {
    out << ' ' << it;
  }
  out << "\nTimes in ms, median/99%.\n\n";
  const std::vector<std::string> rest = {
      "ended", "answered", "failed",  "refused",     "unknown", "left",
      "again", "placing",  "reading", "first event", "pause",   "whole"};
  std::vector<std::string> names = {"route"};
  names.insert(names.end(), rest.begin(), rest.end());
  TextTable routes(names);
  for (const auto& [route, stats] : report.by_route()) {
    routes.AddRow(Cells(route, stats));
  }
  names.front() = "second";
  TextTable seconds(names);
  for (const auto& [second, stats] : report.by_second()) {
    seconds.AddRow(Cells(std::to_string(second), stats));
  }
  out << routes.ToText() << '\n' << seconds.ToText();
  AddCauses(report, &out);
  AddStoreCalls(report, &out);
  return out.str();
}

std::string ToCsv(const RequestReport& report) {
  std::ostringstream out;
  out << "second,ended,answered,failed,refused,unknown,left,"
         "reading_p50_ms,reading_p99_ms,first_event_p50_ms,"
         "first_event_p99_ms,whole_p50_ms,whole_p99_ms\n";
  for (const auto& [second, it] : report.by_second()) {
    out << second << ',' << it.ended() << ',' << it.answered << ',' << it.failed
        << ',' << it.refused << ',' << it.unknown << ',' << it.abandoned;
    for (const Durations* times :
         {&it.prefill_time, &it.first_event, &it.whole}) {
      out << ',' << Ms(times->Quantile(kMedian)) << ','
          << Ms(times->Quantile(kTail));
    }
    out << '\n';
  }
  return out.str();
}

std::string ToSvg(const RequestReport& report) {
  constexpr double kWidth = 960;
  constexpr double kHeight = 320;
  constexpr double kMargin = 40;
  const std::vector<std::pair<std::uint64_t RequestStats::*, const char*>>
      parts = {{&RequestStats::answered, "#4c956c"},
               {&RequestStats::failed, "#7d5ba6"},
               {&RequestStats::refused, "#e9a03b"},
               {&RequestStats::unknown, "#c8443c"},
               {&RequestStats::abandoned, "#9aa0a6"}};
  const std::vector<const char*> labels = {"answered", "failed", "refused",
                                           "unknown", "left"};
  std::uint64_t most = 1;
  for (const auto& [second, stats] : report.by_second()) {
    most = std::max(most, stats.ended());
  }
  const double first =
      report.by_second().empty()
          ? 0
          : static_cast<double>(report.by_second().begin()->first);
  const double last =
      report.by_second().empty()
          ? 0
          : static_cast<double>(report.by_second().rbegin()->first);
  const double step = (kWidth - 2 * kMargin) / (last - first + 1);
  const double scale = (kHeight - 2 * kMargin) / static_cast<double>(most);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  for (const auto& [second, stats] : report.by_second()) {
    const double x = kMargin + (static_cast<double>(second) - first) * step;
    double y = kHeight - kMargin;
    for (const auto& [part, colour] : parts) {
      const double height = static_cast<double>(stats.*part) * scale;
      y -= height;
      out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << step * 0.9
          << "\" height=\"" << height << "\" fill=\"" << colour << "\"/>\n";
    }
  }
  for (std::size_t it = 0; it < parts.size(); ++it) {
    const double x = kMargin + static_cast<double>(it) * 110;
    out << "<rect x=\"" << x << "\" y=\"12\" width=\"12\" height=\"12\" fill=\""
        << parts[it].second << "\"/><text x=\"" << x + 17 << "\" y=\"22\">"
        << labels[it] << "</text>\n";
  }
  out << "<text x=\"4\" y=\"" << kMargin << "\">" << most
      << "</text>\n<text x=\"" << kMargin << "\" y=\"" << kHeight - 12 << "\">"
      << first << " s</text>\n<text x=\"" << kWidth - 2 * kMargin << "\" y=\""
      << kHeight - 12 << "\">" << last
      << " s, requests ended in a second</text>\n</svg>\n";
  return out.str();
}

}  // namespace indigolead::report
