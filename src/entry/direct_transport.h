#ifndef INDIGOLEAD_ENTRY_DIRECT_TRANSPORT_H_
#define INDIGOLEAD_ENTRY_DIRECT_TRANSPORT_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/advertised_limits.h"
#include "core/request/request_flow.h"
#include "entry/target_dialect.h"
#include "observe/event_log.h"
#include "target/http_target_client.h"

namespace indigolead {

/// Sends the attempts of the request flow directly to targets over HTTP.
///
/// The alternative is the link to a side. Both look alike to the flow: each
/// target is registered as a side, starts and cancels arrive as actions, and
/// progress is reported in the same numbered frames. The request logic is
/// therefore shared.
///
/// An attempt may take two calls: a prefill on one engine, and a decode on
/// another from the KV cache of the first. The request has not run until the
/// decode call is written.
///
/// Runs on the thread of its io_context.
class DirectTransport {
 public:
  struct Options {
    HttpTargetClient::Options client;  ///< Without the address.
    /// Creates the client of the target at "IP:port". If empty, an
    /// `HttpTargetClient` with the options above is used.
    std::function<std::unique_ptr<TargetClient>(const std::string& address)>
        make_client;
    /// Maximum size of the answer to a prefill call.
    std::size_t max_handle_bytes = 4096;
    /// A prefill may take the larger of this time and `max_prefill_share` of
    /// the time left, so that a silent engine leaves time for another one. The
    /// longest prompts take 0.7 s with a full backlog.
    Duration max_prefill_wait = std::chrono::milliseconds(1600);
    double max_prefill_share = 0.4;
    /// Maximum number of targets asked to decode one prefilled prompt. The
    /// third is for the case that the first could not be reached at all.
    std::uint32_t max_decode_targets = 3;
    /// Time after its head within which a refusal must end. The rest of its
    /// body tells nothing, and a target may never end it.
    Duration max_refusal_wait = std::chrono::milliseconds(100);
    /// Deadline of the call that releases a KV handle.
    Duration release_deadline = std::chrono::seconds(2);
  };
  struct Hooks {
    /// The prefill of an attempt is complete.
    std::function<void(const AttemptId&)> on_prefilled;
    /// Returns the engine from which the prefill engine may copy the KV cache
    /// of the attempt's shared prompt prefix; empty if there is none.
    std::function<std::string(const AttemptId&)> copy_source;
    /// The head of an attempt's answer arrived.
    std::function<void(const AttemptId&)> on_answering;
    /// Returns the target that decodes the prefilled prompt, or nullopt if
    /// none can.
    std::function<std::optional<std::string>(const AttemptId&,
                                             const CallerRequest&)>
        choose_decode_target;
    /// The target chosen to decode did not accept the attempt.
    std::function<void(const AttemptId&)> on_decode_refused;
    /// Returns true if the request may be sent to one more target, and charges
    /// the retry budget for it.
    std::function<bool(const CallerRequest&)> try_charge_arrival;
    /// The request that `try_charge_arrival` allowed was not sent.
    std::function<void(const CallerRequest&)> on_arrival_canceled;
    /// The body of a target's answer ended according to its framing, but that
    /// does not prove that it is complete.
    std::function<void(const std::string& instance,
                       const std::optional<TargetRun>& run,
                       const CallerRequest&, const AnswerBodyEnd&)>
        on_doubtful_end;
    /// A call to a target succeeded, or broke: its connection was lost or could
    /// not be established. Not called for a timeout, nor for a call that
    /// `may_write` stopped.
    std::function<void(const std::string& instance, bool broke)> on_call_end;
    /// The connection broke after the request had been written.
    std::function<void(const std::string& instance,
                       const std::optional<TargetRun>& run,
                       const CallerRequest&)>
        on_request_broke;
    /// A written request was given up: its caller left, or its time was over.
    std::function<void(const std::string& instance,
                       const std::optional<TargetRun>& run,
                       const CallerRequest&)>
        on_request_abandoned;
    /// A call outside the routed attempts is about to go to a target.
    std::function<void(const std::string& instance)> on_extra_call;
    /// The head of a target's answer arrived, with a rate limit or without.
    std::function<void(const std::string& instance, const LimitNotice&)>
        on_limit_notice;
    /// Called immediately before the first byte of any call to a target is
    /// written. A `kOverloaded` error stops the call.
    std::function<Status(const std::string& instance, bool is_new_work)>
        may_write;
    /// The head of any answer of the target requests a cooldown: this entry is
    /// to send it no calls for `length`.
    std::function<void(const std::string& instance, Duration length)>
        on_cooldown_requested;
    /// The head of any answer of the target announces that it is leaving.
    std::function<void(const std::string& instance)> on_leaving_announced;
    /// Bytes of a target were not taken for the answer to a call.
    std::function<void(const std::string& instance, StrayAnswer reason)>
        on_stray_answer;
    /// Called after each event passed to the flow.
    std::function<void()> flush;
  };

  /// `io` and `flow` must outlive this object.
  DirectTransport(boost::asio::io_context* io, RequestFlow* flow,
                  Options options, TargetDialect dialect, Hooks hooks,
                  Clock clock, EventLog log);
  ~DirectTransport();
  DirectTransport(const DirectTransport&) = delete;
  DirectTransport& operator=(const DirectTransport&) = delete;

  /// Applies a change from the target directory.
  void OnTarget(const TargetChange& change);

  /// Executes an action of the flow.
  void Act(const SendStart& action);
  void Act(const SendCredit& action);
  void Act(const SendCancel& action);
  void Act(const SendResume& action);

