#ifndef INDIGOLEAD_TESTS_SUPPORT_FLOW_DRIVER_H_
#define INDIGOLEAD_TESTS_SUPPORT_FLOW_DRIVER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/request/request_flow.h"

namespace indigolead {

/// Parts of one answer that a caller has received so far.
struct ReceivedAnswer {
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  bool whole = false;
  std::optional<Refusal> refusal;  ///< Before or in the middle of the answer.
  int finals = 0;                  ///< Final answers; more than one is a fault.
};

/// Drives a RequestFlow with a manual clock and collects its decisions.
class FlowDriver {
 public:
  explicit FlowDriver(RequestFlowOptions options = {},
                      RequestFlowHooks hooks = {});

  RequestFlow& flow() { return flow_; }
  TimePoint now() const { return now_; }

  /// Advances time in steps of 50 ms, with a tick after each.
  void Pass(Duration time);

  /// Advances time without a tick, as if the process had been stopped.
  void Jump(Duration time) { now_ += time; }

  /// Collects the actions decided so far.
  void Collect();

  /// Connects the side `instance` in its run number `run`, whose target runs
  /// `software_version`; returns the link.
  SideLink Up(const std::string& instance, std::uint64_t run = 1,
              const std::string& software_version = "");
  void Down(SideLink link);

  RequestId Ask(Repeatability repeatability, bool streamed = false);
  RequestId AskUntil(Repeatability repeatability, Duration deadline,
                     bool streamed = false);

  /// Answers of the side. `Head` is frame 0.
  void Head(const SendStart& start, bool event_stream = false);
  void Chunk(const SendStart& start, std::uint64_t sequence,
             const std::string& data);
  /// Ends with the count, length and checksum of `body` in one chunk.
  void End(const SendStart& start, std::uint64_t sequence,
           const std::string& body,
           AttemptOutcome outcome = AttemptOutcome::kComplete);

  const ReceivedAnswer& seen(const RequestId& id) { return seen_[id]; }

  std::vector<SendStart> starts;
  std::vector<SendCancel> cancels;
  std::vector<SendResume> resumes;
  std::vector<SendCredit> credits;

 private:
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_id_ = 1;
  std::uint64_t next_link_ = 1;
  RequestFlow flow_;
  std::map<RequestId, ReceivedAnswer> seen_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_FLOW_DRIVER_H_
