#ifndef INDIGOLEAD_ENTRY_DIRECT_CARRIER_H_
#define INDIGOLEAD_ENTRY_DIRECT_CARRIER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
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

/// Carries attempts from the request flow straight to targets over HTTP.
///
/// The other carrier is the link to a side. The flow cannot tell them apart: a
/// target is announced as a side would be, starts and cancels come as actions,
/// and what becomes of an attempt is told in the same numbered frames. So all
/// that decides about a request is one code for both.
///
/// An attempt may have two calls: one engine reads the prompt, and another
/// makes the answer from its KV cache. Until the second call is written the
/// request has not run.
///
/// Runs on the thread of its io_context.
class DirectCarrier {
 public:
  struct Options {
    HttpTargetClient::Options client;  ///< Without the address.
    /// Returns a client of the target at "IP:port"; empty: one as above.
    std::function<std::unique_ptr<TargetClient>(const std::string& address)>
        make_client;
    /// Longest answer to the call that reads a prompt.
    std::size_t max_handle_bytes = 4096;
    /// Longest wait for a prompt to be read, and the share of the time left
    /// that it may take: a reader that has gone dark must leave time for
    /// another. The longest prompts take 0.7 s at a full backlog.
    Duration max_prefill_wait = std::chrono::milliseconds(1600);
    double max_prefill_share = 0.4;
    /// Targets that may be asked to take over one prompt that has been read: a
    /// second one, and a third where the first could not even be reached.
    std::uint32_t max_runners = 3;
    /// Bound on calls about handles.
    Duration release_deadline = std::chrono::seconds(2);
  };
  struct Hooks {
    /// The prompt of an attempt has been read.
    std::function<void(const AttemptId&)> on_prefilled;
    /// Returns the engine from which the reader may copy what an attempt's
    /// prompt shares with others; empty if there is none.
    std::function<std::string(const AttemptId&)> copy_source;
    /// The head of an attempt's answer came.
    std::function<void(const AttemptId&)> on_answering;
    /// Returns the target that makes the answer, now that the prompt has been
    /// read; nothing if none can.
    std::function<std::optional<std::string>(const AttemptId&,
                                             const CallerRequest&)>
        choose_runner;
    /// The target chosen to make the answer did not take it over.
    std::function<void(const AttemptId&)> on_runner_refused;
    /// Asks whether the request may arrive at one more target.
    std::function<bool(const CallerRequest&)> may_arrive_again;
    /// What was allowed so was not made after all.
    std::function<void(const CallerRequest&)> on_no_arrival;
    /// The body of a target's answer to a request ended as its framing says,
    /// which alone does not show that it is whole.
    std::function<void(const AnswerBodyEnd&)> on_doubtful_end;
    /// A call to a target ended as it should, or broke: its connection was
    /// lost or could not be made. A call that ran out of time is neither, nor
    /// is one that was not to be written.
    std::function<void(const std::string& instance, bool broke)> on_call_end;
    /// The connection of a request that had been written broke.
    std::function<void(const std::string& instance,
                       const std::optional<TargetRun>& run,
                       const CallerRequest&)>
        on_request_broke;
    /// A request that no route decided goes to a target.
    std::function<void(const std::string& instance)> on_extra_call;
    /// The head of a target's answer came; it names a limit, or none.
    std::function<void(const std::string& instance, const LimitNotice&)>
        on_limit_notice;
    /// Asked immediately before the first byte of any call to a target is
    /// written. An error of `kOverloaded` stops it.
    std::function<Status(const std::string& instance, bool is_new_work)>
        may_write;
    /// The head of a target's answer, of any kind, asks this entry for rest.
    std::function<void(const std::string& instance, Duration length)>
        on_rest_asked;
    /// The head of a target's answer, of any kind, says that it leaves.
    std::function<void(const std::string& instance)> on_leaving_told;
    /// Called after the flow was told something.
    std::function<void()> flush;
  };

  /// `io` and `flow` must outlive this object.
  DirectCarrier(boost::asio::io_context* io, RequestFlow* flow, Options options,
                TargetDialect dialect, Hooks hooks, Clock clock, EventLog log);
  ~DirectCarrier();
  DirectCarrier(const DirectCarrier&) = delete;
  DirectCarrier& operator=(const DirectCarrier&) = delete;

  /// Takes over what the directory says of a target.
  void OnTarget(const TargetChange& change);