  /// Probes whether a target is alive with a call that runs no request. Never
  /// calls `done` if the target is unknown or may not be called now.
  void ProbeTarget(const std::string& instance,
                   std::function<void(const Status&)> done);
  /// Returns the client of a target for one call outside the attempts, or null
  /// if the target is unknown or may not be called now. The call counts against
  /// the target's limit like any other.
  TargetClient* ClientForExtraCall(const std::string& instance);
  const TargetRecord* FindTarget(const std::string& instance) const;
  std::size_t running() const { return runs_.size(); }
  /// Returns false if no byte of the call that runs the attempt was written.
  bool MayHaveStarted(const AttemptId& attempt) const;
  /// Returns the requests that were written to this run of a target and have
  /// not ended.
  std::vector<std::shared_ptr<const CallerRequest>> OpenRequestsAt(
      const std::string& instance, const std::optional<TargetRun>& run) const;

 private:
  struct Target {
    TargetRecord record;
    SideLink link;
    std::unique_ptr<TargetClient> client;
    std::uint64_t client_number = 0;  ///< Unique per client.
  };
  struct Run {
    SideLink link;
    std::string instance;
    /// Prefill engine; empty if `instance` prefills.
    std::string prefill_instance;
    std::shared_ptr<const CallerRequest> request;
    TimePoint deadline;
    std::string resume_after;
    std::unique_ptr<TargetClient::Call> call;
    std::optional<TargetRun> called;  ///< Run of its target, if known.
    TimePoint called_at{};
    std::optional<KvHandle> handle;    ///< Prefilled, not decoded yet.
    std::uint32_t decode_targets = 0;  ///< Targets asked to decode.
    bool written = false;              ///< The call that runs the request.
    bool paused = false;
    /// Set if the answer is not passed on; not `kAnswer`.
    std::optional<AnswerMeaning> withheld;
    /// Ends the call if the withheld answer does not end by itself.
    std::unique_ptr<boost::asio::steady_timer> withheld_timer;
    int status = 0;
    std::uint64_t next_sequence = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t credit = 0;  ///< Total bytes that may be sent.
    struct Checksum;
    std::shared_ptr<Checksum> checksum;
  };

  static SideInfo InfoOf(const TargetRecord& record);
  TargetClient* ClientOf(const std::string& instance);
  void Add(const TargetRecord& record);
  void Restart(const TargetRecord& record);
  /// Replaces the target's client by one for its current run.
  void RenewClient(Target* target);
  std::unique_ptr<TargetClient> MakeClient(const std::string& address);
  /// Reports the notices that an answer head carries about its target. Ignores
  /// answers of replaced clients.
  void ReportNotices(const std::string& instance, std::uint64_t client_number,
                     int status, const std::vector<HttpHeader>& headers);
  void StartPrefill(const AttemptId& id, const std::string& at);
  Duration PrefillWait(Duration left) const;
  std::string CopyAddress(const AttemptId& id) const;
  void StartRun(const AttemptId& id);
  bool MoveToDecodeTarget(const AttemptId& id, Run* run);
  bool RetryDecode(const AttemptId& id, Run* run, const std::string& why);
  void OnHandle(const AttemptId& id, const std::string& prefill_instance,
                const Result<TargetAnswer>& answer);
  void OnHead(const AttemptId& id, int status, std::vector<HttpHeader> headers);
  /// Ends the call whose answer is withheld after `max_refusal_wait`.
  void BoundWithheldAnswer(const AttemptId& id, Run* run);
  /// Ends an attempt whose answer is withheld.
  void EndWithheld(const AttemptId& id, Run* run);
  void OnBody(const AttemptId& id, std::string_view data);
  void OnBodyEnd(const AttemptId& id, const AnswerBodyEnd& end);
  void OnEnd(const AttemptId& id, const Status& status);
  /// Reason why an attempt did not start its request.
  struct RunRefusal {
    std::string code;
    AttemptReach reach;
    std::string detail;
    bool overloaded = false;
  };

  void ReportCallEnd(const std::string& instance,
                     const std::optional<TargetRun>& called,
                     const Status& status);
  void ReportStray(const std::string& instance, StrayAnswer reason);
  /// Reports the limit in the head of an answer of `instance`.
  void ReportLimit(const std::string& instance, const Run& run, int status,
                   const std::vector<HttpHeader>& headers);
  /// Returns how far an attempt got whose run call was not written.
  static AttemptReach ReachBeforeRun(const Run& run);
  void RefuseRun(const AttemptId& id, RunRefusal why);
  void ReleaseHandle(const KvHandle& handle);
  void StartExtraCall(TargetClient* client, TargetRequest request,
                      std::function<void(const Result<TargetAnswer>&)> done);
  void ReportBrokenRequest(const std::string& instance, const Run& run,
                           const Error& error);
  void ReportAbandonedRequest(const Run& run);
  Run* Find(const AttemptId& id);
  void Flush();

  boost::asio::io_context* io_;
  RequestFlow* flow_;
  Options options_;
  TargetDialect dialect_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::map<std::string, Target> targets_;
  std::unordered_map<AttemptId, Run> runs_;
  /// Open calls outside the attempts, by number.
  std::map<std::uint64_t, std::unique_ptr<TargetClient::Call>> extra_calls_;
  std::uint64_t next_extra_call_ = 0;
  std::uint64_t next_link_ = 0;
  std::uint64_t next_client_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_DIRECT_TRANSPORT_H_
