#ifndef INDIGOLEAD_STORE_STORE_CALLS_H_
#define INDIGOLEAD_STORE_STORE_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "observe/metrics.h"
#include "store/call_limiter.h"
#include "store/http_object_store.h"
#include "store/store_connection.h"

namespace indigolead {

/// Queue, connections and metrics of the calls of an `HttpObjectStore`.
///
/// Shared with the coroutines in flight, so that destroying the store does not
/// destroy a connection that one of them uses.
class StoreCalls : public std::enable_shared_from_this<StoreCalls> {
 public:
  using Connection = internal::StoreConnection;
  using ReplyCallback = std::function<void(Result<internal::StoreReply>)>;

  StoreCalls(boost::asio::io_context* io, HttpObjectStore::Options options,
             Clock clock, MetricsRegistry* metrics);

  /// Queues one call. `done` is called once, never from inside this method.
  void Submit(internal::StoreRequest request, const CallOptions& options,
              ReplyCallback done);

  /// Posts a call of `done` with `error` to the io_context.
  void PostError(const Error& error, ReplyCallback done);

  /// State of one watch, shared with its coroutine.
  struct WatchState {
    ObjectStore::OnWatchEvents on_events;
    std::function<void(const Error&)> on_end;
    std::unique_ptr<Connection> connection;
    std::string partial_line;
    bool open = false;     ///< Included in the gauge of open watches.
    bool stopped = false;  ///< Its callbacks must not be called.
  };

  /// Queues the opening of a watch, which counts as a call.
  void OpenWatch(internal::StoreRequest request,
                 const std::shared_ptr<WatchState>& watch);

  /// Stops `watch`; its callbacks are not called afterwards.
  void StopWatch(const std::shared_ptr<WatchState>& watch);

  /// Closes all connections and drops the queue. No callback is called
  /// afterwards.
  void Stop();

 private:
  struct Pending {
    internal::StoreRequest request;
    std::chrono::steady_clock::time_point deadline;
    ReplyCallback done;
    std::shared_ptr<WatchState> watch;  ///< Set for the opening of a watch.
  };

  std::shared_ptr<Connection> MakeConnection();
  /// Starts a call on a new connection, bypassing the queue.
  void StartUnqueued(Pending call);
  /// Returns a connection to the idle pool.
  void ReturnToPool(std::shared_ptr<Connection> connection);

  void Enqueue(Pending call, CallPriority priority, Duration deadline);
  void DispatchQueued();
  void ArmTimer();
  /// Returns true if the last free connection is reserved for lease calls.
  bool ReservesLastConnection() const;
  void SetOpen(const std::shared_ptr<WatchState>& watch, bool open);
  void Start(Pending call);
  void StartWatch(Pending call);
  boost::asio::awaitable<void> Perform(std::shared_ptr<Connection> connection,
                                       Pending call);
  boost::asio::awaitable<void> PerformWatch(Pending call);
  void Reject(CallTicket ticket, const std::string& detail);
  bool HandleWatchData(const std::shared_ptr<WatchState>& watch,
                       std::string_view data);
  void CountCall(const std::string& step);
  void CountFailure(const std::string& step, bool failed);

  boost::asio::io_context* io_;
  HttpObjectStore::Options options_;
  Clock clock_;
  MetricsRegistry* metrics_;
  CallLimiter limiter_;
  boost::asio::steady_timer timer_;
  CallTicket next_ticket_ = 0;
  std::map<CallTicket, Pending> pending_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::set<std::shared_ptr<Connection>> busy_;
  /// Connections of calls that bypass the queue.
  std::set<std::shared_ptr<Connection>> unqueued_;
  std::set<std::shared_ptr<WatchState>> watches_;
  bool stopped_ = false;

  struct KindMetrics {
    Counter* calls;
    Counter* failures;
  };
  std::map<std::string, KindMetrics> kinds_;
  Gauge* waiting_watches_;
  Gauge* queued_;
  Counter* rejected_;
  Summary* call_seconds_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_STORE_CALLS_H_
