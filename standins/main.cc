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
DEFINE_int32(instance_lag_ms, 0, "platform: delay of the instance list");
DEFINE_string(model, "tarifa-llm", "engine: model loaded at the start");
DEFINE_string(model_version, "1", "engine: version loaded at the start");
DEFINE_string(adapters, "", "engine: comma-separated adapters loaded");
DEFINE_string(role, "mixed", "engine: role at the start");
DEFINE_double(prefill_tokens_per_s, 100000,
              "engine: prefill rate; 0: no delay");
DEFINE_double(decode_tokens_per_s, 1000,
              "engine: decode rate per run; 0: no delay");
DEFINE_uint32(slots, 64, "engine: maximum number of concurrent runs");
DEFINE_uint64(kv_capacity_bytes, 1ULL << 30, "engine: memory for KV cache");
DEFINE_uint32(load_lag_ms, 200, "engine: delay of the load report");
DEFINE_double(change_seconds, 2, "engine: duration of a role or model change");
DEFINE_bool(check_fencing, true, "engine: refuses old fencing numbers");
DEFINE_bool(crash_in_change, false, "engine: crashes during its first change");
DEFINE_uint32(cache_event_lag_ms, 200, "engine: delay of the cache events");
DEFINE_uint32(cache_event_gap_every, 0, "engine: drops every N-th cache event");
DEFINE_string(poison, "", "Word that crashes the target; empty: the default");
DEFINE_uint32(delay_ms, 0, "service, relay: delay of each response or block");
DEFINE_string(to, "", "relay: IP:port to forward connections to");

namespace indigolead::standins {
namespace {

constexpr int kUsageExit = 2;
/// Exit code of a target crashed by a request with the poison word.
constexpr int kPoisonExit = 3;

/// Returns the signals that stop a stand-in or control the relay.
sigset_t WaitedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGUSR2}) {
    sigaddset(&signals, number);
  }
  return signals;
}

/// Prints `line` and flushes it, for a process that reads it from a pipe.
void PrintLine(const std::string& line) {
  std::puts(line.c_str());
  std::fflush(stdout);
}

/// Prints the listening address, then waits for SIGTERM or SIGINT.
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

/// Runs the relay until SIGTERM or SIGINT. SIGUSR1 silences and SIGUSR2 resets
/// the open connections, so that a script can control it by process id.
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
        relay->ResetOpenConnections();
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

/// Blocks the awaited signals in all threads, so that only `sigwait` receives
/// them. Must be called before any thread starts.
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
