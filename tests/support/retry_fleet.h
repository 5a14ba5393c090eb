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

/// Entries of one fleet on a clock that the test turns: each registers in one
/// store, lists the others, and allows itself further attempts, as its process
/// does. Targets are not played: where they fail, every request wants further
/// attempts.
class RetryFleet {
 public:
  struct Options {
    std::size_t entries = 4;
    double requests_per_second = 32;
    double arrivals_of_attempt = 1;  ///< 2: prompts are read apart.
    int wishes = 3;  ///< Further attempts that a failing request wants.
    RetryRule rule;
    std::uint64_t seed = 1;
  };

  explicit RetryFleet(const Options& options);
  ~RetryFleet();
  RetryFleet(const RetryFleet&) = delete;
  RetryFleet& operator=(const RetryFleet&) = delete;

  /// Plays `length` of time.
  void Run(Duration length);

  void SetFailing(bool failing) { failing_ = failing; }
  std::size_t size() const { return slots_.size(); }
  /// Adds an entry under a name of its own, and starts it.
  void Add();
  /// Starts the entry's process; ends the one that it has.
  void Start(std::size_t entry);
  void Kill(std::size_t entry);
  void KillAll();
  void StartAll();
  /// Begins a planned stop. The process serves on for a moment, then ends.
  void Stop(std::size_t entry);
  void SetFrozen(std::size_t entry, bool frozen);
  /// While set, none of the entry's calls of the store is answered.
  void SetCut(std::size_t entry, bool cut);
  bool IsRunning(std::size_t entry) const;

  FakePlatform& platform() { return platform_; }
  RetryWindow Worst() const;
  int granted() const { return static_cast<int>(further_.size()); }
  int wanted() const { return wanted_; }

 private:
  class Process;
  struct Slot {
    std::string name;
    std::unique_ptr<Process> process;
    bool frozen = false;
    bool cut = false;
    TimePoint ends_at = TimePoint::max();  ///< Of a process that is stopping.
  };

  void Step();
  void Ask();

  Options options_;
  RandomSource random_;
  boost::asio::io_context io_;
  FakePlatform platform_{&io_};
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint next_tick_{};
  double due_ = 0;  ///< Requests, with a fraction of the next one.
  std::vector<Slot> slots_;
  bool failing_ = false;
  int wanted_ = 0;
  std::uint64_t incarnations_ = 0;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> further_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_RETRY_FLEET_H_
