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

/// Behaviour of an engine stand-in.
struct EngineOptions {
  std::uint16_t port = 0;
  std::string model = "tarifa-llm";
  std::string version = "1";
  std::vector<std::string> adapters;
  std::string role = "mixed";
  double prefill_tokens_per_s = 100000;
  double decode_tokens_per_s = 1000;  ///< Of each run; 0: all at once.
  std::uint32_t slots = 64;           ///< Runs at once; more wait.
  std::uint64_t kv_capacity_bytes = 1ULL << 30;
  std::uint64_t kv_bytes_per_token = 1024;
  std::chrono::milliseconds load_lag{200};
  std::chrono::milliseconds change_time{2000};  ///< Of a role or model change.
  bool check_fencing = true;
  std::size_t cache_blocks = 4096;
  std::chrono::milliseconds cache_event_lag{200};
  std::uint32_t cache_event_gap_every = 0;  ///< Drops each N-th event; 0: none.
  /// A request with this word kills the engine as it starts to run.
  std::string poison = "crash-engine";
  /// Called for such a request; by default the engine crashes as `Crash` does.
  std::function<void()> on_poison;
  /// The engine dies in the middle of the next change.
  bool crash_in_change = false;
};

/// Order received by an engine, and what became of it.
struct OrderRecord {
  std::uint64_t fencing_number = 0;
  std::uint64_t generation = 0;
  std::string role;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  int status = 0;  ///< Status answered: 202, 409 or 423.

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

/// Stand-in for a model engine: batching, prefix cache, resumable streams,
/// lagging reports and orders, with answers that depend on the prompt alone.
///
/// Public methods are safe from any thread but its own.
class EngineServer {
 public:
  EngineServer() : EngineServer(EngineOptions{}) {}
  explicit EngineServer(EngineOptions options);

  std::uint16_t port() const { return server_->port(); }
  std::string address() const { return server_->address(); }

  /// Refuses connections and cuts the open ones, or serves again. Runs go on.
  void SetDown(bool down) { server_->SetDown(down); }

  /// Loses all runs, streams, cache and orders, and goes down.
  void Crash();

  /// Serves again after a crash, with a fresh boot id.
  void Restart();

  std::vector<RunRecord> runs();
  std::vector<OrderRecord> orders();

  /// Changes options while running; port and hooks stay.
  void Change(const std::function<void(EngineOptions*)>& change);

 private:
  struct Run;
  using RunPtr = std::shared_ptr<Run>;

  /// What the engine is now, or will be at the end of a change.
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
  void CutRuns();
  void CrashHere();
  void PublishCacheEvent(CacheEvent event);
  void Forget();

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
  /// Last, so that its thread is gone before what its handlers use.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_ENGINE_SERVER_H_
