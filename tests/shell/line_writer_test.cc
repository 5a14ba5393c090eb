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

/// A pipe whose reader takes what it is told to.
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

TEST_CASE("Lines are written in order by the time the writer is gone") {
  Pipe pipe;
  {
    LineWriter writer(OptionsFor(pipe));
    writer.Push("one\n");
    writer.Push("two\n");
  }
  CHECK(pipe.ReadAll() == "one\ntwo\n");
}

// A burst logs far more than anyone reads. The requests must not wait for the
// log, and the log must say that it has a hole.
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

// The reader of the output has stopped. `Push` must return all the same.
TEST_CASE("A reader that takes nothing blocks nobody") {
  Pipe pipe;
  LineWriter::Options options = OptionsFor(pipe);
  options.max_waiting = 100;
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

/// Guards against a log with a hole that nobody is told of.
TEST_CASE("Lines that a slow reader did not take are counted") {
  Pipe pipe;
  LineWriter::Options options = OptionsFor(pipe);
  options.max_lines_per_s = 1000;
  LineWriter writer(options);
  const std::string line(999, 'x');
  for (int n = 0; n < 200; ++n) {  // Three times what a pipe holds.
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
