#ifndef INDIGOLEAD_ENTRY_STAGE_SERVICE_H_
#define INDIGOLEAD_ENTRY_STAGE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/control/stage_control.h"
#include "core/membership/target_directory.h"
#include "entry/direct_transport.h"
#include "entry/lease_keeper.h"
#include "observe/event_log.h"

namespace indigolead {

/// Encodes orders to engines and decodes the answers, as `TargetDialect` does
/// for requests.
struct OrderDialect {
  std::function<TargetRequest(const TargetRecord&)> report;
  std::function<Result<std::uint64_t>(const TargetRecord&, const TargetAnswer&)>
      read_order_count;
  std::function<TargetRequest(const TargetRecord&, const StageOrder&,
                              const std::string& holder, std::uint64_t count)>
      order;
  std::function<StageOrderOutcome(const TargetAnswer&)> read_outcome;
};

/// Sends engines the orders that their service's `StageControl` decides, while
/// this entry holds the control lease.
///
/// The authority is checked again immediately before an order is written,
/// because a process may be suspended between the decision and the send. An
/// order also carries the number of orders that the engine had accepted, so
/// that a copy that arrives late no longer meets its condition.
///
/// Runs on the thread of its store and targets.
class StageService {
 public:
  struct Options {
    std::string holder;  ///< Name of this entry in its orders.
    LeaseKeeper::Options lease;
    StageControl::Options control;
    /// How long a new holder waits after another holder's last possible order
    /// before it sends its own.
    Duration separation = std::chrono::seconds(3);
    std::size_t max_answer_bytes = 64U << 10;
    /// Expected number of standbys, that is, entries that check the lease
    /// often. Each of n entries is a standby with probability standbys / n; the
    /// others are reserves. Enough that some remain when a failure domain is
    /// lost. One fleet start in 3,000 has none at all; the reserves then take
    /// over after half a minute.
    double standbys = 8;
    /// Number of entries assumed until they are counted: when a large fleet
    /// starts at once, only a few entries should try to take the lease.
    std::size_t assumed_entries = 64;
  };

  /// `store` and `transport` must outlive this object.
  StageService(ObjectStore* store, DirectTransport* transport, Options options,
               OrderDialect dialect, Lease::Jitter jitter, Clock clock,
               IdSource ids, EventLog log);
  StageService(const StageService&) = delete;
  StageService& operator=(const StageService&) = delete;

  /// Applies a directory change of an engine.
  void OnEngine(const TargetChange& change);
  /// Handles a crash of an engine that this entry has seen.
  void OnCrashed(const std::string& instance);
  /// Sets the load on a service's engines.
  void OnLoad(const std::string& service, const RoleLoad& load);
  /// Sets the number of entries, which decides whether this one is a standby.
  void OnEntries(std::size_t entries);
  /// Drives the lease and the orders; must be called several times a second,
  /// also after `Stop`.
  void Tick();
  /// Sends no further orders and releases the lease. While a store call is
  /// still open, the following ticks do so.
  void Stop();
  /// Returns the fencing number under which this entry may act, if it holds the
  /// lease and the orders of the previous holder can no longer take effect.
  std::optional<FencingNumber> Authority() const;

 private:
  struct Service {
    explicit Service(const StageControl::Options& options) : control(options) {}
    StageControl control;
    std::map<std::string, StagedEngine> engines;
    /// Whether `engines` changed since it was last passed to `control`.
    bool engines_changed = false;
  };
  using Call = std::unique_ptr<TargetClient::Call>;

  LeaseKeeper::Hooks LeaseHooks(Lease::Jitter jitter);
  bool IsStandby(std::size_t entries) const;
  void UpdateEngines(Service* service);
  void Send(const std::string& service, const StageOrder& order);
  void OnReport(const std::string& service, const StageOrder& order,
                const Result<TargetAnswer>& answer);
  void OnOrderAnswer(const std::string& service, const StageOrder& order,
                     const Result<TargetAnswer>& answer);
  void NoteIfUnreachable(const std::string& instance,
                         const Result<TargetAnswer>& answer);
  void Finish(const std::string& service, const StageOrder& order,
              StageOrderOutcome outcome, const std::string& detail);

  DirectTransport* transport_;
  Options options_;
  OrderDialect dialect_;
  Clock clock_;
  EventLog log_;
  LeaseKeeper lease_;
  /// This entry's random number in [0, 1); entries with low ones are standbys.
  double standby_random_;
  bool standby_;
  std::optional<TimePoint> orders_allowed_from_;
  FencingNumber last_number_ = 0;  ///< Of this entry's latest lease.
  std::map<std::string, Service> services_;
  std::map<std::string, Call> calls_;  ///< In flight, by engine.
  /// Kept so that they are destroyed outside their own callbacks.
  std::vector<Call> finished_calls_;
  bool stopped_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STAGE_SERVICE_H_
