#ifndef INDIGOLEAD_CORE_CLAIMS_CLAIM_CLIENT_H_
#define INDIGOLEAD_CORE_CLAIMS_CLAIM_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/claims/claim_types.h"
#include "core/claims/slot_map.h"

namespace indigolead {

/// Sends a `ClaimQuery` to a home. Repeated until a decision or a timeout.
struct SendClaimQuery {
  std::string home;
  std::string deployment;
  std::uint64_t epoch = 0;
  ClaimQuery query;

  friend bool operator==(const SendClaimQuery&,
                         const SendClaimQuery&) = default;
};

/// Reports the end of a granted claim to its home.
struct SendEndReport {
  std::string home;
  std::uint64_t epoch = 0;
  ClaimEndReport report;

  friend bool operator==(const SendEndReport&, const SendEndReport&) = default;
};

/// Final decision on a request: `kGranted` to run it, otherwise the reason to
/// return to the caller. Never `kNotHome`.
struct ClaimDecided {
  RequestId request;
  ClaimDecision decision;

  friend bool operator==(const ClaimDecided&, const ClaimDecided&) = default;
};

using ClientAction = std::variant<SendClaimQuery, SendEndReport, ClaimDecided>;

/// Runs keyed requests at most once, on the side of the entry process.
///
/// A request passes through the phases asking, granted and reporting. After a
/// timeout the client reports "not run", so that a grant still in transit does
/// not block the caller's next attempt. A grant for a request that is no
/// longer tracked is ignored; a claim left behind by it ends as unknown.
class ClaimClient {
 public:
  struct Options {
    std::size_t max_requests = 8192;
    std::size_t max_answer_bytes = 1U << 20;
    /// Interval at which unanswered queries and reports are sent again.
    Duration repeat_interval = std::chrono::milliseconds(300);
    /// Longest wait for a home that is unreachable or cannot decide. The caller
    /// then gets an error without waiting for its own deadline.
    Duration home_wait = std::chrono::seconds(3);
    /// An unacknowledged report is dropped after this time.
    Duration report_timeout = std::chrono::minutes(2);
    Duration retry_after = std::chrono::seconds(1);
  };

  ClaimClient(Options options, Incarnation self)
      : options_(options), self_(self) {}

  /// Stores a slot map unless the current one has the same or a newer epoch.
  void OnSlotMap(const std::string& deployment, const SlotMap& map);

  /// Asks the home whether `request` may run. `TakeActions` returns the
  /// decision as `ClaimDecided`, at the latest `deadline` after `now`.
  void Begin(const RequestId& request, const std::string& deployment,
             const ClaimKey& key, std::uint64_t body_digest, Duration deadline,
             TimePoint now);

  void OnDecision(const RequestId& request, const ClaimDecision& decision,
                  TimePoint now);

  /// Returns true if a granted request may still start. `now` must be read
  /// immediately before: after a pause of the process, the caller's deadline
  /// and even the retention of the claim may have passed.
  bool MayStart(const RequestId& request, TimePoint now) const;

  /// Ends `request` and reports `end` to its home. `end` must be `kNotRun` if
  /// the request was not granted, such as when the caller disconnected.
  void Finish(const RequestId& request, ClaimState end,
              std::optional<ClaimAnswer> answer, TimePoint now);

  void OnEndAck(const RequestId& request);

  /// Repeats unanswered queries and reports, and applies the timeouts.
  void Tick(TimePoint now);

  std::vector<ClientAction> TakeActions();

  std::size_t size() const { return requests_.size(); }
  std::uint64_t dropped_reports() const { return dropped_reports_; }

 private:
  enum class Phase { kAsking, kGranted, kReporting };
  struct Request {
    Phase phase = Phase::kAsking;
    std::string deployment;
    ClaimKey key;
    std::uint64_t body_digest = 0;
    TimePoint deadline;
    TimePoint home_deadline;  ///< For a usable reply of the home.
    TimePoint next_send;
    bool running_elsewhere = false;
    ClaimState end = ClaimState::kNotRun;
    std::optional<ClaimAnswer> answer;
    TimePoint drop_at;
  };

  const SlotMap* FindMap(const std::string& deployment) const;
  void SendQuery(const RequestId& id, Request* request, TimePoint now);
  void Report(const RequestId& id, Request* request, TimePoint now);
  void StartReport(const RequestId& id, Request* request, ClaimState end,
                   TimePoint now);
  void TimeOutRequest(const RequestId& id, Request* request, TimePoint now);

  Options options_;
  Incarnation self_;
  std::map<std::string, SlotMap> maps_;
  std::unordered_map<RequestId, Request> requests_;
  std::uint64_t dropped_reports_ = 0;
  std::vector<ClientAction> out_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_CLIENT_H_
