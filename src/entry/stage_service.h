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

/// The words of orders to engines, as `TargetDialect` is those of requests.
struct OrderDialect {
  std::function<TargetRequest(const TargetRecord&)> report;
  std::function<Result<std::uint64_t>(const TargetRecord&, const TargetAnswer&)>
      read_order_count;
  std::function<TargetRequest(const TargetRecord&, const StageOrder&,
                              const std::string& holder, std::uint64_t count)>
      order;
  std::function<StageOrderOutcome(const TargetAnswer&)> read_outcome;
};

/// Gives engines the orders that their service's `StageControl` decides, while
/// this entry holds the control lease.
///
/// The authority is asked for again immediately before an order is written,
/// because a process may sleep between the decision and the send; and an order
/// names the number of orders that the engine had accepted, so that a copy
/// which is carried out late finds its condition broken.
///
/// Lives on the thread of its store and targets.
class StageService {
 public:
  struct Options {
    std::string holder;  ///< Name under which orders are given.
    LeaseKeeper::Options lease;
    StageControl::Options control;
    /// After another holder's last possible order this holder gives none.
    Duration separation = std::chrono::seconds(3);
    std::size_t max_answer_bytes = 64U << 10;
    /// Entries that watch the lease closely, in expectation: each of a fleet of
    /// n is one with probability standbys / n. Enough that a lost failure
    /// domain leaves some; none at all happens once in 3,000 starts of a fleet,
    /// and the reserves take over after half a minute then.
    double standbys = 8;
    /// Entries assumed until they are counted: of a large fleet that starts all
    /// at once a few should try to take the lease, not every one.
    std::size_t assumed_entries = 64;
  };

  /// `store` and `carrier` must outlive this object.
  StageService(ObjectStore* store, DirectTransport* carrier, Options options,
               OrderDialect dialect, Lease::Jitter jitter, Clock clock,
               IdSource ids, EventLog log);
  StageService(const StageService&) = delete;
  StageService& operator=(const StageService&) = delete;

  /// Takes over what the directory says of an engine.
  void OnEngine(const TargetChange& change);
  /// Takes the load that a service's work puts on its engines.
  void OnLoad(const std::string& service, const RoleLoad& load);
  /// Takes the number of entries: how closely this one watches the lease.
  void OnEntries(std::size_t entries);
  /// Drives lease and orders; call several times a second, after `Stop` too.
  void Tick();
  /// Gives no further order and gives the lease up, with the ticks that follow
  /// if a call of the store is still open.
  void Stop();
  /// Returns the number under which this entry may act as the only one, if it
  /// may: it holds the lease, and what the holder before it did is over.
  std::optional<FencingNumber> Authority() const;

 private:
  struct Service {
    explicit Service(const StageControl::Options& options) : control(options) {}
    StageControl control;
    std::map<std::string, StagedEngine> engines;
    bool engines_changed = false;  ///< Since `control` was told of them.
  };
  using Call = std::unique_ptr<TargetClient::Call>;

  LeaseKeeper::Hooks LeaseHooks(Lease::Jitter jitter);
  bool IsStandby(std::size_t entries) const;
  void TellEngines(Service* service);
  void Send(const std::string& service, const StageOrder& order);
  void OnReport(const std::string& service, const StageOrder& order,
                const Result<TargetAnswer>& answer);
  void OnOrderAnswer(const std::string& service, const StageOrder& order,
                     const Result<TargetAnswer>& answer);
  void Finish(const std::string& service, const StageOrder& order,
              StageOrderOutcome outcome, const std::string& detail);

  DirectTransport* carrier_;
  Options options_;
  OrderDialect dialect_;
  Clock clock_;
  EventLog log_;
  LeaseKeeper lease_;
  /// This entry's draw from [0, 1); the lowest of the fleet are standbys.
  double standby_draw_;
  bool standby_;
  std::optional<TimePoint> orders_from_;
  FencingNumber last_number_ = 0;  ///< Of this holder's latest lease.
  std::map<std::string, Service> services_;
  std::map<std::string, Call> calls_;  ///< In flight, by engine.
  std::vector<Call> ended_;  ///< Destroyed outside their own callbacks.
  bool stopped_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STAGE_SERVICE_H_
