// Measures the CPU cost of a side: requests and streamed tokens per CPU second
// of its threads. The entry and the engine run in the same process; their
// threads are not counted.
#include <dirent.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "runtime/clock.h"
#include "side/side_process.h"
#include "standins/engine_server.h"
#include "wire/links.h"

namespace indigolead {
namespace {

constexpr std::uint32_t kInFlight = 64;
constexpr std::chrono::seconds kRunTime{4};

std::set<std::string> ThreadIds() {
  std::set<std::string> ids;
  DIR* dir = opendir("/proc/self/task");
  while (const dirent* it = readdir(dir)) {
    if (it->d_name[0] != '.') {
      ids.insert(it->d_name);
    }
  }
  closedir(dir);
  return ids;
}

/// Returns the total CPU time of the threads, in seconds.
double CpuSeconds(const std::set<std::string>& threads) {
  double seconds = 0;
  for (const auto& it : threads) {
    std::ifstream file("/proc/self/task/" + it + "/schedstat");
    double nanos = 0;
    file >> nanos;
    seconds += nanos / 1e9;
  }
  return seconds;
}

/// Simulates an entry that keeps `kInFlight` attempts in flight.
class BenchEntry {
 public:
  BenchEntry() {
    Links::Options options;
    options.bind_address = "127.0.0.1:0";
    Links::Hooks hooks;
    hooks.make_hello = [] {
      wire::Hello hello;
      hello.set_protocol(1);
      hello.set_kind(wire::PROCESS_ENTRY);
      hello.set_instance("entry-1");
      hello.set_incarnation(ToBytes(Id128{1, 1}));
      return hello;
    };
    hooks.on_up = [this](LinkId link, const wire::Hello&) { link_ = link; };
    hooks.on_down = [this](LinkId, const Error&) { link_.reset(); };
    hooks.on_message = [this](LinkId, wire::Envelope&& message) {
      OnMessage(message);
    };
    links_ = std::make_unique<Links>(&io_, options, hooks, BootTimeNow,
                                     RandomId, MakeNullEventLog(), &metrics_);
    if (!IsOk(links_->Start())) {
      std::abort();
    }
  }

  std::string address() const { return links_->bound_address(); }

  void WaitForSide() {
    while (!link_) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    // The first attempt confirms that the engine is up and opens a connection.
    Run("{\"model\":\"tarifa-llm\",\"prompt\":\"x\",\"max_tokens\":1}", 1,
        std::chrono::milliseconds(200));
  }

  /// Runs attempts with `body` for `time`. Returns the number that completed.
  std::uint64_t Run(const std::string& body, std::uint32_t in_flight,
                    std::chrono::milliseconds time) {
    body_ = body;
    completed_ = 0;
    running_ = true;
    for (std::uint32_t i = 0; i < in_flight; ++i) {
      Start();
    }
    io_.restart();
    io_.run_for(time);
    const auto completed = completed_;
    running_ = false;
    while (open_ > 0) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return completed;
  }

  std::uint64_t failed() const { return failed_; }

 private:
  void Start() {
    wire::Envelope message;
    auto* start = message.mutable_start();
    start->set_attempt_id(ToBytes(Id128{7, ++next_}));
    start->set_request_id(ToBytes(Id128{7, next_}));
    start->set_start_sequence(next_);
    start->set_deployment("tarifa-llm");
    start->set_start_within_us(10'000'000);
    start->set_finish_within_us(60'000'000);
    start->set_method("POST");
    start->set_path("/v1/completions");
    start->set_body(body_);
    start->set_initial_credit_bytes(8U << 20);
    ++open_;
    if (!links_->Send(*link_, message)) {
      --open_;
      ++failed_;
    }
  }

  void OnMessage(const wire::Envelope& message) {
    if (!message.has_end() && !message.has_refused()) {
      return;
    }
    --open_;
    const bool is_complete =
        message.has_end() && message.end().outcome() == wire::END_COMPLETE;
    (is_complete ? completed_ : failed_) += 1;
    if (!is_complete && failed_ == 1) {
      std::printf(
          "first failure: %s\n",
          (message.has_end()
               ? "outcome " + std::to_string(message.end().outcome()) + " " +
                     message.end().detail()
               : "refused " + std::to_string(message.refused().reason()) + " " +
                     message.refused().detail())
              .c_str());
    }
    if (running_) {
      Start();
    }
  }

  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  std::unique_ptr<Links> links_;
  std::optional<LinkId> link_;
  std::string body_;
  std::uint64_t next_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
  std::uint32_t open_ = 0;
  bool running_ = false;
};

void Measure(const char* what, BenchEntry* entry,
             const std::set<std::string>& side_threads, const std::string& body,
             double units_each) {
  const double before = CpuSeconds(side_threads);
  const auto completed = entry->Run(body, kInFlight, kRunTime);
  const double cpu = CpuSeconds(side_threads) - before;
  const double units = static_cast<double>(completed) * units_each;
  std::printf("%s: %.0f per second, %.0f per second of a core (%.2f cores)\n",
              what, units / static_cast<double>(kRunTime.count()), units / cpu,
              cpu / static_cast<double>(kRunTime.count()));
}

int Main() {
  standins::EngineServer engine;
  engine.Change([](auto* it) {
    it->decode_tokens_per_s = 0;
    it->prefill_tokens_per_s = 0;
    it->slots = 1024;
  });
  BenchEntry entry;
  Settings settings;
  settings.instance.name = "bilbao-a-1";
  settings.links.seeds = {entry.address()};
  settings.side.deployment = "tarifa-llm";
  settings.side.target_address = engine.address();
  const auto threads_before = ThreadIds();
  SideProcess side(settings, MakeNullEventLog());
  std::thread side_thread([&side] { side.Run(); });
  entry.WaitForSide();
  std::set<std::string> side_threads;
  for (const auto& it : ThreadIds()) {
    if (!threads_before.contains(it)) {
      side_threads.insert(it);
    }
  }
  Measure("small requests", &entry, side_threads,
          R"({"model":"tarifa-llm","prompt":"x","max_tokens":1})", 1);
  Measure(
      "streamed tokens", &entry, side_threads,
      R"({"model":"tarifa-llm","prompt":"x","stream":true,"max_tokens":500})",
      500);
  std::printf("failed: %llu\n",
              static_cast<unsigned long long>(entry.failed()));
  side.RequestStop();
  side_thread.join();
  return entry.failed() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace indigolead

int main() { return indigolead::Main(); }
