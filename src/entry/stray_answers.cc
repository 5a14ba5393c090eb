#include "entry/stray_answers.h"

#include <utility>

#include "entry/events.h"

namespace indigolead {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

Counter* MakeCounter(MetricsRegistry* metrics, StrayAnswer reason) {
  return &metrics->AddCounter(
      "indigolead_stray_answers_total",
      "Bytes of targets that were not taken for an answer, by reason.",
      "reason=\"" + std::string(NameOf(reason)) + "\"");
}

}  // namespace

std::string_view NameOf(StrayAnswer reason) {
  switch (reason) {
    case StrayAnswer::kWithoutId:
      return "without-id";
    case StrayAnswer::kOfAnotherCall:
      return "of-another-call";
    case StrayAnswer::kUnproved:
      return "unproved";
    case StrayAnswer::kUnexpectedBytes:
      break;
  }
  return "unexpected-bytes";
}

StrayAnswers::StrayAnswers(MetricsRegistry* metrics, EventLog log)
    : log_(std::move(log)),
      counters_{MakeCounter(metrics, StrayAnswer::kWithoutId),
                MakeCounter(metrics, StrayAnswer::kOfAnotherCall),
                MakeCounter(metrics, StrayAnswer::kUnproved),
                MakeCounter(metrics, StrayAnswer::kUnexpectedBytes)} {}

void StrayAnswers::Add(const std::string& instance, StrayAnswer reason,
                       TimePoint now) {
  counters_[static_cast<std::size_t>(reason)]->Add();
  if (now < next_line_at_) {
    ++unlogged_;
    return;
  }
  log_(kStrayAnswer, {{"target", instance},
                      {"reason", std::string(NameOf(reason))},
                      {"unlogged", std::to_string(unlogged_)}});
  next_line_at_ = now + kLogInterval;
  unlogged_ = 0;
}

}  // namespace indigolead
