// Measures `Links` over loopback with real sockets and the real codec:
// throughput, round-trip time, and the cost of each peer to a process.
//
// Usage: links_bench [--quick]
// scripts/capacity.sh parses the lines that start with "figure ".
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "runtime/clock.h"
#include "wire/codec.h"
#include "wire/links.h"

namespace indigolead {
namespace {

using namespace std::chrono_literals;

wire::Hello MakeHello(const std::string& name) {
  wire::Hello hello;
  hello.set_protocol(1);
  hello.set_kind(wire::PROCESS_SIDE);
  hello.set_instance(name);
  hello.set_incarnation(ToBytes(RandomId()));
  hello.set_failure_domain("bilbao-a");
  hello.set_region("norte");
  hello.set_link_address("10.0.0.1:7000");
  return hello;
}

/// Fills in the load report that a side sends with every heartbeat.
void FillLoad(wire::Heartbeat* heartbeat) {
  wire::LoadReport* load = heartbeat->mutable_load();
  load->set_measured_ago_us(250000);
  load->set_running(24);
  load->set_waiting(12);
  load->set_queued_prefill_tokens(40000);
  load->set_kv_used_bytes(30ULL << 30);
  load->set_kv_capacity_bytes(60ULL << 30);
  load->set_slots(64);
  load->set_prefill_tokens_per_s(20000);
  load->set_decode_tokens_per_s(2000);
  load->set_started_total(1000000);
  load->set_ended_total(999976);
  load->set_side_memory_bytes(64ULL << 20);
}

Duration ProcessCpu() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& t) {
    return std::chrono::microseconds(t.tv_sec * 1000000LL + t.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Links of one process with minimal callbacks.
struct Node {
  Node(const std::string& name, bool bind, bool idle = false)
      : hello(MakeHello(name)) {
    Links::Options options;
    if (idle) {
      options.idle_after = 0s;
    }
    options.bind_address = bind ? "127.0.0.1:0" : "";
    Links::Hooks hooks;
    hooks.make_hello = [this] { return hello; };
    hooks.on_up = [this](LinkId id, const wire::Hello&) {
      link = id;
      ++up;
    };
    hooks.on_down = [this](LinkId, const Error&) { --up; };
    hooks.on_message = [this](LinkId id, wire::Envelope&& message) {
      if (!message.has_heartbeat() && on_message) {
        on_message(id, std::move(message));
      }
    };
    links = std::make_unique<Links>(&io, options, hooks, BootTimeNow, RandomId,
                                    MakeNullEventLog(), &metrics);
    if (!IsOk(links->Start())) {
      std::fprintf(stderr, "links_bench: cannot bind\n");
      std::exit(1);
    }
  }

  std::uint64_t Metric(const std::string& name) const {
    const std::string text = metrics.ToPrometheusText();
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::stoull(text.substr(at + name.size() + 2));
  }

  boost::asio::io_context io;
  wire::Hello hello;
  MetricsRegistry metrics;
  std::function<void(LinkId, wire::Envelope&&)> on_message;
  std::unique_ptr<Links> links;
  LinkId link;
  std::atomic<int> up{0};
};

/// Runs a server node on its own thread, connected to a client on this one.
class NodePair {
 public:
  NodePair() : server_("entry-1", true), client_("side-1", false) {
    client_.links->Connect(server_.links->bound_address());
  }
  ~NodePair() {
    guard_.reset();
    server_.io.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  void Start() {
    thread_ = std::thread([this] { server_.io.run(); });
    while (client_.up == 0) {
      client_.io.run_one();
    }
  }
  Node& server() { return server_; }
  Node& client() { return client_; }

 private:
  Node server_;
  Node client_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_ = boost::asio::make_work_guard(server_.io);
  std::thread thread_;
};

wire::Envelope MakeChunk(std::size_t bytes) {
  wire::Envelope message;
  wire::ResponseChunk* chunk = message.mutable_chunk();
  chunk->set_attempt_id(ToBytes(RandomId()));
  chunk->set_sequence(7);
  chunk->set_data(std::string(bytes, 'x'));
  chunk->set_output_tokens(1);
  return message;
}

void MeasureThroughput(std::size_t bytes, std::uint64_t messages) {
  NodePair pair;
  std::atomic<std::uint64_t> received{0};
  pair.server().on_message = [&](LinkId, wire::Envelope&&) { ++received; };
  pair.Start();
  const wire::Envelope message = MakeChunk(bytes);
  const Duration cpu = ProcessCpu();
  const TimePoint start = BootTimeNow();
  for (std::uint64_t n = 0; n < messages;) {
    if (pair.client().links->Send(pair.client().link, message)) {
      ++n;
    } else {
      pair.client().io.poll();
      std::this_thread::yield();
    }
  }
  while (received < messages) {
    pair.client().io.run_one_for(1ms);
  }
  const double seconds = Seconds(BootTimeNow() - start);
  const double cpu_us = Seconds(ProcessCpu() - cpu) * 1e6 / messages;
  std::printf("%10zu %14.0f %12.1f %16.2f\n", bytes, messages / seconds,
              messages / seconds * bytes / 1e6, cpu_us);
  std::printf("figure links_messages_per_s_%zu %.0f\n", bytes,
              messages / seconds);
  std::printf("figure links_cpu_us_per_message_%zu %.3f\n", bytes, cpu_us);
}

void MeasureRoundTrip(int rounds) {
  NodePair pair;
  pair.server().on_message = [&](LinkId id, wire::Envelope&& message) {
    pair.server().links->Send(id, message);
  };
  bool back = false;
  pair.client().on_message = [&](LinkId, wire::Envelope&&) { back = true; };
  pair.Start();
  const wire::Envelope message = MakeChunk(64);
  std::vector<double> micros;
  for (int n = 0; n < rounds; ++n) {
    back = false;
    const TimePoint start = BootTimeNow();
    while (!pair.client().links->Send(pair.client().link, message)) {
      pair.client().io.poll();
    }
    while (!back) {
      pair.client().io.run_one();
    }
    micros.push_back(Seconds(BootTimeNow() - start) * 1e6);
  }
  std::sort(micros.begin(), micros.end());
  const double p50 = micros[micros.size() / 2];
  const double p99 = micros[micros.size() * 99 / 100];
  std::printf("round trip of 64 bytes: median %.1f us, 99th %.1f us\n", p50,
              p99);
  std::printf("figure links_round_trip_us_p50 %.1f\n", p50);
  std::printf("figure links_round_trip_us_p99 %.1f\n", p99);
}

/// Simulates `count` sides in a separate process, so that the measured process
/// contains only the links under test. Exits when the parent's pipe closes.
[[noreturn]] void SimulatePeers(int count, const std::string& address,
                                Duration interval, int pipe) {
  zmq::context_t context(1);
  context.set(zmq::ctxopt::max_sockets, count + 16);
  std::vector<zmq::socket_t> sockets;
  for (int n = 0; n < count; ++n) {
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + address);
    wire::Envelope hello;
    *hello.mutable_hello() = MakeHello("side-" + std::to_string(n));
    zmq::message_t frame;
    internal::EncodeEnvelope(hello, 1U << 20, &frame);
    socket.send(frame, zmq::send_flags::none);
    sockets.push_back(std::move(socket));
  }
  std::uint64_t sequence = 0;
  for (;; ++sequence) {
    wire::Envelope heartbeat;
    FillLoad(heartbeat.mutable_heartbeat());
    heartbeat.mutable_heartbeat()->set_sequence(sequence);
    // Serving a twentieth of the sides at a time spreads the load evenly.
    constexpr int kSlices = 20;
    for (int slice = 0; slice < kSlices; ++slice) {
      for (int n = slice; n < count; n += kSlices) {
        zmq::message_t frame;
        internal::EncodeEnvelope(heartbeat, 1U << 20, &frame);
        sockets[n].send(frame, zmq::send_flags::dontwait);
        while (sockets[n].recv(frame, zmq::recv_flags::dontwait)) {
        }
      }
      char byte = 0;
      if (read(pipe, &byte, 1) == 0) {
        _exit(0);
      }
      std::this_thread::sleep_for(interval / kSlices);
    }
  }
}

struct PeerCost {
  int peers = 0;
  double cpu_percent = 0;
  double sent_per_s = 0;
  double received_per_s = 0;
  double bytes_per_s = 0;
  double resident_bytes = 0;
};

PeerCost MeasurePeers(int count, bool idle, Duration window) {
  int address_pipe[2];
  int exit_pipe[2];
  if (pipe(address_pipe) != 0 || pipe2(exit_pipe, O_NONBLOCK) != 0) {
    std::exit(1);
  }
  // Forks while this process is still single-threaded.
  const pid_t child = fork();
  if (child == 0) {
    close(exit_pipe[1]);
    char buf[64] = {};
    const ssize_t n = read(address_pipe[0], buf, sizeof(buf) - 1);
    SimulatePeers(count, std::string(buf, static_cast<std::size_t>(n)),
                  idle ? 3s : 500ms, exit_pipe[0]);
  }
  close(exit_pipe[0]);
  PeerCost cost;
  cost.peers = count;
  {
    Node hub("entry-1", true, idle);
    const std::string address = hub.links->bound_address();
    if (write(address_pipe[1], address.data(), address.size()) < 0) {
      std::exit(1);
    }
    const TimePoint limit = BootTimeNow() + 30s;
    while (hub.up < count && BootTimeNow() < limit) {
      hub.io.run_one_for(10ms);
    }
    hub.io.run_for(1s);
    const auto sent = hub.Metric("indigolead_link_sent_messages_total");
    const auto received = hub.Metric("indigolead_link_received_messages_total");
    const auto bytes = hub.Metric("indigolead_link_sent_bytes_total") +
                       hub.Metric("indigolead_link_received_bytes_total");
    const Duration cpu = ProcessCpu();
    const TimePoint start = BootTimeNow();
    hub.io.run_for(window);
    const double seconds = Seconds(BootTimeNow() - start);
    cost.cpu_percent = Seconds(ProcessCpu() - cpu) / seconds * 100;
    cost.sent_per_s =
        (hub.Metric("indigolead_link_sent_messages_total") - sent) / seconds;
    cost.received_per_s =
        (hub.Metric("indigolead_link_received_messages_total") - received) /
        seconds;
    cost.bytes_per_s =
        (hub.Metric("indigolead_link_sent_bytes_total") +
         hub.Metric("indigolead_link_received_bytes_total") - bytes) /
        seconds;
    cost.resident_bytes = static_cast<double>(ResidentBytes());
    if (hub.up != count) {
      std::printf("only %d of %d peers were up\n", hub.up.load(), count);
    }
  }
  for (const int fd : {address_pipe[0], address_pipe[1], exit_pipe[1]}) {
    close(fd);
  }
  waitpid(child, nullptr, 0);
  return cost;
}

/// Returns the least-squares slope of `value` over the number of peers.
double Slope(const std::vector<PeerCost>& costs, double PeerCost::*value) {
  double mean_x = 0;
  double mean_y = 0;
  for (const PeerCost& cost : costs) {
    mean_x += cost.peers / static_cast<double>(costs.size());
    mean_y += cost.*value / static_cast<double>(costs.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const PeerCost& cost : costs) {
    covariance += (cost.peers - mean_x) * (cost.*value - mean_y);
    variance += (cost.peers - mean_x) * (cost.peers - mean_x);
  }
  return covariance / variance;
}

/// TCP and IP headers of a heartbeat in its own segment and of its ACK.
constexpr double kHeaderBytes = 104;

void MeasurePeerCosts(const std::vector<int>& counts, bool idle,
                      Duration window) {
  const char* const kind = idle ? "idle" : "busy";
  std::printf("\nan entry's %s links to sides: a heartbeat each way every %s\n",
              kind, idle ? "3 s" : "500 ms");
  std::printf("%8s %10s %12s %12s %14s %12s\n", "peers", "cpu %", "sent/s",
              "received/s", "payload B/s", "resident MB");
  std::vector<PeerCost> costs;
  for (const int count : counts) {
    costs.push_back(MeasurePeers(count, idle, window));
    const PeerCost& cost = costs.back();
    std::printf("%8d %10.2f %12.1f %12.1f %14.0f %12.1f\n", cost.peers,
                cost.cpu_percent, cost.sent_per_s, cost.received_per_s,
                cost.bytes_per_s, cost.resident_bytes / 1e6);
    std::fflush(stdout);
  }
  const double bytes = Slope(costs, &PeerCost::bytes_per_s);
  const double messages = Slope(costs, &PeerCost::sent_per_s) +
                          Slope(costs, &PeerCost::received_per_s);
  std::printf(
      "slope per peer: %.4f %% of a core, %.1f messages/s, %.0f "
      "payload B/s, %.0f B/s with headers, %.1f kB resident\n",
      Slope(costs, &PeerCost::cpu_percent), messages, bytes,
      bytes + messages * kHeaderBytes,
      Slope(costs, &PeerCost::resident_bytes) / 1e3);
  std::printf("figure peer_%s_cpu_percent %.5f\n", kind,
              Slope(costs, &PeerCost::cpu_percent));
  std::printf("figure peer_%s_messages_per_s %.2f\n", kind, messages);
  std::printf("figure peer_%s_payload_bytes_per_s %.1f\n", kind, bytes);
  std::printf("figure peer_%s_wire_bytes_per_s %.1f\n", kind,
              bytes + messages * kHeaderBytes);
  std::printf("figure peer_%s_resident_kb %.2f\n", kind,
              Slope(costs, &PeerCost::resident_bytes) / 1e3);
  std::printf("figure peer_%s_base_resident_mb %.1f\n", kind,
              costs.front().resident_bytes / 1e6);
}

int Main(bool quick) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  // Measures peers first: it forks, which requires a process without threads.
  const std::vector<int> counts =
      quick ? std::vector<int>{5, 20, 100}
            : std::vector<int>{5, 10, 20, 40, 100, 200, 400, 1000};
  MeasurePeerCosts(counts, /*idle=*/false, quick ? 2s : 4s);
  MeasurePeerCosts(counts, /*idle=*/true, 6s);
  std::printf("\none way, one sender thread, one receiver thread\n");
  std::printf("%10s %14s %12s %16s\n", "bytes", "messages/s", "MB/s",
              "cpu us/message");
  const std::uint64_t messages = quick ? 50000 : 300000;
  MeasureThroughput(64, messages);
  MeasureThroughput(1024, messages);
  MeasureThroughput(16384, messages / 10);
  MeasureRoundTrip(quick ? 2000 : 20000);
  return 0;
}

}  // namespace
}  // namespace indigolead

int main(int argc, char** argv) {
  return indigolead::Main(argc > 1 && std::strcmp(argv[1], "--quick") == 0);
}
