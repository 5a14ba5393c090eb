#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <map>
#include <sstream>
#include <string>

#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "standins/relay_server.h"
#include "standins/service_server.h"
#include "standins/standin_version.h"

DEFINE_int32(port, 0, "Port on 127.0.0.1; 0 picks a free one");
DEFINE_int32(instance_lag_ms, 0, "platform: lag of the instance list");
DEFINE_string(model, "tarifa-llm", "engine: model loaded at the start");
DEFINE_string(model_version, "1", "engine: version loaded at the start");
DEFINE_string(adapters, "", "engine: adapters loaded, with commas between");
DEFINE_string(role, "mixed", "engine: role at the start");
DEFINE_double(prefill_tokens_per_s, 100000, "engine: prefill rate; 0: no wait");
DEFINE_double(decode_tokens_per_s, 1000,
              "engine: decode rate of each run; 0: no wait");
DEFINE_uint32(slots, 64, "engine: runs at once");
DEFINE_uint64(kv_capacity_bytes, 1ULL << 30, "engine: memory for KV cache");
DEFINE_uint32(load_lag_ms, 200, "engine: lag of the load report");
DEFINE_double(change_seconds, 2, "engine: time of a role or model change");
DEFINE_bool(check_fencing, true, "engine: refuses old fencing numbers");
DEFINE_bool(crash_in_change, false, "engine: dies in its first change");
DEFINE_uint32(cache_event_lag_ms, 200, "engine: lag of the cache events");
DEFINE_uint32(cache_event_gap_every, 0, "engine: drops each N-th cache event");
DEFINE_string(poison, "", "Word that kills the target; empty: the default");
DEFINE_uint32(delay_ms, 0, "service, relay: holds each answer or piece back");
DEFINE_string(to, "", "relay: IP:port to which connections are passed on");

namespace indigolead::standins {
namespace {

constexpr int kUsageExit = 2;
/// Exit code of a target that a poisoned request killed.
constexpr int kPoisonExit = 3;

/// Returns the signals that stop a stand-in or steer the relay.
sigset_t WaitedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGUSR2}) {
    sigaddset(&signals, number);
  }
  return signals;
}

/// Prints `line` at once, for the process that reads it through a pipe.
void PrintLine(const std::string& line) {
  std::puts(line.c_str());
  std::fflush(stdout);
}

/// Prints where the stand-in listens, then waits for SIGTERM or SIGINT.
int ServeUntilSignal(const std::string& address) {
  PrintLine("listening " + address);
  const sigset_t signals = WaitedSignals();
  int signal_number = 0;
  do {
    sigwait(&signals, &signal_number);
  } while (signal_number != SIGTERM && signal_number != SIGINT);
  return 0;
}

std::uint16_t Port() { return static_cast<std::uint16_t>(FLAGS_port); }

int RunPlatform() {
  PlatformServer::Options options;
  options.port = Port();
  options.instance_lag = std::chrono::milliseconds(FLAGS_instance_lag_ms);
  PlatformServer server(options);
  return ServeUntilSignal(server.address());
}

std::vector<std::string> SplitAdapters() {
  std::vector<std::string> adapters;
  std::stringstream stream(FLAGS_adapters);
  for (std::string part; std::getline(stream, part, ',');) {
    adapters.push_back(part);
  }
  return adapters;
}

int RunEngine() {
  EngineOptions options;
  options.port = Port();
  options.model = FLAGS_model;
  options.version = FLAGS_model_version;
  options.adapters = SplitAdapters();
  options.role = FLAGS_role;
  options.prefill_tokens_per_s = FLAGS_prefill_tokens_per_s;
  options.decode_tokens_per_s = FLAGS_decode_tokens_per_s;
  options.slots = FLAGS_slots;
  options.kv_capacity_bytes = FLAGS_kv_capacity_bytes;
  options.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  options.change_time = std::chrono::milliseconds(
      static_cast<std::int64_t>(FLAGS_change_seconds * 1000));
  options.check_fencing = FLAGS_check_fencing;
  options.crash_in_change = FLAGS_crash_in_change;
  options.cache_event_lag = std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
  options.cache_event_gap_every = FLAGS_cache_event_gap_every;
  options.poison = FLAGS_poison.empty() ? options.poison : FLAGS_poison;
  options.on_poison = [] { _exit(kPoisonExit); };
  EngineServer server(options);
  return ServeUntilSignal(server.address());
}

int RunService() {
  ServiceServer::Options options;
  options.port = Port();
  options.delay_ms = FLAGS_delay_ms;
  options.poison = FLAGS_poison.empty() ? options.poison : FLAGS_poison;
  options.on_poison = [] { _exit(kPoisonExit); };
  ServiceServer server(options);
  return ServeUntilSignal(server.address());
}

/// Lets a script that has only the process steer the relay.
int ServeRelay(RelayServer* relay) {
  PrintLine("listening " + relay->address());
  const sigset_t signals = WaitedSignals();
  while (true) {
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    switch (signal_number) {
      case SIGUSR1:
        relay->SilenceOpenConnections();
        PrintLine("silenced");
        break;
      case SIGUSR2:
        relay->CutOpenConnections();
        PrintLine("cut");
        break;
      default:
        return 0;
    }
  }
}

int RunRelay() {
  RelayServer relay(Port(), FLAGS_to);
  relay.SetDelay(std::chrono::milliseconds(FLAGS_delay_ms));
  return ServeRelay(&relay);
}

/// Blocks the signals waited for in every thread, so that only `sigwait` takes
/// them. Must be called before the first thread starts.
void BlockWaitedSignals() {
  const sigset_t signals = WaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "indigolead-standin platform|engine|service|relay [flags]");
  gflags::SetVersionString(Version());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::map<std::string, std::function<int()>> commands = {
      {"platform", RunPlatform},
      {"engine", RunEngine},
      {"service", RunService},
      {"relay", RunRelay}};
  const auto it = commands.find(argc == 2 ? argv[1] : "");
  if (it == commands.end()) {
    std::fprintf(stderr,
                 "expected one of: platform, engine, service, relay\n"
                 "see standins/README.md for the flags\n");
    return kUsageExit;
  }
  BlockWaitedSignals();
  return it->second();
}

}  // namespace
}  // namespace indigolead::standins

int main(int argc, char** argv) {
  return indigolead::standins::Main(argc, argv);
}
