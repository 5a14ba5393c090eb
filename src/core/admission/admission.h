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

/// Properties of a request on which its admission depends.
struct AdmissionRequest {
  RequestId id;
  std::string_view account;         ///< Name; must outlive the call to `Offer`.
  std::uint64_t prompt_tokens = 0;  ///< Uncached ones, at the best target.
  std::uint64_t output_tokens = 0;  ///< Estimated or maximum number.
  TimePoint deadline{};
  /// Time from dispatch to completion that the router expects; zero if no
  /// target is known at present.
  Duration service{0};
};

/// Permission to run one request, to be returned through `Admission::OnEnded`.
struct AdmissionTicket {
  std::uint32_t account = 0;
  double work = 0;
  TimePoint started_at{};
  Duration service{0};  ///< Expected time from `started_at`.

  friend bool operator==(const AdmissionTicket&,
                         const AdmissionTicket&) = default;
};

/// Reason for refusing a request. A refused request has not run.
enum class RefusalCause {
  kNone,
  kUnknownAccount,
  kDeadlineTooShort,  ///< Cannot be met even by an idle fleet.
  kDeadline,          ///< Cannot be met after the expected wait.
  kRequestRate,
  kTokenRate,
  kConcurrency,
  kQueueFull,
  kDisplaced,  ///< Evicted for a request with precedence.
};

/// Returns the stable, lower-case name of `cause`, as shown to callers.
std::string_view RefusalCauseName(RefusalCause cause);

/// Whether a request may run now.
enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

/// Admission decision on one request.
struct AdmissionDecision {
  RequestId id;
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalCause cause = RefusalCause::kNone;
  /// If refused, the delay after which a retry is likely to succeed; absent if
  /// waiting cannot help.
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

/// Limits and weights of `Admission`.
struct AdmissionOptions {
  FairQueue::Options queue;
  ConcurrencyLimit::Options concurrency;
  /// Work of one output token, in prompt tokens, until targets report their
  /// rates.
  double output_token_work = 5;
  /// Maximum prefill work queued at the targets, in seconds at their reported
  /// rate. More does not keep the engines busier and can no longer be
  /// reordered.
  double max_target_backlog_s = 0.5;
  /// Maximum requests at the targets, as a multiple of their slots.
  double max_slots_share = 1.0;
  Duration min_retry_after = std::chrono::milliseconds(100);
  Duration max_retry_after = std::chrono::seconds(60);
};

/// Decides which requests of one deployment run at one entry, and when.
///
/// Requests queued at an engine can no longer be reordered or refused. Engines
/// therefore receive just enough requests to stay busy. The others wait here,
/// ordered by priority and fair share, and are refused as soon as their
/// deadline cannot be met: a late answer costs as much as a timely one and is
/// of no use to the caller.
///
/// Not thread-safe. A refusal is reported as soon as it is decided; a refused
/// request does not stay in the queue.
class Admission {
 public:
  using OnDecision = std::function<void(const AdmissionDecision&)>;

  explicit Admission(const AdmissionOptions& options);

  /// Applies the client accounts of `spec`. Accounts that are no longer listed
  /// accept no new requests; their queued requests are still processed.
  void Configure(const DeploymentSpec& spec);

  /// Sets the load of the targets, which determines whether requests are
  /// dispatched.
  void SetFleet(const FleetLoad& fleet) { fleet_ = fleet; }

  /// Decides on a new request. If it evicts queued requests, `on_evicted` is
  /// called with the refusal of each.
  AdmissionDecision Offer(const AdmissionRequest& request, TimePoint now,
                          const OnDecision& on_evicted);

  /// Admits queued requests that may run now and refuses those that can no
  /// longer meet their deadline; `on_decision` is called with each decision.
  /// Must be called after each request end, load report and tick. `fleet`
  /// returns the load of the targets after each dispatch.
  void Advance(TimePoint now, const std::function<FleetLoad()>& fleet,
               const OnDecision& on_decision);

  /// Records the end of an admitted request.
  void OnEnded(const AdmissionTicket& ticket, AdmissionEnd end, TimePoint now);

  /// Removes a queued request whose caller has disconnected. Returns false if
  /// the request is not queued.
  bool Cancel(const RequestId& id);

  /// Returns the total rate of the targets in tokens of work per second: the
  /// rate measured while requests were queued, or the reported rate if none was
  /// measured.
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

  std::optional<std::uint32_t> FindAccount(std::string_view name) const;
  std::optional<std::uint32_t> IndexFor(const std::string& name) const;
  bool CanDispatch() const;
  bool FleetIsIdle() const;
  double WorkOf(const AdmissionRequest& request) const;
  Duration ExpectedWait(std::uint32_t account) const;
  std::optional<AdmissionDecision> CheckLimits(const AdmissionRequest& request,
                                               std::uint32_t account,
                                               TimePoint now);
  std::optional<AdmissionDecision> CheckDeadline(
      const AdmissionRequest& request, Duration wait, TimePoint now) const;
  AdmissionDecision Refuse(const RequestId& id, RefusalCause cause,
                           std::optional<Duration> retry_after) const;
  AdmissionDecision Admit(const QueuedRequest& request, TimePoint now);
  bool IndicatesOverload(const AdmissionTicket& ticket, AdmissionEnd end,
                         TimePoint now) const;
  AdmissionDecision Enqueue(const QueuedRequest& request,
                            const OnDecision& on_evicted);
  void RefuseUnmeetable(TimePoint now, const OnDecision& on_decision);
  void MeasureRate(double work, TimePoint now);

  AdmissionOptions options_;
  FairQueue queue_;
  ConcurrencyLimit concurrency_;
  FleetLoad fleet_;
  std::vector<AccountState> accounts_;
  double average_service_s_ = 1;
  /// Ratio of the measured to the reported rate of work. Storing a ratio makes
  /// the loss of a target take effect immediately.
  double rate_ratio_ = 1;
  TimePoint window_start_{};
  double window_work_ = 0;
  bool window_saturated_ = false;
  TimePoint scanned_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ADMISSION_H_
