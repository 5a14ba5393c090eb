#ifndef INDIGOLEAD_TESTS_SUPPORT_RETRY_FLEET_H_
#define INDIGOLEAD_TESTS_SUPPORT_RETRY_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/base/random.h"
#include "core/base/time.h"
#include "tests/support/fake_object_store.h"
#include "tests/support/retry_rule.h"

namespace indigolead::testing {

/// Simulates the retry budgets of a fleet of entries on a manual clock. As in
/// the entry process, each entry registers in the store, lists the others, and
/// grants itself retries. Targets are not simulated: while they fail, every
/// request asks for retries.
class RetryFleet {
 public:
  struct Options {
    std::size_t entries = 4;
    double requests_per_second = 32;
    double arrivals_of_attempt = 1;  ///< 2: separate prefill.
    int retries_per_failure = 3;  ///< Retries that a failing request asks for.
    RetryRule rule;
    std::uint64_t seed = 1;
  };

  explicit RetryFleet(const Options& options);
  ~RetryFleet();
  RetryFleet(const RetryFleet&) = delete;
  RetryFleet& operator=(const RetryFleet&) = delete;

  /// Advances simulated time by `length`.
  void Run(Duration length);

  void SetFailing(bool failing) { failing_ = failing; }
  std::size_t size() const { return slots_.size(); }
  /// Adds an entry under a name of its own, and starts it.
  void Add();
  /// Starts a new process of the entry and ends its current one, if any.
  void Start(std::size_t entry);
  void Kill(std::size_t entry);
  void KillAll();
  void StartAll();
  /// Begins a planned stop. The process keeps serving briefly, then ends.
  void Stop(std::size_t entry);
  void SetFrozen(std::size_t entry, bool frozen);
  /// While set, the store answers none of the entry's calls.
  void SetDisconnected(std::size_t entry, bool is_disconnected);
  bool IsRunning(std::size_t entry) const;

  FakePlatform& platform() { return platform_; }
  RetryWindow Worst() const;
  int granted() const { return static_cast<int>(retry_arrivals_.size()); }
  int wanted_retries() const { return wanted_retries_; }

 private:
  class Process;
  struct Slot {
    std::string name;
    std::unique_ptr<Process> process;
    bool frozen = false;
    bool is_disconnected = false;
    TimePoint ends_at = TimePoint::max();  ///< Set while stopping.
  };

  void Step();
  void Ask();

  Options options_;
  RandomSource random_;
  boost::asio::io_context io_;
  FakePlatform platform_{&io_};
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint next_tick_{};
  double due_ = 0;  ///< Requests due, including a fraction.
  std::vector<Slot> slots_;
  bool failing_ = false;
  int wanted_retries_ = 0;
  std::uint64_t incarnations_ = 0;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retry_arrivals_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_RETRY_FLEET_H_
