#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/retry_rule.h"

namespace indigolead::testing {

/// Returns the sorted times of all further arrivals at the service's targets,
/// which are those after the first arrival of each request. The first prefill
/// that a target accepts counts as part of a request's first arrival.
std::vector<std::chrono::steady_clock::time_point> FurtherArrivals(
    PlatformScene* scene, const std::string& service);

/// Returns the number of further arrivals of each request, by request id.
std::map<std::string, std::size_t> FurtherArrivalsByRequest(
    PlatformScene* scene, const std::string& service);

/// Callers that send one kind of request to all entries in turn, at a constant
/// rate that does not depend on the answers.
class SteadyCallers {
 public:
  struct Load {
    std::string method;
    std::string path;
    double per_second = 32;  ///< Total of all callers.
    int deadline_ms = 1500;
    bool has_prompt = false;  ///< Sends the length and parts of a prompt.
    /// Makes the prompt parts of the request `id`, in place of those of
    /// `has_prompt`. Each such request has a body of its own.
    std::function<std::string(const std::string& id)> make_parts = {};
    /// Time after which a caller that has no answer disconnects.
    std::chrono::milliseconds patience = std::chrono::seconds(10);
  };
  /// One request whose answer has ended.
  struct Outcome {
    std::chrono::steady_clock::time_point sent_at;
    int status = 0;  ///< 0: incomplete.
  };

  SteadyCallers(PlatformScene* scene, const Load& load);
  ~SteadyCallers() { Stop(); }
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  /// Stops new requests without waiting for those in flight.
  void RequestStop() { stopping_ = true; }
  /// Waits for all callers and returns the sorted send times of all requests.
  std::vector<std::chrono::steady_clock::time_point> Stop();
  int served() const { return served_; }
  /// Returns the outcomes so far, in the order of their answers.
  std::vector<Outcome> outcomes();

 private:
  static constexpr int kCallers = 16;

  void SendRequests(int caller);

  Load load_;
  std::vector<std::string> addresses_;  ///< Of all entries.
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> sent_;
  std::vector<Outcome> outcomes_;
  std::vector<std::thread> threads_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_REPEATS_H_
