#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/http_server.h"
#include "tests/support/cooldown_rule.h"

namespace indigolead::testing {

/// Stand-in for a target of the platform: a plain service, or a model engine
/// that does prefill or decode according to its stage.
class ModelWorker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string failure_domain;
    bool is_engine = true;
    int events = 4;  ///< Events of each stream.
    /// Gap between two events of a stream that runs alone. The gap grows in
    /// proportion to the number of concurrent runs.
    std::chrono::milliseconds event_gap{5};
    int slots = 8;  ///< Concurrent runs; more are refused.
    std::string software_version = "v1";
    std::string stage = "decode";  ///< Of an engine, at its start.
  };
  /// How the worker handles requests to run.
  enum class Behaviour {
    kHealthy,
    kRefuses,       ///< 503, marked as not executed.
    kFails,         ///< Runs and answers with 500.
    kResets,        ///< Begins to run, then resets the connection.
    kSilent,        ///< Runs and never answers.
    kFrozen,        ///< Neither runs nor answers.
    kLate,          ///< Answers after `kLateness`.
    kGarbled,       ///< Runs and sends bytes that are not HTTP.
    kWrongLength,   ///< Runs, states too long a body and resets.
    kExtraAnswer,   ///< Sends a second answer shortly after the first.
    kBreaksMidway,  ///< Resets midway: a new stream after two events.
  };
  /// How the bodies of answers to requests end.
  struct BodyEnd {
    bool by_close = false;  ///< By closing: neither a length nor chunks.
    /// Bytes after which a stream ends cleanly but incomplete.
    std::optional<std::size_t> cut_after;
    bool cut_resumed = false;  ///< Applies to resumed streams too.
  };
  /// Which answers of a plain worker come twice or break off. The second copy
  /// of an answer comes late, when the next request on its connection arrives.
  struct SpoiledAnswers {
    int repeated_every = 0;     ///< Every n-th answer comes twice; 0: none.
    int broken_off_every = 0;   ///< Every n-th answer breaks off; 0: none.
    bool refusals_too = false;  ///< Refusals come twice as well.
    std::chrono::milliseconds report_time{0};  ///< Time to send a report.
  };
  /// Time from the start of a run that crashes the target to the crash.
  static constexpr std::chrono::milliseconds kCrashAfter{60};
  /// Time from the crash to the restart.
  static constexpr std::chrono::milliseconds kDownFor{700};
  /// What a crash looks like from outside.
  struct CrashForm {
    /// What happens to connections made while the worker is down.
    enum class Address {
      kRefuses,
      kResets,  ///< They are accepted, and reset with the first request.
      kSilent,  ///< They are accepted, and no request is answered.
    };
    Address address = Address::kRefuses;
    /// Open connections are closed, as the kernel does for a killed process,
    /// and not reset.
    bool closes_in_order = false;
    /// Events of the stream that are sent before the crash.
    int events_before = 0;
    /// Time from the start of the run, or from these events, to the crash.
    std::chrono::milliseconds after = kCrashAfter;
    std::chrono::milliseconds down_for = kDownFor;
    /// The worker comes back under another id, and keeps its address.
    bool takes_new_id = false;
  };
  static constexpr std::chrono::milliseconds kLateness{300};
  /// Arrival of a caller's request, for a run or for prefill only.
  struct Arrival {
    std::string request_id;
    std::chrono::steady_clock::time_point at;
    std::string path;
    bool is_prefill = false;  ///< Prefill only.
    bool accepted = false;    ///< The prefill was not rejected.
  };

  explicit ModelWorker(Options options);
  ModelWorker(const ModelWorker&) = delete;
  ModelWorker& operator=(const ModelWorker&) = delete;

  /// Returns the id under which the worker registers.
  std::string id();
  /// Returns the registration to put into the store.
  nlohmann::json Registration();

  std::string stage();
  /// Returns how often the request with this id was run.
  int runs(const std::string& request_id);
  int prefills();
  /// Returns the client account named in each arrival of the request, for
  /// prefill or for a run.
  std::vector<std::string> accounts(const std::string& request_id);
  /// Returns the arrivals of callers' requests in order of time.
  std::vector<Arrival> request_arrivals();
  /// Returns the service that this target belongs to.
  const std::string& service() const { return options_.service; }
  /// Returns how many arrivals carried a caller's API key.
  int arrivals_with_key();
  /// Sets the version of the software that the registration states.
  void SetSoftwareVersion(std::string version);
  std::string software_version();
  /// Returns the text of the events that a target of this software version
  /// sends, without their numbers. All are of one length.
  static std::string TokenOf(const std::string& software_version);
  /// Sets the gap between two events of a stream that runs alone.
  void SetEventGap(std::chrono::milliseconds gap);
  /// Sets the gap between two events of a stream, however many run.
  void SetFixedEventGap(std::chrono::milliseconds gap);
  /// Sets how long an order to change the stage takes. Until it is done the
  /// worker refuses requests and states its old stage.
  void SetStageChangeTime(std::chrono::milliseconds time);
  /// States in the registration that the worker leaves. It still serves.
  void Drain();
  bool draining();
  /// Crashes now with all runs, for good.
  void Crash();
  /// Returns true between a crash and the restart.
  bool down();
  void SetBehaviour(Behaviour behaviour);
  void SetBodyEnd(BodyEnd end);
  /// Also makes the body of each answer name its request.
  void SetSpoiledAnswers(SpoiledAnswers spoiled);
  /// Returns the body of a plain worker's answer to the request `id` while
  /// answers are spoiled.
  std::string BodyFor(const std::string& id) const;
  /// Makes the worker crash with all its runs `kCrashAfter` after it starts to
  /// run a request for `path`, and restart after `kDownFor`. An empty path
  /// disables this.
  void SetCrashesOn(std::string path);
  /// The same with crashes of the given form.
  void SetCrashesOn(std::string path, const CrashForm& form);
  /// The same for requests whose prompt has the part `part`, as callers write
  /// its id. An empty id disables this.
  void SetCrashesOnPart(std::string part, const CrashForm& form);
  /// Returns the times of the crashes.
  std::vector<std::chrono::steady_clock::time_point> crashes();
  /// Sets the limit, in requests per second, that all answers advertise from
  /// now on, or none. The worker does not enforce it.
  void SetAdvertisedLimit(std::optional<double> limit);
  /// Returns when an answer first advertised the current limit. Empty if none
  /// has yet, for instance because the worker resets or garbles all its
  /// answers.
  std::optional<std::chrono::steady_clock::time_point> limit_advertised_at();
  using Cooldown = RequestedCooldown<std::chrono::steady_clock::time_point>;
  /// Makes the worker refuse all callers' requests from now on with a
  /// Retry-After of `seconds`, or serve them again.
  void SetRequestedCooldown(std::optional<double> seconds);
  /// Returns the cooldowns that were requested with Retry-After.
  std::vector<Cooldown> requested_cooldowns();
  /// Sets whether answers announce from now on that the target is leaving.
  void SetAnnouncesLeaving(bool leaving);
  /// Returns when answers announced that the target is leaving.
  std::vector<std::chrono::steady_clock::time_point> leaving_announced_at();
  /// Returns the arrival times of all requests, control calls included.
  std::vector<std::chrono::steady_clock::time_point> arrivals();

 private:
  standins::Task Handle(standins::HttpExchange& exchange);
  /// Refuses the request with a Retry-After header.
  standins::Task RequestCooldown(standins::HttpExchange& exchange);
  standins::Task Prefill(standins::HttpExchange& exchange);
  standins::Task Run(standins::HttpExchange& exchange);
  standins::Task Order(standins::HttpExchange& exchange);
  standins::Task Wait(standins::HttpExchange& exchange);
  /// Refuses the request: the worker has not run it.
  standins::Task Refuse(standins::HttpExchange& exchange);
  /// Completes a change of the stage that has taken its time.
  void UpdateStage();
  /// Returns true if running the request crashes the worker.
  bool Crashes(const standins::HttpRequest& request) const;
  /// Crashes if the request is one that triggers crashes.
  standins::Task CrashIfAsked(standins::HttpExchange& exchange, bool* crashed);
  /// Sends the head and the events that precede the crash.
  standins::Task BeginStream(standins::HttpExchange& exchange);
  /// Handles a request that arrives while the worker is down.
  standins::Task HandleWhileDown(standins::HttpExchange& exchange);
  void GoDownFor(std::chrono::milliseconds length);
  void RestartAfter(std::chrono::milliseconds length);
  void Restart();
  standins::Task Misbehave(standins::HttpExchange& exchange, bool* answer);
  standins::Task Answer(standins::HttpExchange& exchange);
  standins::Task SpoilAnswer(standins::HttpExchange& exchange, int status,
                             const std::string& body,
                             const standins::HttpHeaders& headers);
  /// Sends the second copy that is due on the connection, if there is one.
  standins::Task SendLateCopy(standins::HttpExchange& exchange);
  standins::Task Stream(standins::HttpExchange& exchange);
  standins::Task StartBody(standins::HttpExchange& exchange, std::string type,
                           standins::HttpHeaders headers);
  standins::Task WriteBody(standins::HttpExchange& exchange, std::string data);
  standins::Task EndBody(standins::HttpExchange& exchange);
  standins::HttpHeaders AnswerHeaders(const std::string& id);
  /// Returns the headers of every answer to the request of `exchange`.
  standins::HttpHeaders EchoHeaders(const standins::HttpExchange& exchange);
  /// Returns the headers that advertise a limit or announce that the target is
  /// leaving.
  standins::HttpHeaders NoticeHeaders();

  Options options_;
  std::string stage_;
  std::string next_stage_;  ///< During a change.
  std::chrono::steady_clock::time_point stage_changed_at_;
  std::chrono::milliseconds stage_change_time_{0};
  bool fixed_event_gap_ = false;
  bool down_ = false;
  bool draining_ = false;
  std::uint64_t orders_ = 0;
  int prefills_ = 0;
  Behaviour behaviour_ = Behaviour::kHealthy;
  BodyEnd body_end_;
  std::optional<SpoiledAnswers> spoiled_;
  int answers_ = 0;  ///< Since answers are spoiled.
  /// Second copies to come, by connection.
  std::map<const standins::HttpExchange*, std::string> late_copies_;
  std::string crashes_on_;
  std::string crashes_on_part_;
  CrashForm crash_form_;
  std::vector<std::chrono::steady_clock::time_point> crashes_;
  std::unique_ptr<boost::asio::steady_timer> restart_timer_;
  std::int64_t start_number_ = 1;  ///< Differs for each start of the process.
  int running_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, std::vector<std::string>> accounts_;
  std::vector<Arrival> request_arrivals_;
  int arrivals_with_key_ = 0;
  std::optional<double> advertised_limit_;
  std::optional<std::chrono::steady_clock::time_point> limit_advertised_at_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
  std::optional<double> requested_cooldown_;  ///< In seconds.
  std::vector<Cooldown> requested_cooldowns_;
  bool announces_leaving_ = false;
  std::vector<std::chrono::steady_clock::time_point> leaving_announced_at_;
  standins::HttpServer server_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_
