#ifndef INDIGOLEAD_STANDINS_ENGINE_SERVER_H_
#define INDIGOLEAD_STANDINS_ENGINE_SERVER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/engine_model.h"
#include "standins/http_server.h"
#include "standins/run_log.h"

namespace indigolead::standins {

/// Configures the behaviour of an engine stand-in.
struct EngineOptions {
  std::uint16_t port = 0;
  std::string model = "tarifa-llm";
  std::string version = "1";
  std::vector<std::string> adapters;
  std::string role = "mixed";
  double prefill_tokens_per_s = 100000;
  double decode_tokens_per_s = 1000;  ///< Per run; 0: no delay.
  std::uint32_t slots = 64;           ///< Concurrent runs; others queue.
  std::uint64_t kv_capacity_bytes = 1ULL << 30;
  std::uint64_t kv_bytes_per_token = 1024;
  std::chrono::milliseconds load_lag{200};
  std::chrono::milliseconds change_time{2000};  ///< Per role or model change.
  bool check_fencing = true;
  std::size_t cache_blocks = 4096;
  std::chrono::milliseconds cache_event_lag{200};
  std::uint32_t cache_event_gap_every =
      0;  ///< Drops every N-th event; 0: none.
  /// A request containing this word crashes the engine when its run starts.
  std::string poison = "crash-engine";
  /// Called for such a request. By default the engine crashes as in `Crash`.
  std::function<void()> on_poison;
  /// Crashes the engine halfway through the next role or model change.
  bool crash_in_change = false;
};

/// Order received by an engine, with the HTTP status returned for it.
struct OrderRecord {
  std::uint64_t fencing_number = 0;
  std::uint64_t generation = 0;
  std::string role;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  int status = 0;  ///< HTTP status returned: 202, 409 or 423.

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

/// Simulates a model engine: concurrent runs, a prefix cache, resumable
/// streams, delayed load reports, and orders. Responses depend on the prompt
/// alone.
///
/// Public methods may be called from any thread except the server's own.
class EngineServer {
 public:
  EngineServer() : EngineServer(EngineOptions{}) {}
  explicit EngineServer(EngineOptions options);

  std::uint16_t port() const { return server_->port(); }
  std::string address() const { return server_->address(); }

  /// Refuses new connections and resets open ones while `down` is set. Runs
  /// continue.
  void SetDown(bool down) { server_->SetDown(down); }

  /// Discards all runs, streams, cached blocks and applied orders, and stops
  /// serving.
  void Crash();

  /// Resumes service after a crash, with a new boot id.
  void Restart();

  std::vector<RunRecord> runs();
  std::vector<OrderRecord> orders();

  /// Changes options at run time. The port and the callbacks must stay as set.
  void Change(const std::function<void(EngineOptions*)>& change);

 private:
  struct Run;
  using RunPtr = std::shared_ptr<Run>;

  /// Engine state: the current one, or the one that a pending change leads to.
  struct State {
    std::string role;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint64_t fencing_number = 0;
    std::uint64_t generation = 0;
  };

  Task Handle(HttpExchange& exchange);
  Task HandleCompletion(HttpExchange& exchange, bool chat);
  Task HandleStream(HttpExchange& exchange);
  Task HandleOrder(HttpExchange& exchange);
  Task HandleCacheEvents(HttpExchange& exchange);
  Task HandleKv(HttpExchange& exchange);
  Task HandleReports(HttpExchange& exchange);
  Task SendEvents(HttpExchange& exchange, RunPtr run, std::size_t from);

  Task Generate(RunPtr run);
  Task WaitForSlot(RunPtr run);
  Task Decode(RunPtr run);
  Task CompleteChange(State wanted, std::uint64_t boot);
  void EndRun(const RunPtr& run, bool cut);
  void AbortRuns();
  void CrashOnServerThread();
  void PublishCacheEvent(CacheEvent event);
  void ResetState();

  std::string LoadJson();
  std::string StateJson() const;
  std::string OrdersJson() const;

  EngineOptions options_;
  std::uint64_t boot_ = 1;
  std::string boot_id_;
  State state_;
  bool changing_ = false;
  bool crashed_ = false;
  std::uint32_t running_ = 0;
  std::deque<RunPtr> waiting_;
  std::map<std::string, RunPtr> streams_;
  std::deque<std::string> stream_order_;
  std::vector<OrderRecord> orders_;
  PrefixCache cache_;
  struct TimedCacheEvent {
    std::chrono::steady_clock::time_point shown_at;
    CacheEvent event;
  };
  std::deque<TimedCacheEvent> cache_events_;
  std::string load_json_;
  std::chrono::steady_clock::time_point load_measured_at_;
  std::uint64_t next_id_ = 0;
  RunLog log_;
  std::unique_ptr<Notifier> slots_changed_;
  /// Declared last, so that its thread stops before the members its handlers
  /// use are destroyed.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_ENGINE_SERVER_H_
