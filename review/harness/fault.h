#ifndef INDIGOLEAD_REVIEW_HARNESS_FAULT_H_
#define INDIGOLEAD_REVIEW_HARNESS_FAULT_H_

// Which answers of a faulty server are spoiled.

#include <random>

#include "scene.h"

namespace review {

/// Picks answers by chance, and never more than a share of those that the
/// server has given since the fault last began. The fault lasts 5 s each time
/// and pauses for a second.
class SpoiledAnswers {
 public:
  SpoiledAnswers(double share, unsigned seed) : share_(share), random_(seed) {}

  /// Counts the next answer. Returns whether it is spoiled.
  bool Next() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t now = Now();
    if (!Trouble() || now % kPeriod >= kLength) {
      return false;
    }
    if (now / kPeriod != window_) {
      window_ = now / kPeriod;
      answers_ = 0;
      spoiled_ = 0;
    }
    ++answers_;
    ++all_answers_;
    if (spoiled_ + 1 > share_ * answers_ || random_() % 2 == 0) {
      return false;
    }
    ++spoiled_;
    ++all_spoiled_;
    return true;
  }

  std::string Counts() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::to_string(all_spoiled_) + " of " + std::to_string(all_answers_);
  }

 private:
  static constexpr std::int64_t kLength = 5000;
  static constexpr std::int64_t kPeriod = 6000;

  double share_;
  std::mutex mutex_;
  std::mt19937 random_;
  std::int64_t window_ = -1;
  int answers_ = 0;  ///< Since the fault last began.
  int spoiled_ = 0;
  int all_answers_ = 0;
  int all_spoiled_ = 0;
};

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_FAULT_H_
