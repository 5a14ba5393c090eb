#include "report/request_report.h"

#include <algorithm>
#include <cmath>

namespace indigolead::report {
namespace {

constexpr std::size_t kMaxUnreadablePlaces = 5;
constexpr double kFirstFailureStatus = 500;
constexpr std::string_view kStoreFieldPrefix = "store.";

}  // namespace

double Durations::Quantile(double share) const {
  if (ms_.empty()) {
    return 0;
  }
  std::vector<double> sorted = ms_;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

void RequestReport::Add(const std::string& source, std::uint64_t number,
                        std::string_view text) {
  ++lines_;
  const auto line = ParseLogLine(text);
  if (!line) {
    ++unreadable_;
    if (unreadable_places_.size() < kMaxUnreadablePlaces) {
      unreadable_places_.push_back(source + ":" + std::to_string(number));
    }
    return;
  }
  first_ms_ = first_ms_.value_or(line->at_ms);
  Count(*line);
}

void RequestReport::Count(const LogLine& line) {
  if (line.event == "request-placed") {
    OnPlaced(line);
  } else if (line.event == "runner-chosen") {
    const auto it = open_requests_.find(line.process + " " +
                                        std::string(line.Get("request")));
    if (it != open_requests_.end() && !it->second.prefilled_ms) {
      it->second.prefilled_ms = line.Number("after_ms");
    }
  } else if (line.event == "request-answered") {
    const bool failure =
        line.Number("status").value_or(0) >= kFirstFailureStatus;
    OnEnd(line, failure ? &RequestStats::failed : &RequestStats::answered);
  } else if (line.event == "request-refused") {
    const bool not_run = line.Get("run") == "not-run";
    OnEnd(line, not_run ? &RequestStats::refused : &RequestStats::unknown);
    ++causes_[std::string(line.Get("code"))];
  } else if (line.event == "request-abandoned") {
    OnEnd(line, &RequestStats::abandoned);
  } else if (line.event == "attempt-refused") {
    ++attempts_refused_[std::string(line.Get("cause"))]
                       [std::string(line.Get("target"))];
  } else if (line.event == "store-calls") {
    for (const LogField& it : line.fields) {
      if (it.name.starts_with(kStoreFieldPrefix)) {
        store_calls_[line.process][it.name] +=
            static_cast<std::uint64_t>(line.Number(it.name).value_or(0));
      }
    }
  }
}

void RequestReport::OnPlaced(const LogLine& line) {
  OpenRequest& open =
      open_requests_[line.process + " " + std::string(line.Get("request"))];
  open.route = std::string(line.Get("route"));
  if (!open.placed_ms) {
    open.placed_ms = line.Number("after_ms");
  } else {
    ++by_route_[open.route].further_attempts;
  }
}

void RequestReport::OnEnd(const LogLine& line,
                          std::uint64_t RequestStats::*outcome) {
  auto node = open_requests_.extract(line.process + " " +
                                     std::string(line.Get("request")));
  const OpenRequest open =
      node.empty() ? OpenRequest{} : std::move(node.mapped());
  std::string route(line.Get("route"));
  if (route.empty()) {
    route = "(none)";
  }
  const std::int64_t second = (line.at_ms - first_ms_.value_or(0)) / 1000;
  for (RequestStats* it : {&by_route_[route], &by_second_[second]}) {
    ++(it->*outcome);
    AddTimes(open, line, it);
  }
}

void RequestReport::AddTimes(const OpenRequest& open, const LogLine& line,
                             RequestStats* stats) {
  const auto first = line.Number("first_ms");
  const auto pause = line.Number("longest_pause_ms");
  const auto whole = line.Number("after_ms");
  if (open.placed_ms) {
    stats->before_first_attempt.Add(*open.placed_ms);
  }
  if (open.placed_ms && open.prefilled_ms) {
    stats->prefill_time.Add(*open.prefilled_ms - *open.placed_ms);
  }
  if (first && (open.prefilled_ms || open.placed_ms)) {
    stats->first_event.Add(*first -
                           open.prefilled_ms.value_or(*open.placed_ms));
  }
  if (pause) {
    stats->pause.Add(*pause);
  }
  if (whole) {
    stats->whole.Add(*whole);
  }
}

}  // namespace indigolead::report
