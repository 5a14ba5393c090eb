#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/retry_rule.h"

namespace indigolead::testing {

/// Returns when requests came to the service's targets beyond the first arrival
/// of each, sorted. The first reading of a prompt that a target accepts is part
/// of a request's first arrival.
std::vector<std::chrono::steady_clock::time_point> FurtherArrivals(
    PlatformScene* scene, const std::string& service);

/// Returns how many such arrivals each request had, by the request's id.
std::map<std::string, std::size_t> FurtherArrivalsByRequest(
    PlatformScene* scene, const std::string& service);

/// Callers of one kind of request, who spread over all entries and each ask at
/// a steady pace, whatever they get.
class SteadyCallers {
 public:
  struct Load {
    std::string method;
    std::string path;
    double per_second = 32;  ///< Of all of them together.
    int deadline_ms = 1500;
    bool has_prompt = false;  ///< Says how long, and which parts it has.
  };

  SteadyCallers(PlatformScene* scene, const Load& load);
  ~SteadyCallers() { Stop(); }
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  /// Lets no further request begin, without waiting for those that have.
  void RequestStop() { stopping_ = true; }
  /// Returns when each request was sent, sorted.
  std::vector<std::chrono::steady_clock::time_point> Stop();
  int served() const { return served_; }

 private:
  static constexpr int kCallers = 16;

  void Ask(int caller);

  Load load_;
  std::vector<std::string> addresses_;  ///< Of all entries.
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> sent_;
  std::vector<std::thread> threads_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_
