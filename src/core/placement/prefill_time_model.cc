#include "core/placement/prefill_time_model.h"

#include <algorithm>
#include <array>

namespace indigolead {
namespace {

/// Groups of samples of similar size; each yields one point for the line fit.
constexpr std::size_t kGroups = 4;

/// The sample at one sixteenth of a group's sorted times is assumed to have
/// found its engine idle: engines that are busy four fifths of the time are
/// idle for every fifth call. The few faster samples are ignored, because they
/// may have had more tokens cached than assumed.
constexpr std::size_t kIdleSampleDivisor = 16;

/// A point for the line fit.
struct Point {
  double tokens = 0;
  double seconds = 0;
};

/// Returns the median of `values`, which must not be empty.
double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

PrefillTimeModel::PrefillTimeModel(Options options)
    : options_(options), s_per_token_(1 / options.assumed_tokens_per_s) {}

void PrefillTimeModel::OnPrefillDone(double tokens, Duration took) {
  const Sample sample{tokens, std::chrono::duration<double>(took).count()};
  if (samples_.size() < options_.window) {
    samples_.push_back(sample);
  } else {
    samples_[next_] = sample;
    next_ = (next_ + 1) % options_.window;
  }
  if (calibrated() && ++samples_since_fit_ >= options_.refit_every) {
    samples_since_fit_ = 0;
    Refit();
  }
}

void PrefillTimeModel::Refit() {
  std::vector<Sample> sorted = samples_;
  std::sort(sorted.begin(), sorted.end(),
            [](const auto& a, const auto& b) { return a.tokens < b.tokens; });
  std::array<Point, kGroups> points;
  const std::size_t n = sorted.size() / kGroups;
  for (std::size_t it = 0; it < kGroups; ++it) {
    const auto begin = sorted.begin() + static_cast<std::ptrdiff_t>(it * n);
    const auto end = begin + static_cast<std::ptrdiff_t>(n);
    // The samples of a group differ in size, so the time of their tokens is
    // subtracted before they are compared.
    std::sort(begin, end, [this](const auto& a, const auto& b) {
      return a.seconds - a.tokens * s_per_token_ <
             b.seconds - b.tokens * s_per_token_;
    });
    const Sample& idle_sample =
        *(begin + static_cast<std::ptrdiff_t>(n / kIdleSampleDivisor));
    points[it] = {idle_sample.tokens, idle_sample.seconds};
  }
  std::vector<double> slopes;
  for (std::size_t a = 0; a < kGroups; ++a) {
    for (std::size_t b = a + 1; b < kGroups; ++b) {
      const double token_difference = points[b].tokens - points[a].tokens;
      if (token_difference > 0) {
        slopes.push_back((points[b].seconds - points[a].seconds) /
                         token_difference);
      }
    }
  }
  if (!slopes.empty()) {
    s_per_token_ = std::max(0.0, Median(slopes));
  } else if (points[0].tokens > 0) {
    // Prompts of a single size cannot separate the two parts, but their time
    // is an upper bound of both.
    s_per_token_ = std::min(s_per_token_, points[0].seconds / points[0].tokens);
  }
  std::vector<double> fixed_parts;
  fixed_parts.reserve(kGroups);
  for (const Point& it : points) {
    fixed_parts.push_back(it.seconds - it.tokens * s_per_token_);
  }
  fixed_s_ = std::max(0.0, Median(fixed_parts));
}

Duration PrefillTimeModel::Predict(double tokens) const {
  return ToDuration(fixed_s_ + tokens * s_per_token_);
}

Duration PrefillTimeModel::PredictOccupancy(double prompt_count,
                                            double tokens) const {
  return ToDuration(prompt_count * fixed_s_ * options_.fixed_occupancy +
                    tokens * s_per_token_);
}

}  // namespace indigolead
