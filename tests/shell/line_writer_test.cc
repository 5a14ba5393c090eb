#include "observe/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace indigolead {
namespace {

/// A pipe whose reading end is read only by `ReadAll`.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return ends_[1]; }

  std::string ReadAll() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    char buf[4096];
    for (ssize_t n = 0; (n = read(ends_[0], buf, sizeof(buf))) > 0;) {
      all.append(buf, static_cast<std::size_t>(n));
    }
    return all;
  }

 private:
  int ends_[2] = {-1, -1};
};

LineWriter::Options OptionsFor(const Pipe& pipe) {
  LineWriter::Options options;
  options.descriptor = pipe.writer();
  return options;
}

TEST_CASE("The destructor of the writer writes all lines in order") {
  Pipe pipe;
  {
    LineWriter writer(OptionsFor(pipe));
    writer.Push("one\n");
    writer.Push("two\n");
  }
  CHECK(pipe.ReadAll() == "one\ntwo\n");
}

// Requests must not wait for the log during a burst of log lines, and the log
// must state how many lines are missing.
TEST_CASE("Lines above the rate are dropped and counted") {
  Pipe pipe;
  LineWriter::Options options = OptionsFor(pipe);
  options.max_lines_per_s = 3;
  {
    LineWriter writer(options);
    for (int n = 0; n < 10; ++n) {
      writer.Push("line\n");
    }
    CHECK(writer.dropped() == 7);
  }
  const std::string text = pipe.ReadAll();
  CHECK(text.find("log-lines-dropped count=7\n") != std::string::npos);
  CHECK(text.size() == std::string("line\n").size() * 3 +
                           std::string("log-lines-dropped count=7\n").size());
}

// Guards against `Push` blocking when the reader of the output has stopped.
TEST_CASE("Push does not block when the reader has stopped") {
  Pipe pipe;
  LineWriter::Options options = OptionsFor(pipe);
  options.max_buffered_lines = 100;
  options.max_lines_per_s = 1000000;
  options.flush_interval = std::chrono::milliseconds(5);
  const auto begin = std::chrono::steady_clock::now();
  {
    LineWriter writer(options);
    const std::string line(4096, 'x');
    for (int n = 0; n < 2000; ++n) {
      writer.Push(line);
    }
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
    CHECK(writer.dropped() > 1000);
  }
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(8));
}

// Guards against lines that are lost without being counted.
TEST_CASE("Lines lost to a slow reader are counted as dropped") {
  Pipe pipe;
  LineWriter::Options options = OptionsFor(pipe);
  options.max_lines_per_s = 1000;
  LineWriter writer(options);
  const std::string line(999, 'x');
  for (int n = 0; n < 200; ++n) {  // Three times the capacity of a pipe.
    writer.Push(line + "\n");
  }
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (writer.dropped() == 0 && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const auto seen = pipe.ReadAll();
  const auto whole =
      static_cast<std::uint64_t>(std::count(seen.begin(), seen.end(), '\n'));
  CHECK(writer.dropped() + whole == 200);
}

}  // namespace
}  // namespace indigolead