  /// Carries out the flow's actions.
  void Act(const SendStart& action);
  void Act(const SendCredit& action);
  void Act(const SendCancel& action);
  void Act(const SendResume& action);

  /// Makes a call that runs nothing, to find out whether a target is alive.
  /// Never calls `done` if the target is gone or may not be called now.
  void AskAlive(const std::string& instance,
                std::function<void(const Status&)> done);
  /// Returns the client of a target, for one call beside the attempts, or null
  /// if the target is gone or may not be called now. The call counts like any
  /// other request to the target.
  TargetClient* ClientForExtraCall(const std::string& instance);
  const TargetRecord* FindTarget(const std::string& instance) const;
  std::size_t running() const { return runs_.size(); }
  /// Returns false if nothing of the call that runs the attempt was written.
  bool MayHaveStarted(const AttemptId& attempt) const;

 private:
  struct Target {
    TargetRecord record;
    SideLink link;
    std::unique_ptr<TargetClient> client;
    std::uint64_t client_number = 0;  ///< Another one for each client.
  };
  struct Run {
    SideLink link;
    std::string instance;
    std::string reader;  ///< Reads the prompt; empty: `instance` does.
    std::shared_ptr<const CallerRequest> request;
    TimePoint deadline;
    std::string resume_after;
    std::unique_ptr<TargetClient::Call> call;
    std::optional<TargetRun> called;  ///< Known run of its target, at the call.
    TimePoint called_at{};
    std::optional<KvHandle> handle;  ///< Read, and not handed over yet.
    std::uint32_t runners = 0;       ///< Targets asked to take it over.
    bool written = false;            ///< The call that runs it.
    bool paused = false;
    /// Set if its answer's head says that it was not run.
    std::optional<AnswerMeaning> refused;
    int status = 0;
    std::uint64_t next_sequence = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t credit = 0;  ///< Bytes that may be sent in all.
    struct Checksum;
    std::shared_ptr<Checksum> checksum;
  };

  static SideInfo InfoOf(const TargetRecord& record);
  TargetClient* ClientOf(const std::string& instance);
  void Add(const TargetRecord& record);
  void Restart(const TargetRecord& record);
  /// Gives the target a client of its present run.
  void RenewClient(Target* target);
  std::unique_ptr<TargetClient> MakeClient(const std::string& address);
  /// Tells what the head of any answer that came by the client of that number
  /// says of its target.
  void TellNotices(const std::string& instance, std::uint64_t client_number,
                   int status, const std::vector<HttpHeader>& headers);
  void StartPrefill(const AttemptId& id, const std::string& at);
  Duration PrefillWait(Duration left) const;
  std::string CopyAddress(const AttemptId& id) const;
  void StartRun(const AttemptId& id);
  bool MoveToRunner(const AttemptId& id, Run* run);
  bool RunElsewhere(const AttemptId& id, Run* run, const std::string& why);
  void OnHandle(const AttemptId& id, const std::string& reader,
                const Result<TargetAnswer>& answer);
  void OnHead(const AttemptId& id, int status, std::vector<HttpHeader> headers);
  void OnBody(const AttemptId& id, std::string_view data);
  void OnBodyEnd(const AttemptId& id, const AnswerBodyEnd& end);
  void OnEnd(const AttemptId& id, const Status& status);
  /// Why an attempt did not start its request.
  struct Refused {
    std::string code;
    AttemptReach reach;
    std::string detail;
    bool overloaded = false;
  };

  void TellCallEnd(const std::string& instance,
                   const std::optional<TargetRun>& called,
                   const Status& status);
  /// Tells what the head of an answer of `instance` says of its limit.
  void TellLimit(const std::string& instance, const Run& run, int status,
                 const std::vector<HttpHeader>& headers);
  /// How far an attempt came whose request was not written to its target.
  static AttemptReach ReachBeforeRun(const Run& run);
  void RefuseRun(const AttemptId& id, Refused why);
  void FreeHandle(const KvHandle& handle);
  void CallBeside(TargetClient* client, TargetRequest request,
                  std::function<void(const Status&)> done);
  void TellBroken(const std::string& instance, const Run& run,
                  const Error& error);
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
  /// Calls beside the attempts, by number, until they end.
  std::map<std::uint64_t, std::unique_ptr<TargetClient::Call>> calls_beside_;
  std::uint64_t next_call_beside_ = 0;
  std::uint64_t next_link_ = 0;
  std::uint64_t next_client_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_DIRECT_CARRIER_H_
