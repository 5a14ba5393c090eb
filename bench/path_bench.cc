// Measures the overhead of the path through an entry and a side compared with
// calling a target directly: latency, requests and streamed tokens per second,
// CPU per thread, and memory per open stream. Everything runs in this process
// on loopback; the target does no work of its own.
//
//   path_bench [latency|requests|tokens|memory]...
//
// With one side, the side or its target is the bottleneck; with four sides, the
// entry is.

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench/bench_client.h"
#include "bench/bench_target.h"
#include "core/config/revision_json.h"
#include "core/request/catalogue.h"
#include "entry/entry_process.h"
#include "side/side_process.h"

namespace indigolead::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr const char* kKey = "bench-key";

std::string Hex(const KeyHash& hash) {
  std::string text;
  for (const unsigned char it : hash) {
    char digits[3];
    std::snprintf(digits, sizeof(digits), "%02x", it);
    text += digits;
  }
  return text;
}

std::string BenchRevision() {
  ClientAccountSpec account;
  account.name = "bench";
  account.api_key_sha256 = Hex(HashKey(kKey));
  account.max_concurrent = 100000;
  Revision revision;
  revision.number = 1;
  revision.spec.name = "bench-llm";
  revision.spec.models = {{"bench", "1", {}}};
  revision.spec.client_accounts = {account};
  revision.spec.request.deadline = std::chrono::minutes(10);
  revision.digest = SpecDigest(revision.spec);
  return ToJson(revision);
}

/// The path under test: one entry and a given number of sides, each with its
/// target.
class Path {
 public:
  explicit Path(std::size_t sides) {
    Settings settings;
    settings.instance.name = "bench-entry";
    settings.entry.max_connections = 20000;
    settings.entry.max_requests = 20000;
    entry_ = std::make_unique<EntryProcess>(settings, MakeNullEventLog());
    if (!IsOk(entry_->Start())) {
      throw std::runtime_error("entry did not start");
    }
    entry_->OfferRevision(BenchRevision());
    for (std::size_t i = 0; i < sides; ++i) {
      AddSide(i);
    }
  }

  ~Path() {
    for (auto& it : sides_) {
      it->RequestStop();
    }
    for (auto& it : side_threads_) {
      it.join();
    }
    entry_.reset();
  }

  std::string target_address() const { return targets_[0]->address(); }
  std::string entry_address() const { return entry_->http_address(); }

 private:
  void AddSide(std::size_t i) {
    targets_.push_back(std::make_unique<BenchTarget>());
    Settings side;
    side.instance.name = "bench-target-" + std::to_string(i);
    side.links.seeds = {entry_->link_address()};
    side.side.deployment = "bench-llm";
    side.side.target_address = targets_.back()->address();
    side.side.max_attempts = 20000;
    side.side.max_buffer_bytes = 1ULL << 30;
    sides_.push_back(std::make_unique<SideProcess>(side, MakeNullEventLog()));
    side_threads_.emplace_back([process = sides_.back().get()] {
      pthread_setname_np(pthread_self(), "bench-side");
      process->Run();
    });
  }

  std::vector<std::unique_ptr<BenchTarget>> targets_;
  std::unique_ptr<EntryProcess> entry_;
  std::vector<std::unique_ptr<SideProcess>> sides_;
  std::vector<std::thread> side_threads_;
};

