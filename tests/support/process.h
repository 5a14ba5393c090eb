#ifndef INDIGOLEAD_TESTS_SUPPORT_PROCESS_H_
#define INDIGOLEAD_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace indigolead::testing {

/// One child process of a test, ended and reaped by the destructor at the
/// latest.
///
/// Tests of crashes and pauses need real processes. The child never outlives
/// the test: the kernel kills it if the test program dies.
class Process {
 public:
  /// Starts `binary` of the build folder ("indigolead", "indigolead-standin")
  /// with `arguments`. Throws if it cannot be started.
  Process(const std::string& binary, const std::vector<std::string>& arguments);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  /// Waits for a line of standard output that starts with `prefix`, and
  /// returns what follows. Throws, with the output so far, if the process ends
  /// or `at_most` passes first.
  std::string WaitForLine(
      const std::string& prefix,
      std::chrono::seconds at_most = std::chrono::seconds(30));

  /// Returns the address of the line "listening IP:PORT".
  std::string WaitForAddress() { return WaitForLine("listening "); }

  /// Sends signal `number` if the process still runs.
  void Signal(int number);

  /// SIGSTOP, then waits until every thread of the process has stopped.
  void Pause();
  void Resume();     ///< SIGCONT.
  void Kill();       ///< SIGKILL, then waits for the end.
  void Terminate();  ///< SIGTERM, without waiting.

  /// Waits for the end. Returns the exit code, or minus the number of the
  /// signal that ended it; nothing if it still runs after `at_most`.
  std::optional<int> WaitForExit(std::chrono::seconds at_most);

  bool running();
  pid_t pid() const { return pid_; }

  /// Returns standard output and standard error read so far.
  const std::string& output();

 private:
  void ReadAvailable();
  void Reap(int options);
  void TakeStatus(int status);

  std::string name_;
  pid_t pid_ = -1;
  int output_fd_ = -1;
  std::string output_;
  std::optional<int> exit_;
};

/// Polls `condition` every few milliseconds until it returns true. Returns
/// false if `at_most` passes first.
template <typename Condition>
bool WaitUntil(Condition condition,
               std::chrono::seconds at_most = std::chrono::seconds(30));

/// Sleeps for a few milliseconds between two polls of a condition.
void SleepBetweenLooks();

template <typename Condition>
bool WaitUntil(Condition condition, std::chrono::seconds at_most) {
  const auto deadline = std::chrono::steady_clock::now() + at_most;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    SleepBetweenLooks();
  }
  return true;
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_PROCESS_H_
