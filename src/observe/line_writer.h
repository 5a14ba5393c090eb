#ifndef INDIGOLEAD_OBSERVE_LINE_WRITER_H_
#define INDIGOLEAD_OBSERVE_LINE_WRITER_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace indigolead {

/// Writes lines to a file descriptor from a thread of its own.
///
/// Whoever reads a process's output may be slow or gone, and a write that
/// waits for it would stop the requests of every caller. So `Push` only takes
/// a place in a bounded buffer; what finds none, or comes above the rate, is
/// dropped and counted, and the count is written as soon as there is room.
class LineWriter {
 public:
  struct Options {
    int descriptor = 1;
    /// Lines that wait to be written: some seconds' worth at the rate below.
    std::size_t max_waiting = 4096;
    /// Above the lines of the busiest second seen (four for each of 100
    /// requests), far below what formatting could cost a fifth of a core.
    std::uint32_t max_lines_per_s = 600;
    /// Each flush wakes a thread and makes one write.
    std::chrono::milliseconds flush_interval{100};
  };

  explicit LineWriter(Options options);
  /// Writes what waits, without waiting for the reader.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// Takes a line, with its line break. Never blocks on the reader. Safe from
  /// any thread.
  void Push(std::string line);

  std::uint64_t dropped() const;

 private:
  void Run();
  std::string TakeWaiting();
  /// Returns the bytes that the reader took.
  std::size_t WriteSome(const std::string& text);
  void CountDropped(const std::string& text, std::size_t written);

  Options options_;
  mutable std::mutex mutex_;
  std::condition_variable stopping_changed_;
  std::vector<std::string> waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
  std::uint32_t lines_this_second_ = 0;
  std::chrono::steady_clock::time_point second_start_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_OBSERVE_LINE_WRITER_H_
