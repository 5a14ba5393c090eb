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

/// Writes lines to a file descriptor from a dedicated thread.
///
/// The reader of a process's output may be slow or gone, and a blocking write
/// would stall the requests of all callers. `Push` therefore only appends to a
/// bounded buffer. Lines that do not fit or that exceed the rate limit are
/// dropped and counted; the next flush writes the count.
class LineWriter {
 public:
  struct Options {
    int descriptor = 1;
    /// Capacity of the buffer in lines; several seconds at the maximum rate.
    std::size_t max_buffered_lines = 4096;
    /// More than the busiest second observed had (four lines for each of 100
    /// requests), and far below the rate at which formatting takes a fifth of
    /// a core.
    std::uint32_t max_lines_per_s = 600;
    /// Each flush costs a wake-up of the thread and a write.
    std::chrono::milliseconds flush_interval{100};
  };

  explicit LineWriter(Options options);
  /// Writes the buffered lines; drops the rest if the reader accepts no data
  /// for the write timeout.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// Appends a line, which includes its line break. Never blocks on the reader.
  /// Safe to call from any thread.
  void Push(std::string line);

  std::uint64_t dropped() const;

 private:
  void Run();
  std::string TakeBufferedText();
  /// Returns the number of bytes written.
  std::size_t WriteText(const std::string& text);
  void CountDropped(const std::string& text, std::size_t written);

  Options options_;
  mutable std::mutex mutex_;
  std::condition_variable stopping_changed_;
  std::vector<std::string> buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  std::uint32_t lines_this_second_ = 0;
  std::chrono::steady_clock::time_point second_start_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_OBSERVE_LINE_WRITER_H_