std::string Request(const std::string& body) {
  return std::string("POST /v1/completions HTTP/1.1\r\nHost: bench\r\n") +
         "Authorization: Bearer " + kKey +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kSmallRequest =
    Request(R"({"model":"bench","prompt":"gel","max_tokens":16})");

std::string Stream(int tokens, bool hold) {
  return Request(R"({"model":"bench","stream":true,"max_tokens":)" +
                 std::to_string(tokens) + (hold ? R"(,"hold":true})" : "}"));
}

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

/// Waits until a request over the path returns 200.
void WaitUntilReady(const Path& path) {
  for (int i = 0; i < 200; ++i) {
    BlockingClient caller(path.entry_address());
    if (caller.Call(kSmallRequest).substr(0, 12) == "HTTP/1.1 200") {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  throw std::runtime_error("no request over the path returned 200");
}

void MeasureLatency(const Path& path) {
  constexpr int kCalls = 20000;
  BlockingClient direct(path.target_address());
  BlockingClient through(path.entry_address());
  std::vector<double> direct_us;
  std::vector<double> through_us;
  const auto timed = [](BlockingClient& caller, std::vector<double>* out) {
    const auto start = SteadyClock::now();
    caller.Call(kSmallRequest);
    out->push_back(
        std::chrono::duration<double, std::micro>(SteadyClock::now() - start)
            .count());
  };
  // Alternates the two, so that other load on the machine affects both equally.
  for (int i = 0; i < kCalls; ++i) {
    timed(direct, &direct_us);
    timed(through, &through_us);
  }
  for (const double share : {0.5, 0.99}) {
    const double a = Percentile(direct_us, share);
    const double b = Percentile(through_us, share);
    std::printf(
        "latency p%.0f: direct %.0f us, path %.0f us, added %.0f us, "
        "ratio %.2f\n",
        share * 100, a, b, b - a, b / a);
  }
}

/// Returns the CPU seconds of this process's threads, by thread name.
std::map<std::string, double> ThreadTimes() {
  std::map<std::string, double> times;
  for (const auto& it :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::ifstream file(it.path() / "stat");
    std::string text;
    std::getline(file, text);
    const std::size_t open = text.find('(');
    const std::size_t close = text.rfind(')');
    std::istringstream rest(text.substr(close + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
      rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    times[text.substr(open + 1, close - open - 1)] +=
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  return times;
}

void PrintThreadTimes(const std::map<std::string, double>& before,
                      double seconds) {
  std::printf("  cores used:");
  for (const auto& [name, after] : ThreadTimes()) {
    const auto found = before.find(name);
    const double used = after - (found == before.end() ? 0 : found->second);
    if (used / seconds >= 0.01) {
      std::printf(" %s %.2f", name.c_str(), used / seconds);
    }
  }
  std::printf("\n");
}

void MeasureRequests(const Path& path) {
  for (const std::size_t callers : {16U, 128U}) {
    ParallelClients load(path.entry_address(), callers);
    const auto before = ThreadTimes();
    const auto start = SteadyClock::now();
    const std::uint64_t done = load.Run(kSmallRequest, std::chrono::seconds(4));
    const double seconds =
        std::chrono::duration<double>(SteadyClock::now() - start).count();
    std::printf("requests: %zu callers: %.0f requests/s\n", callers,
                static_cast<double>(done) / seconds);
    PrintThreadTimes(before, seconds);
  }
}

void MeasureTokens(const Path& path) {
  constexpr int kTokens = 2000;
  for (const std::size_t callers : {16U, 200U}) {
    ParallelClients load(path.entry_address(), callers);
    const auto before = ThreadTimes();
    const auto start = SteadyClock::now();
    const std::uint64_t done =
        load.Run(Stream(kTokens, false), std::chrono::seconds(4));
    const double seconds =
        std::chrono::duration<double>(SteadyClock::now() - start).count();
    std::printf("tokens: %zu streams: %.0f tokens/s\n", callers,
                static_cast<double>(done * kTokens) / seconds);
    PrintThreadTimes(before, seconds);
  }
}

std::uint64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

double BytesPerHeldStream(const std::string& address, std::size_t streams) {
  const std::uint64_t before = ResidentBytes();
  ParallelClients load(address, streams);
  load.OpenStreams(Stream(4, true));
  return static_cast<double>(ResidentBytes() - before) /
         static_cast<double>(streams);
}

void MeasureMemory(const Path& path) {
  constexpr std::size_t kStreams = 2000;
  const double direct = BytesPerHeldStream(path.target_address(), kStreams);
  const double through = BytesPerHeldStream(path.entry_address(), kStreams);
  std::printf(
      "memory: direct %.0f, path %.0f, added %.0f bytes per stream "
      "(entry and side together, %zu streams)\n",
      direct, through, through - direct, kStreams);
}

}  // namespace

int Main(int argc, char** argv) {
  const std::vector<std::string> wanted(argv + 1, argv + argc);
  const auto asked = [&wanted](const char* name) {
    return wanted.empty() ||
           std::find(wanted.begin(), wanted.end(), name) != wanted.end();
  };
  for (const std::size_t sides : {1U, 4U}) {
    std::printf("-- %zu sides\n", sides);
    Path path(sides);
    WaitUntilReady(path);
    if (asked("latency") && sides == 1) {
      MeasureLatency(path);
    }
    if (asked("requests")) {
      MeasureRequests(path);
    }
    if (asked("tokens")) {
      MeasureTokens(path);
    }
    if (asked("memory") && sides == 1) {
      MeasureMemory(path);
    }
  }
  return 0;
}

}  // namespace indigolead::bench

int main(int argc, char** argv) { return indigolead::bench::Main(argc, argv); }
