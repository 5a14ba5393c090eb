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

/// Asks a home for a request. Lost questions are asked again.
struct SendAsk {
  std::string home;
  std::string deployment;
  std::uint64_t epoch = 0;
  ClaimAsk ask;

  friend bool operator==(const SendAsk&, const SendAsk&) = default;
};

/// Reports the end of a granted claim to its home.
struct SendEndReport {
  std::string home;
  std::uint64_t epoch = 0;
  ClaimEndReport report;

  friend bool operator==(const SendEndReport&, const SendEndReport&) = default;
};

/// Final verdict on a request: `kGranted` to run it, or what to tell the
/// caller. Never `kNotHome`.
struct ClaimDecided {
  RequestId request;
  ClaimDecision decision;

  friend bool operator==(const ClaimDecided&, const ClaimDecided&) = default;
};

using ClientAction = std::variant<SendAsk, SendEndReport, ClaimDecided>;

/// An entry's part in running keyed requests at most once.
///
/// One request goes through asking, granted and reporting. A grant that comes
/// after the entry has given up is answered with "not run", so that the key
/// is free for the caller's next try. A grant for a request that this entry no
/// longer knows is ignored: its claim, if one was left, then ends as unknown.
class ClaimClient {
 public:
  struct Options {
    std::size_t max_requests = 8192;
    std::size_t max_answer_bytes = 1U << 20;
    /// Time between two sendings of one question or report.
    Duration repeat_interval = std::chrono::milliseconds(300);
    /// A home that cannot be reached, or cannot decide, is waited for this
    /// long; then the caller is told at once.
    Duration home_wait = std::chrono::seconds(3);
    /// A report that nobody acknowledges is dropped after this time.
    Duration report_timeout = std::chrono::minutes(2);
    Duration retry_after = std::chrono::seconds(1);
  };

  ClaimClient(Options options, Incarnation self)
      : options_(options), self_(self) {}

  /// Takes in a slot map; older ones than the one held are ignored.
  void OnSlotMap(const std::string& deployment, const SlotMap& map);

  /// Asks whether `request` may run. The verdict comes as `ClaimDecided`, at
  /// the latest `deadline` after `now`.
  void Begin(const RequestId& request, const std::string& deployment,
             const ClaimKey& key, std::uint64_t body_digest, Duration deadline,
             TimePoint now);

  void OnDecision(const RequestId& request, const ClaimDecision& decision,
                  TimePoint now);

  /// Returns true if a granted request may still start. Read `now` right
  /// before: a process that slept must not start a run that its caller, and
  /// perhaps the retention of its claim, has given up.
  bool MayStart(const RequestId& request, TimePoint now) const;

  /// Ends `request`: with the end of its run if it was granted, else without
  /// one (the caller left); then `end` must be `kNotRun`.
  void Finish(const RequestId& request, ClaimState end,
              std::optional<ClaimAnswer> answer, TimePoint now);

  void OnEndAck(const RequestId& request);

  /// Repeats questions and reports and ends waits.
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
    TimePoint home_deadline;  ///< Of hearing anything that helps.
    TimePoint next_send;
    bool running_elsewhere = false;
    ClaimState end = ClaimState::kNotRun;
    std::optional<ClaimAnswer> answer;
    TimePoint drop_at;
  };

  const SlotMap* FindMap(const std::string& deployment) const;
  void Ask(const RequestId& id, Request* request, TimePoint now);
  void Report(const RequestId& id, Request* request, TimePoint now);
  void StartReport(const RequestId& id, Request* request, ClaimState end,
                   TimePoint now);
  void GiveUp(const RequestId& id, Request* request, TimePoint now);

  Options options_;
  Incarnation self_;
  std::map<std::string, SlotMap> maps_;
  std::unordered_map<RequestId, Request> requests_;
  std::uint64_t dropped_reports_ = 0;
  std::vector<ClientAction> out_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_CLIENT_H_
