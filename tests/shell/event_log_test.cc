#include "observe/event_log.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "tests/support/scratch_folder.h"

namespace indigolead {
namespace {

constexpr EventInfo kSomething{7999, "something", EventSeverity::kInfo,
                               "Something happened."};
constexpr EventInfo kDetail{7998, "detail", EventSeverity::kDebug, "A detail."};

/// Redirects a file descriptor of this process to a file during its lifetime.
class Redirect {
 public:
  Redirect(int fd, const std::string& path)
      : fd_(fd), saved_(dup(fd)), path_(path) {
    std::FILE* file = std::fopen(path.c_str(), "w");
    dup2(fileno(file), fd_);
    std::fclose(file);
  }
  ~Redirect() { Restore(); }
  Redirect(const Redirect&) = delete;
  Redirect& operator=(const Redirect&) = delete;

  /// Ends the redirection and returns what was written.
  std::string Take() {
    Restore();
    std::ostringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

 private:
  void Restore() {
    std::fflush(nullptr);
    if (saved_ >= 0) {
      dup2(saved_, fd_);
      close(saved_);
      saved_ = -1;
    }
  }

  int fd_;
  int saved_;
  std::string path_;
};

// A script may read a command's result from standard output; a log line in it
// would break the script.
/// Guards against buffered lines that take the memory of a process because
/// callers choose long values.
TEST_CASE("A line of the log is bounded however long its values are") {
  const std::size_t size = GENERATE(8192, 8193, 120000);
  const std::string value = std::string(size, 'n');
  const std::string line = FormatEvent(kSomething, {{"request", value}});
  const std::string expected =
      "7999 something request=" + std::string(8192, 'n') +
      (size > 8192 ? "..." : "");
  CHECK((line == expected));
}

TEST_CASE("The standard error log writes nothing to standard output") {
  const testing::ScratchFolder folder;
  const EventLog log = MakeStderrEventLog("test", EventSeverity::kInfo);
  Redirect out(STDOUT_FILENO, folder.Sub("out"));
  Redirect err(STDERR_FILENO, folder.Sub("err"));
  log(kSomething, {{"name", "a b"}});
  log(kDetail, {});
  const std::string written_to_err = err.Take();
  CHECK(out.Take().empty());
  CHECK_THAT(written_to_err,
             Catch::Matchers::Contains("7999 something name=\"a b\"\n"));
  CHECK_THAT(written_to_err, !Catch::Matchers::Contains("7998"));
}

}  // namespace
}  // namespace indigolead
