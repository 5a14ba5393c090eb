#include "replay/measurement.h"

#include <algorithm>
#include <map>
#include <set>

namespace indigolead::replay {
namespace {

using End = RequestRecord::End;

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto place =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(place),
                   values.end());
  return values[place];
}

double TokensOf(const TraceEvent& event) {
  return event.prompt_tokens + event.output_tokens;
}

/// Upper bound of the requests and tokens that can finish in time.
struct Bound {
  double requests = 0;
  double tokens = 0;
};

/// Returns a bound that no policy can exceed. It assumes that every shared
/// prefix is prefilled once per trace, that all engines are always full, and
/// that requests are chosen by least work (bound on requests) or by most tokens
/// per work (bound on tokens).
Bound UpperBound(const EngineCosts& costs,
                 const std::vector<RequestRecord>& requests,
                 double engine_seconds) {
  struct Item {
    double work = 0;
    double tokens = 0;
  };
  std::vector<Item> items;
  std::set<std::uint32_t> seen;
  for (const RequestRecord& it : requests) {
    const TraceEvent& event = *it.event;
    if (event.poison) {
      continue;
    }
    const bool cached = event.prefix != 0 && !seen.insert(event.prefix).second;
    const double prompt =
        event.prompt_tokens - (cached ? event.prefix_tokens : 0);
    items.push_back({prompt / costs.prefill_tokens_per_s +
                         event.output_tokens / costs.decode_tokens_per_s,
                     TokensOf(event)});
  }
  const auto fill = [&](auto before, auto value) {
    std::sort(items.begin(), items.end(), before);
    double sum = 0;
    double left = engine_seconds;
    for (const Item& it : items) {
      const double part = std::clamp(left / it.work, 0.0, 1.0);
      sum += part * value(it);
      left -= it.work;
    }
    return sum;
  };
  Bound bound;
  bound.requests =
      fill([](const Item& a, const Item& b) { return a.work < b.work; },
           [](const Item&) { return 1.0; });
  bound.tokens =
      fill([](const Item& a,
              const Item& b) { return a.tokens / a.work > b.tokens / b.work; },
           [](const Item& it) { return it.tokens; });
  return bound;
}

/// Returns Jain's fairness index over the accounts. The share of an account is
/// the tokens it finished in time relative to its max-min fair share: the
/// tokens it requested or an equal part, whichever is less.
double Fairness(const std::vector<RequestRecord>& requests) {
  std::map<std::string, double> requested_tokens;
  std::map<std::string, double> served_tokens;
  double total = 0;
  for (const RequestRecord& it : requests) {
    requested_tokens[it.event->account] += TokensOf(*it.event);
    if (it.end == End::kInTime) {
      served_tokens[it.event->account] += TokensOf(*it.event);
      total += TokensOf(*it.event);
    }
  }
  // Water filling: the remainder that small accounts leave goes to the others.
  std::vector<std::pair<double, std::string>> by_size;
  by_size.reserve(requested_tokens.size());
  for (const auto& [name, tokens] : requested_tokens) {
    by_size.emplace_back(tokens, name);
  }
  std::sort(by_size.begin(), by_size.end());
  double sum = 0;
  double squares = 0;
  double left = total;
  auto n = static_cast<double>(by_size.size());
  for (const auto& [tokens, name] : by_size) {
    const double fair = std::min(tokens, left / n);
    left -= fair;
    n -= 1;
    const double share =
        fair > 0 ? std::min(served_tokens[name] / fair, 1.0) : 1.0;
    sum += share;
    squares += share * share;
  }
  return squares > 0
             ? sum * sum / (static_cast<double>(by_size.size()) * squares)
             : 1.0;
}

}  // namespace

double ReplayOutcome::Get(const std::string& metric) const {
  for (const auto& [name, value] : metrics) {
    if (name == metric) {
      return value;
    }
  }
  return 0;
}

ReplayOutcome Measure(const Trace& trace, const EngineCosts& costs,
                      const std::vector<RequestRecord>& requests,
                      const ReplayCounts& counts) {
  std::map<End, double> ends;
  std::vector<double> first_tokens;
  std::vector<double> between;
  double good_tokens = 0;
  double wrong = 0;
  double urgent = 0;
  double urgent_in_time = 0;
  ReplayOutcome outcome;
  for (const RequestRecord& it : requests) {
    ends[it.end] += 1;
    wrong += it.wrongly_refused;
    const bool alert = it.event->account == "alert";
    urgent += alert;
    if (it.end != End::kInTime) {
      continue;
    }
    urgent_in_time += alert;
    good_tokens += TokensOf(*it.event);
    first_tokens.push_back(it.first_token_s);
    if (it.between_tokens_s >= 0) {
      between.push_back(it.between_tokens_s);
    }
    const auto second = static_cast<std::size_t>(it.end_s);
    outcome.samples.resize(std::max(outcome.samples.size(), second + 1));
    outcome.samples[second].good_tokens += TokensOf(*it.event);
  }
  const double length_s =
      trace.events.empty()
          ? 1.0
          : static_cast<double>(trace.events.back().at_ms) / 1000.0;
  const Bound bound = UpperBound(costs, requests, counts.engine_seconds_up);
  const auto first = static_cast<double>(counts.first_attempts);
  outcome.metrics = {
      {"requests", static_cast<double>(requests.size())},
      {"good_requests_per_s", ends[End::kInTime] / length_s},
      {"good_tokens_per_s", good_tokens / length_s},
      {"bound_requests_per_s", bound.requests / length_s},
      {"bound_tokens_per_s", bound.tokens / length_s},
      {"bound_share",
       bound.requests > 0 ? ends[End::kInTime] / bound.requests : 1.0},
      {"ttft_p50_s", Percentile(first_tokens, 0.5)},
      {"ttft_p95_s", Percentile(first_tokens, 0.95)},
      {"ttft_p99_s", Percentile(first_tokens, 0.99)},
      {"tbt_p95_s", Percentile(between, 0.95)},
      {"refused", ends[End::kRefused]},
      {"wrongly_refused", wrong},
      {"late", ends[End::kLate]},
      {"failed", ends[End::kFailed]},
      {"urgent_in_time_share", urgent > 0 ? urgent_in_time / urgent : 1.0},
      {"role_changes", static_cast<double>(counts.role_changes)},
      {"engine_seconds_lost", counts.engine_seconds_lost},
      {"cache_hit_share", counts.prompt_tokens > 0
                              ? counts.cached_tokens / counts.prompt_tokens
                              : 0},
      {"amplification",
       first > 0 ? 1 + static_cast<double>(counts.retries) / first : 1.0},
      {"fairness", Fairness(requests)},
  };
  return outcome;
}

}  // namespace indigolead::replay
