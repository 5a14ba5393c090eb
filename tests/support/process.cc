#include "tests/support/process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>
#include <utility>

namespace indigolead::testing {
namespace {

constexpr std::chrono::milliseconds kLookInterval{5};
constexpr std::chrono::seconds kKillTimeout{30};

/// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void BecomeChild(int output_fd, pid_t parent, char* const* argv) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(126);
  }
  dup2(output_fd, STDOUT_FILENO);
  dup2(output_fd, STDERR_FILENO);
  // A child that inherited the listening sockets of stand-ins in this process
  // would keep their ports open after the stand-ins are taken down.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(argv[0], argv);
  _exit(127);
}

}  // namespace

Process::Process(const std::string& binary,
                 const std::vector<std::string>& arguments)
    : name_(binary) {
  std::vector<std::string> words = {std::string(INDIGOLEAD_BINARY_DIR) + "/" +
                                    binary};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (auto& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  int fds[2];
  if (pipe2(fds, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed for " + binary);
  }
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    BecomeChild(fds[1], parent, argv.data());
  }
  close(fds[1]);
  output_fd_ = fds[0];
  fcntl(output_fd_, F_SETFL, O_NONBLOCK);
  if (pid_ < 0) {
    close(output_fd_);
    throw std::runtime_error("fork failed for " + binary);
  }
}

Process::Process(Process&& other) noexcept
    : name_(std::move(other.name_)),
      pid_(std::exchange(other.pid_, -1)),
      output_fd_(std::exchange(other.output_fd_, -1)),
      output_(std::move(other.output_)),
      exit_(other.exit_) {}

Process::~Process() {
  if (pid_ > 0) {
    Kill();
  }
  if (output_fd_ >= 0) {
    close(output_fd_);
  }
}

void Process::ReadAvailable() {
  char buf[4096];
  ssize_t n = 0;
  while ((n = read(output_fd_, buf, sizeof(buf))) > 0) {
    output_.append(buf, static_cast<std::size_t>(n));
  }
}

std::string Process::WaitForLine(const std::string& prefix,
                                 std::chrono::seconds at_most) {
  std::string found;
  const auto look = [&] {
    ReadAvailable();
    for (std::size_t at = 0; at < output_.size();) {
      const auto end = output_.find('\n', at);
      if (end == std::string::npos) {
        return false;
      }
      if (output_.compare(at, prefix.size(), prefix) == 0) {
        found = output_.substr(at + prefix.size(), end - at - prefix.size());
        return true;
      }
      at = end + 1;
    }
    return false;
  };
  const bool done = WaitUntil(
      [&] { return look() || (!running() && (look(), true)); }, at_most);
  if (!done || (found.empty() && !look())) {
    throw std::runtime_error("expected: a line \"" + prefix + "...\" from " +
                             name_ + "\nseen:     " + output_ +
                             (running() ? "" : "(the process ended)"));
  }
  return found;
}

void Process::Signal(int number) {
  if (running()) {
    kill(pid_, number);
  }
}

void Process::Pause() {
  Signal(SIGSTOP);
  // Signal delivery is asynchronous: threads on other processors may run on and
  // still answer. The kernel reports the stop once all threads have stopped.
  int status = 0;
  if (running() && waitpid(pid_, &status, WUNTRACED) == pid_) {
    TakeStatus(status);
  }
}

void Process::Resume() { Signal(SIGCONT); }

void Process::Terminate() { Signal(SIGTERM); }

void Process::Kill() {
  Signal(SIGKILL);
  WaitForExit(kKillTimeout);
}

void Process::Reap(int options) {
  int status = 0;
  if (!exit_ && pid_ > 0 && waitpid(pid_, &status, options) == pid_) {
    TakeStatus(status);
  }
}

void Process::TakeStatus(int status) {
  if (WIFEXITED(status)) {
    exit_ = WEXITSTATUS(status);
  } else if (WIFSIGNALED(status)) {
    exit_ = -WTERMSIG(status);
  }
}

bool Process::running() {
  Reap(WNOHANG);
  return !exit_ && pid_ > 0;
}

std::optional<int> Process::WaitForExit(std::chrono::seconds at_most) {
  WaitUntil(
      [this] {
        ReadAvailable();  // A full pipe would keep the child from ending.
        return !running();
      },
      at_most);
  return exit_;
}

const std::string& Process::output() {
  ReadAvailable();
  return output_;
}

void SleepBetweenLooks() { std::this_thread::sleep_for(kLookInterval); }

}  // namespace indigolead::testing
