#ifndef INDIGOLEAD_CORE_ADMISSION_ADMISSION_H_
#define INDIGOLEAD_CORE_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/admission/concurrency_limit.h"
#include "core/admission/fair_queue.h"
#include "core/admission/token_bucket.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/routing/router.h"

namespace indigolead {

/// What admission needs to know of a request.
struct AdmissionRequest {
  RequestId id;
  std::string_view account;  ///< Name; need only live until `Offer` returns.
  std::uint64_t prompt_tokens = 0;  ///< Those that no cache covers, at best.
  std::uint64_t output_tokens = 0;  ///< Estimate or limit.
  TimePoint deadline{};
  /// Time that it takes once dispatched, as the router expects; zero if no
  /// target is known now.
  Duration service{0};
};

/// Right to run one request, to be given back with `OnEnded`.
struct AdmissionTicket {
  std::uint32_t account = 0;
  double work = 0;
  TimePoint started_at{};
  Duration service{0};  ///< Expected from there to the end.

  friend bool operator==(const AdmissionTicket&,
                         const AdmissionTicket&) = default;
};

/// Why a request was refused. All of these are "not run".
enum class RefusalCause {
  kNone,
  kUnknownAccount,
  kDeadlineTooShort,  ///< It would be late even on an idle fleet.
  kDeadline,          ///< It would be late after the wait expected now.
  kRequestRate,
  kTokenRate,
  kConcurrency,
  kQueueFull,
  kDisplaced,  ///< Gave its place in the queue to a better claim.
};

/// Returns the stable, lower-case name of `cause`, as shown to callers.
std::string_view RefusalCauseName(RefusalCause cause);

/// Whether a request may run now.
enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

/// Outcome for one request.
struct AdmissionDecision {
  RequestId id;
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalCause cause = RefusalCause::kNone;
  /// Refused: when the same request has a good prospect; absent if waiting
  /// cannot help.
  std::optional<Duration> retry_after;
  AdmissionTicket ticket;  ///< Valid if admitted.

  friend bool operator==(const AdmissionDecision&,
                         const AdmissionDecision&) = default;
};

/// How an admitted request ended.
enum class AdmissionEnd {
  kInTime,
  kLate,        ///< Ran past its deadline.
  kOverloaded,  ///< Refused by a target for overload.
  kNeutral,     ///< Cancelled or failed for a reason other than load.
};

/// Bounds and weights of an admission.
struct AdmissionOptions {
  FairQueue::Options queue;
  ConcurrencyLimit::Options concurrency;
  /// Work of one output token in prompt tokens, until targets report rates.
  double output_token_work = 5;
  /// Prefill that may wait at the targets, in seconds of their rate. More is
  /// of no use there, and cannot be put in a better order any more.
  double max_target_backlog_s = 0.5;
  /// Requests at the targets, as a multiple of their slots.
  double max_slots_share = 1.0;
  Duration min_retry_after = std::chrono::milliseconds(100);
  Duration max_retry_after = std::chrono::seconds(60);
};

/// Decides for one deployment at one entry which request runs when.
///
/// The engines run what they are given; whatever waits there cannot be
/// reordered or refused any more. So they get just enough to stay busy, and
/// the rest waits here, where it is ordered by priority and fair share, and is
/// refused as soon as its deadline is out of reach: a request that runs and
/// comes late has cost as much as one in time and serves nobody.
///
/// Not thread-safe. `Offer` and `Advance` give final answers at once; nothing
/// that is given up keeps waiting.
class Admission {
 public:
  using OnDecision = std::function<void(const AdmissionDecision&)>;

  explicit Admission(const AdmissionOptions& options);

  /// Takes over the client accounts of `spec`. Those that are gone accept
  /// nothing more; what they have waiting goes on.
  void Configure(const DeploymentSpec& spec);

  /// Takes the load of the targets, which opens and closes the gate.
  void SetFleet(const FleetLoad& fleet) { fleet_ = fleet; }

  /// Decides on a new request. If it takes another one's place in the queue,
  /// that one's refusal is given to `displaced`.
  AdmissionDecision Offer(const AdmissionRequest& request, TimePoint now,
                          const OnDecision& displaced);

  /// Gives to `on_decision` what may run now, and refuses what has become
  /// hopeless. Call after each end, load report and tick. `fleet` returns the
  /// load of the targets after each dispatch.
  void Advance(TimePoint now, const std::function<FleetLoad()>& fleet,
               const OnDecision& on_decision);

  /// Records the end of an admitted request.
  void OnEnded(const AdmissionTicket& ticket, AdmissionEnd end, TimePoint now);

  /// Forgets a waiting request whose caller has gone. Returns false if it
  /// does not wait.
  bool Cancel(const RequestId& id);

  /// Returns the tokens of work per second that the targets can do together,
  /// as measured while work was waiting, else as reported.
  double ServiceRate() const;

  std::uint32_t queued() const { return queue_.size(); }
  double queued_work() const { return queue_.work(); }
  std::uint32_t in_flight() const { return concurrency_.in_flight(); }
  double concurrency_limit() const { return concurrency_.limit(); }

 private:
  struct AccountState {
    ClientAccountSpec spec;
    bool in_use = false;
    bool accepts = false;
    std::uint32_t running = 0;
    TokenBucket requests{0};
    TokenBucket tokens{0};
  };

  std::optional<std::uint32_t> Find(std::string_view name) const;
  std::optional<std::uint32_t> PlaceFor(const std::string& name) const;
  bool GateOpen() const;
  bool FleetIsIdle() const;
  double WorkOf(const AdmissionRequest& request) const;
  Duration WaitOf(std::uint32_t account) const;
  std::optional<AdmissionDecision> CheckLimits(const AdmissionRequest& request,
                                               std::uint32_t account,
                                               TimePoint now);
  std::optional<AdmissionDecision> CheckDeadline(
      const AdmissionRequest& request, Duration wait, TimePoint now) const;
  AdmissionDecision Refuse(const RequestId& id, RefusalCause cause,
                           std::optional<Duration> retry_after) const;
  AdmissionDecision Admit(const QueuedRequest& request, TimePoint now);
  bool ShowsOverload(const AdmissionTicket& ticket, AdmissionEnd end,
                     TimePoint now) const;
  AdmissionDecision Enqueue(const QueuedRequest& request,
                            const OnDecision& displaced);
  void DropHopeless(TimePoint now, const OnDecision& on_decision);
  void MeasureRate(double work, TimePoint now);

  AdmissionOptions options_;
  FairQueue queue_;
  ConcurrencyLimit concurrency_;
  FleetLoad fleet_;
  std::vector<AccountState> accounts_;
  double average_service_s_ = 1;
  /// Measured rate of work as a share of the rate that the targets report.
  /// Kept as a share, so that the loss of a target counts at once.
  double efficiency_ = 1;
  TimePoint window_start_{};
  double window_work_ = 0;
  bool window_saturated_ = false;
  TimePoint swept_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ADMISSION_H_
