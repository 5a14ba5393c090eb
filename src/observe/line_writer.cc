#include "observe/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace indigolead {
namespace {

/// Longest wait for a reader that accepts no data; after it, the remaining text
/// is dropped.
constexpr int kWriteTimeoutMs = 1000;

}  // namespace

LineWriter::LineWriter(Options options)
    : options_(options),
      second_start_(std::chrono::steady_clock::now()),
      thread_([this] { Run(); }) {}

LineWriter::~LineWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_one();
  thread_.join();
}

void LineWriter::Push(std::string line) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    lines_this_second_ = 0;
  }
  if (lines_this_second_ >= options_.max_lines_per_s ||
      buffer_.size() >= options_.max_buffered_lines) {
    ++dropped_;
    return;
  }
  ++lines_this_second_;
  buffer_.push_back(std::move(line));
}

std::uint64_t LineWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void LineWriter::Run() {
  for (;;) {
    bool stopping = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      stopping_changed_.wait_for(lock, options_.flush_interval,
                                 [this] { return stopping_; });
      stopping = stopping_;
    }
    const std::string text = TakeBufferedText();
    CountDropped(text, WriteText(text));
    if (stopping) {
      return;
    }
  }
}

std::string LineWriter::TakeBufferedText() {
  std::vector<std::string> lines;
  std::string text;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lines.swap(buffer_);
    if (dropped_ > reported_dropped_) {
      text = "log-lines-dropped count=" +
             std::to_string(dropped_ - reported_dropped_) + "\n";
      reported_dropped_ = dropped_;
    }
  }
  for (const std::string& it : lines) {
    text += it;
  }
  return text;
}

void LineWriter::CountDropped(const std::string& text, std::size_t written) {
  const auto rest = text.begin() + static_cast<std::ptrdiff_t>(written);
  const auto n = std::count(rest, text.end(), '\n');
  const std::lock_guard<std::mutex> lock(mutex_);
  dropped_ += static_cast<std::uint64_t>(n);
}

std::size_t LineWriter::WriteText(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    pollfd ready{options_.descriptor, POLLOUT, 0};
    if (poll(&ready, 1, kWriteTimeoutMs) <= 0) {
      return written;
    }
    // A pipe that polls as writable has room for PIPE_BUF bytes; a longer write
    // could block until the reader catches up.
    const std::size_t chunk_size =
        std::min<std::size_t>(text.size() - written, PIPE_BUF);
    const auto n =
        write(options_.descriptor, text.data() + written, chunk_size);
    if (n < 0 && errno != EINTR && errno != EAGAIN) {
      return written;
    }
    written += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  return written;
}

}  // namespace indigolead
