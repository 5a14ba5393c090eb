// Generates the traces in traces/ from a seed.
#include <algorithm>
#include <cmath>
#include <functional>

#include "core/base/random.h"
#include "replay/trace.h"

namespace indigolead::replay {
namespace {

using Curve =
    std::function<double(double)>;  ///< Function of the time in seconds.

constexpr double kEngines = 8;
constexpr double kTraceSeconds = 300;
/// Work of an average request with a long or short prompt, in seconds of one
/// engine.
constexpr double kMeanWork = 0.8;

Curve Constant(double value) {
  return [value](double) { return value; };
}

/// Adds requests and engine events to a trace.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : random_(MakeSeededRandom(seed)) {
    trace_.settings["engines"] = kEngines;
    trace_.accounts = {{"menu", 0, 1}, {"drafts", 0, 1}, {"alert", 5, 1}};
  }

  /// Adds Poisson arrivals of `account`. `load` is the share of the fleet that
  /// they keep busy, `heavy` the share of long prompts among them.
  void AddArrivals(const std::string& account, const Curve& load,
                   const Curve& heavy, double from = 0,
                   double to = kTraceSeconds) {
    double t = from;
    while (true) {
      const double rate = std::max(load(t), 0.001) * kEngines / kMeanWork;
      t += -std::log(1 - Draw()) / rate;
      if (t >= to) {
        return;
      }
      TraceEvent event;
      event.account = account;
      event.at_ms = static_cast<std::int64_t>(t * 1000);
      const bool long_prompt = Draw() < heavy(t);
      const double size = 0.5 + Draw();
      event.prompt_tokens = Tokens((long_prompt ? 3000 : 300) * size);
      event.output_tokens = Tokens((long_prompt ? 60 : 400) * size);
      event.deadline_ms = 30000;
      if (long_prompt) {
        event.prefix = 1 + ToBoundedInteger(random_(), 24);
        event.prefix_tokens = std::min(768U, event.prompt_tokens);
      }
      trace_.events.push_back(event);
    }
  }

  /// Adds short, urgent requests that all share one prefix.
  void AddAlerts(double load) {
    const std::size_t begin = trace_.events.size();
    AddArrivals("alert", Constant(load), Constant(1));
    for (std::size_t it = begin; it < trace_.events.size(); ++it) {
      TraceEvent& event = trace_.events[it];
      event.prompt_tokens = 1536 + event.prompt_tokens % 256;
      event.output_tokens = 40;
      event.deadline_ms = 8000;
      event.prefix = 100;
      event.prefix_tokens = 1536;
    }
  }

  /// Adds requests with one of eight very long shared prefixes.
  void AddLongPrefixes(double per_s, double from, double to) {
    for (double t = from; t < to; t += -std::log(1 - Draw()) / per_s) {
      TraceEvent event;
      event.account = "drafts";
      event.at_ms = static_cast<std::int64_t>(t * 1000);
      event.prefix = 200 + ToBoundedInteger(random_(), 8);
      event.prefix_tokens = 6144;
      event.prompt_tokens = 6144 + Tokens(300 * (0.5 + Draw()));
      event.output_tokens = 60;
      event.deadline_ms = 20000;
      trace_.events.push_back(event);
    }
  }

  void AddEngineEvent(double t, TraceEvent::Kind kind, std::uint32_t engine,
                      double factor = 1) {
    TraceEvent event;
    event.kind = kind;
    event.at_ms = static_cast<std::int64_t>(t * 1000);
    event.engine = engine;
    event.factor = factor;
    trace_.events.push_back(event);
  }

  void AddPoison(double t) {
    TraceEvent event;
    event.account = "menu";
    event.at_ms = static_cast<std::int64_t>(t * 1000);
    event.prompt_tokens = 300;
    event.output_tokens = 200;
    event.deadline_ms = 30000;
    event.poison = true;
    trace_.events.push_back(event);
  }

  void SetRoles(int prefill, int decode) {
    trace_.settings["prefill"] = prefill;
    trace_.settings["decode"] = decode;
  }

  Trace& trace() { return trace_; }

