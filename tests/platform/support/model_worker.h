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
#include "tests/support/rest_rule.h"

namespace indigolead::testing {

/// Stand-in of one of the platform's targets: a model engine that reads
/// prompts or makes answers by its stage, or a plain service.
class ModelWorker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string failure_domain;
    bool is_engine = true;
    int events = 4;  ///< Of each stream.
    /// Between two events of a stream that runs alone; each further one in the
    /// batch makes all of them as much slower.
    std::chrono::milliseconds event_gap{5};
    int slots = 8;  ///< Runs at once; further ones are refused.
  };
  /// What becomes of requests to run.
  enum class Behaviour {
    kSound,
    kRefuses,       ///< 503, proved not to have run.
    kFails,         ///< Runs, and answers 500.
    kResets,        ///< Begins to run, then resets the connection.
    kSilent,        ///< Runs, and never answers.
    kFrozen,        ///< Neither runs nor answers.
    kLate,          ///< Answers after `kLateness`.
    kGarbled,       ///< Runs, and sends bytes that are no answer.
    kWrongLength,   ///< Runs, states too long a body, and closes.
    kExtraAnswer,   ///< Sends another answer a moment after the whole one.
    kBreaksMidway,  ///< The first run of an id resets after two events.
  };
  /// How the bodies of answers to requests end.
  struct BodyEnd {
    bool by_close = false;  ///< Neither a length nor chunks.
    /// Bytes after which a stream ends in order without being whole.
    std::optional<std::size_t> cut_after;
    bool cut_resumed = false;  ///< Streams that go on after an event as well.
  };
  static constexpr std::chrono::milliseconds kLateness{300};
  /// From the begin of a run that crashes the target to the crash, and from
  /// there to its next start.
  static constexpr std::chrono::milliseconds kCrashAfter{60};
  static constexpr std::chrono::milliseconds kDownFor{700};
  /// A caller's request that came, to run or to have its prompt read.
  struct Arrival {
    std::string request_id;
    std::chrono::steady_clock::time_point at;
    std::string path;
    bool is_reading = false;  ///< Its prompt is to be read, no more.
    bool accepted = false;    ///< Of a reading: it was not rejected.
  };

  explicit ModelWorker(Options options);
  ModelWorker(const ModelWorker&) = delete;
  ModelWorker& operator=(const ModelWorker&) = delete;

  /// Returns the registration to put into the store.
  nlohmann::json Registration();

  std::string stage();
  /// Returns how often the request with this id was run.
  int runs(const std::string& request_id);
  int prefills();
  /// Returns the client accounts told with each arrival of the request, to read
  /// its prompt or to run it.
  std::vector<std::string> accounts(const std::string& request_id);
  /// Returns the callers' requests that came, in the order in which they did.
  std::vector<Arrival> request_arrivals();
  /// Returns the service whose target this is.
  const std::string& service() const { return options_.service; }
  /// Returns how many arrivals had a caller's key with them.
  int keys_seen();
  void SetBehaviour(Behaviour behaviour);
  void SetBodyEnd(BodyEnd end);
  /// Crashes with all that it runs shortly after it has begun to run a request
  /// of that path, and starts anew a moment later. No path: never.
  void SetCrashesOn(std::string path);
  /// Returns when it crashed.
  std::vector<std::chrono::steady_clock::time_point> crashes();
  /// Names a limit in all answers from now on, in requests a second, or none.
  /// It is named only: whatever comes is served.
  void SetNamedLimit(std::optional<double> limit);
  /// Returns when an answer first named the limit that is named now; nothing if
  /// none has yet, as where all answers are lost or garbled.
  std::optional<std::chrono::steady_clock::time_point> limit_named_at();
  using Rest = AskedRest<std::chrono::steady_clock::time_point>;
  /// Turns all callers' requests away from now on and asks for rest of that
  /// many seconds, or none.
  void SetAskedRest(std::optional<double> seconds);
  /// Returns the rests that were asked for.
  std::vector<Rest> rests();
  /// Says in all answers from now on that it leaves, or not.
  void SetSaysLeaving(bool leaving);
  /// Returns when answers said that it leaves.
  std::vector<std::chrono::steady_clock::time_point> said_leaving_at();
  /// Returns when each request came, to run, to read a prompt or of any other
  /// kind.
  std::vector<std::chrono::steady_clock::time_point> arrivals();

 private:
  standins::Task Handle(standins::HttpExchange& exchange);
  /// Turns the request away and asks for rest.
  standins::Task AskForRest(standins::HttpExchange& exchange);
  standins::Task Prefill(standins::HttpExchange& exchange);
  standins::Task Run(standins::HttpExchange& exchange);
  standins::Task Order(standins::HttpExchange& exchange);
  standins::Task Wait(standins::HttpExchange& exchange);
  /// Crashes if the request is one that it crashes on.
  standins::Task CrashIfAsked(standins::HttpExchange& exchange, bool* crashed);
  void StayDown(std::chrono::milliseconds length);
  void StartAnew();
  standins::Task Misbehave(standins::HttpExchange& exchange, bool* answer);
  standins::Task Answer(standins::HttpExchange& exchange);
  standins::Task Stream(standins::HttpExchange& exchange);
  standins::Task StartBody(standins::HttpExchange& exchange, std::string type,
                           standins::HttpHeaders headers);
  standins::Task WriteBody(standins::HttpExchange& exchange, std::string data);
  standins::Task EndBody(standins::HttpExchange& exchange);
  standins::HttpHeaders AnswerHeaders(const std::string& id);
  /// Returns the headers that every answer has.
  standins::HttpHeaders CommonHeaders();

  Options options_;
  std::string stage_ = "decode";
  std::uint64_t orders_ = 0;
  int prefills_ = 0;
  Behaviour behaviour_ = Behaviour::kSound;
  BodyEnd body_end_;
  std::string crashes_on_;
  std::vector<std::chrono::steady_clock::time_point> crashes_;
  std::unique_ptr<boost::asio::steady_timer> down_;
  std::int64_t born_ = 1;  ///< Another number for each start.
  int running_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, std::vector<std::string>> accounts_;
  std::vector<Arrival> request_arrivals_;
  int keys_seen_ = 0;
  std::optional<double> named_limit_;
  std::optional<std::chrono::steady_clock::time_point> limit_named_at_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
  std::optional<double> asked_rest_;  ///< In seconds.
  std::vector<Rest> rests_;
  bool says_leaving_ = false;
  std::vector<std::chrono::steady_clock::time_point> said_leaving_at_;
  standins::HttpServer server_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_
