#include "replay/trace.h"

#include <ostream>
#include <sstream>

namespace indigolead::replay {
namespace {

bool ReadHeader(const std::string& word, std::istringstream* line,
                Trace* trace) {
  if (word == "set") {
    std::string name;
    double value = 0;
    *line >> name >> value;
    trace->settings[name] = value;
  } else if (word == "account") {
    TraceAccount account;
    *line >> account.name >> account.priority >> account.weight;
    trace->accounts.push_back(account);
  } else if (word == "expect") {
    TraceExpectation it;
    std::string relation;
    *line >> it.metric >> relation >> it.bound;
    it.at_least = relation == ">=";
    trace->expectations.push_back(it);
  } else {
    return false;
  }
  return !line->fail();
}

bool ReadEvent(const std::string& word, std::istringstream* line,
               Trace* trace) {
  TraceEvent event;
  std::istringstream time(word);
  std::string kind;
  if (!(time >> event.at_ms) || !(*line >> kind)) {
    return false;
  }
  if (kind == "request") {
    *line >> event.account >> event.prompt_tokens >> event.output_tokens >>
        event.deadline_ms >> event.prefix >> event.prefix_tokens;
    if (line->fail()) {
      return false;
    }
    std::string flag;
    event.poison = static_cast<bool>(*line >> flag) && flag == "poison";
    trace->events.push_back(event);
    return event.prefix_tokens <= event.prompt_tokens;
  }
  *line >> event.engine;
  event.kind = TraceEvent::Kind::kUp;
  if (kind == "down") {
    event.kind = TraceEvent::Kind::kDown;
  } else if (kind == "slow") {
    event.kind = TraceEvent::Kind::kSlow;
    *line >> event.factor;
  } else if (kind != "up") {
    return false;
  }
  trace->events.push_back(event);
  return !line->fail();
}

}  // namespace

double Trace::Get(const std::string& setting, double fallback) const {
  const auto it = settings.find(setting);
  return it == settings.end() ? fallback : it->second;
}

Result<Trace> ReadTrace(std::istream* in, const std::string& name) {
  Trace trace;
  trace.name = name;
  std::string text;
  for (int number = 1; std::getline(*in, text); ++number) {
    std::istringstream line(text.substr(0, text.find('#')));
    std::string word;
    if (line >> word && !ReadHeader(word, &line, &trace) &&
        !ReadEvent(word, &line, &trace)) {
      return Error{ErrorCode::kInvalidInput, "replay.read-trace", name,
                   "line " + std::to_string(number) + ": \"" + text + "\""};
    }
  }
  return trace;
}

void WriteTrace(const Trace& trace, std::ostream* out) {
  for (const auto& [name, value] : trace.settings) {
    *out << "set " << name << ' ' << value << '\n';
  }
  for (const TraceAccount& it : trace.accounts) {
    *out << "account " << it.name << ' ' << it.priority << ' ' << it.weight
         << '\n';
  }
  for (const TraceExpectation& it : trace.expectations) {
    *out << "expect " << it.metric << (it.at_least ? " >= " : " <= ")
         << it.bound << '\n';
  }
  for (const TraceEvent& it : trace.events) {
    *out << it.at_ms;
    switch (it.kind) {
      case TraceEvent::Kind::kRequest:
        *out << " request " << it.account << ' ' << it.prompt_tokens << ' '
             << it.output_tokens << ' ' << it.deadline_ms << ' ' << it.prefix
             << ' ' << it.prefix_tokens << (it.poison ? " poison" : "");
        break;
      case TraceEvent::Kind::kDown:
        *out << " down " << it.engine;
        break;
      case TraceEvent::Kind::kUp:
        *out << " up " << it.engine;
        break;
      case TraceEvent::Kind::kSlow:
        *out << " slow " << it.engine << ' ' << it.factor;
        break;
    }
    *out << '\n';
  }
}

}  // namespace indigolead::replay