  Trace Build() {
    std::stable_sort(
        trace_.events.begin(), trace_.events.end(),
        [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    return std::move(trace_);
  }

 private:
  double Draw() { return ToUnitInterval(random_()); }
  static std::uint32_t Tokens(double n) {
    return static_cast<std::uint32_t>(std::max(1.0, n));
  }

  RandomSource random_;
  Trace trace_;
};

/// Adds arrivals of both ordinary accounts at half of `load` each.
void AddOrdinaryArrivals(Generator* g, const Curve& load, const Curve& heavy,
                         double to = kTraceSeconds) {
  const Curve half = [load](double t) { return load(t) / 2; };
  g->AddArrivals("menu", half, heavy, 0, to);
  g->AddArrivals("drafts", half, heavy, 0, to);
}

/// Share of long prompts that oscillates between 0.1 and 0.9 and takes two
/// minutes each way.
double OscillatingShare(double t) {
  return 0.5 - 0.4 * std::cos(2 * M_PI * t / 240);
}

using Scenario = std::function<void(Generator*)>;

const std::vector<std::pair<std::string, Scenario>>& Scenarios() {
  using Kind = TraceEvent::Kind;
  static const std::vector<std::pair<std::string, Scenario>> scenarios = {
      {"steady",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.65), Constant(0.5));
         g->AddAlerts(0.05);
       }},
      {"swing",
       [](Generator* g) {
         g->SetRoles(2, 2);
         AddOrdinaryArrivals(g, Constant(0.85), OscillatingShare);
       }},
      {"day_curve",
       [](Generator* g) {
         g->SetRoles(2, 4);
         AddOrdinaryArrivals(
             g, Constant(0.85),
             [](double t) { return 0.5 - 0.25 * std::cos(t / 143); }, 900);
       }},
      {"prefix_burst",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.4), Constant(0.5));
         g->AddLongPrefixes(8, 60, 200);
       }},
      {"flood",
       [](Generator* g) {
         g->AddArrivals("menu", Constant(0.3), Constant(0.5));
         g->AddArrivals("drafts", Constant(2), Constant(0.5), 60, 240);
         g->AddAlerts(0.1);
       }},
      {"slow_target",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.6), Constant(0.5));
         g->AddEngineEvent(60, Kind::kSlow, 2, 6);
         g->AddEngineEvent(200, Kind::kSlow, 2, 1);
       }},
      {"flapping",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.6), Constant(0.5));
         for (double t = 60; t < 200; t += 20) {
           g->AddEngineEvent(t, Kind::kDown, 3);
           g->AddEngineEvent(t + 6, Kind::kUp, 3);
         }
       }},
      {"domain_lost",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.55), Constant(0.5));
         for (const std::uint32_t it : {0U, 3U, 6U}) {
           g->AddEngineEvent(100, Kind::kDown, it);
           g->AddEngineEvent(200, Kind::kUp, it);
         }
       }},
      {"lag_1s",
       [](Generator* g) {
         g->trace().settings["lag_ms"] = 1000;
         AddOrdinaryArrivals(g, Constant(0.75), Constant(0.5));
       }},
      {"lag_5s",
       [](Generator* g) {
         g->trace().settings["lag_ms"] = 5000;
         AddOrdinaryArrivals(g, Constant(0.75), Constant(0.5));
       }},
      {"cache_events_lost",
       [](Generator* g) {
         g->trace().settings["event_loss"] = 0.5;
         AddOrdinaryArrivals(g, Constant(0.4), Constant(0.5));
         g->AddLongPrefixes(8, 60, 200);
       }},
      {"poison",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(0.6), Constant(0.5));
         for (double t = 60; t < 240; t += 15) {
           g->AddPoison(t);
         }
       }},
      {"overload_2x",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(1.9), Constant(0.5));
         g->AddAlerts(0.1);
       }},
      {"overload_5x",
       [](Generator* g) {
         AddOrdinaryArrivals(g, Constant(4.9), Constant(0.5));
         g->AddAlerts(0.1);
       }},
      {"evening",
       [](Generator* g) {
         g->trace().settings["hour"] = 19;
         g->trace().settings["quiet_from"] = 18;
         g->trace().settings["quiet_to"] = 6;
         g->trace().settings["role_change_cost"] = 10;
         g->SetRoles(2, 2);
         AddOrdinaryArrivals(g, Constant(0.8), OscillatingShare);
         g->AddAlerts(0.1);
       }},
  };
  return scenarios;
}

/// Bounds that the production policy must meet on the recorded traces. They are
/// slightly looser than the measured results, so that a regression fails while
/// a change that shifts a few requests passes.
struct Expected {
  const char* scenario;
  double bound_share;
  double urgent_in_time_share;
  double most_role_changes;
};
constexpr Expected kExpected[] = {
    {"steady", 0.99, 1, 0},
    {"swing", 0.9, 1, 4},
    {"day_curve", 0.9, 1, 8},
    {"prefix_burst", 0.97, 1, 2},
    {"flood", 0.55, 1, 2},
    {"slow_target", 0.98, 1, 0},
    {"flapping", 0.98, 1, 0},
    {"domain_lost", 0.95, 1, 2},
    {"lag_1s", 0.98, 1, 0},
    {"lag_5s", 0.98, 1, 0},
    {"cache_events_lost", 0.95, 1, 2},
    {"poison", 0.95, 1, 0},
    {"overload_2x", 0.65, 1, 2},
    {"overload_5x", 0.6, 0.99, 2},
    {"evening", 0.95, 1, 0},
};

}  // namespace

const std::vector<std::string>& ScenarioNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> result;
    for (const auto& it : Scenarios()) {
      result.push_back(it.first);
    }
    return result;
  }();
  return names;
}

Trace GenerateTrace(const std::string& scenario, std::uint64_t seed) {
  Generator generator(seed);
  for (const auto& [name, fill] : Scenarios()) {
    if (name == scenario) {
      fill(&generator);
    }
  }
  for (const Expected& it : kExpected) {
    if (scenario == it.scenario) {
      generator.trace().expectations = {
          {"bound_share", true, it.bound_share},
          {"urgent_in_time_share", true, it.urgent_in_time_share},
          {"role_changes", false, it.most_role_changes},
          {"amplification", false, 1.1},
          {"fairness", true, 0.95}};
    }
  }
  generator.trace().name = scenario;
  return generator.Build();
}

}  // namespace indigolead::replay
