#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_SIMULATION_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_SIMULATION_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/direct_dispatcher.h"
#include "tests/support/direct_simulation.h"
#include "tests/support/direct_simulation/timeline.h"

namespace indigolead::testing::direct_simulation {

inline constexpr Duration kTick = std::chrono::milliseconds(25);
inline constexpr Duration kTrafficPeriod =
    std::chrono::seconds(12);  ///< Period with new requests.
inline constexpr Duration kQuietPeriod =
    std::chrono::seconds(12);  ///< Longer than any deadline.
/// Allowed delay of a final answer past its deadline: two ticks.
inline constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(60);
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);
inline constexpr std::uint32_t kMaxAttempts = 2;
inline constexpr double kRetryShare = 0.14;
inline constexpr double kRetryBurst = 6;
inline constexpr double kRetriesAtStart = 4;

enum class Kind { kSafe, kUnsafe, kStream, kResumable };

/// Rate limit that a target advertises, and the calls received since then.
struct AdvertisedLimit {
  double per_second = 0;
  std::optional<TimePoint> advertised_at;  ///< First answer that advertised it.
  /// Time at which each entry process first received the limit.
  std::map<std::uint64_t, TimePoint> received_at;
  std::vector<TimePoint> informed_calls;  ///< Calls by entries that knew it.
};

/// Load shedding by an overloaded target.
struct Shedding {
  double share = 1;      ///< Fraction of requests that it refuses.
  Duration cooldown{0};  ///< Requested with each refusal.
};

/// Actual state of one target, whatever the entries believe.
struct Target {
  TargetRecord record;
  bool alive = true;
  bool frozen = false;
  bool listed = true;
  std::uint32_t running = 0;
  std::uint64_t handles_made = 0;
  std::set<std::string> handles;
  std::optional<AdvertisedLimit> limit;
  std::optional<Shedding> shedding;
  /// End of the cooldown requested from each entry process.
  std::map<std::uint64_t, TimePoint> cooldowns;
  bool announces_leaving = false;
};

struct Call;

/// Record of one request, as observed by its caller and the targets.
struct RequestObservation {
  Kind kind = Kind::kSafe;
  std::string service;
  TimePoint deadline;
  int entry = 0;
  std::uint64_t process_number = 0;  ///< Entry process that accepted it.
  int runs = 0;
  int sends = 0;     ///< Written calls that run it.
  int prefills = 0;  ///< Written calls that prefill its prompt.
  int finals = 0;
  bool reported_not_run = false;
  bool cut = false;
  std::optional<TimePoint> disconnected_at;
  std::string body;
  std::vector<std::weak_ptr<Call>> calls;
};

/// One call from an entry to a target.
struct Call {
  int entry = 0;
  std::uint64_t process_number = 0;
  std::string address;
  TargetRequest request;
  TargetClient::Hooks hooks;
  bool open = true;  ///< The entry has not closed it.
  bool written = false;
  bool ended = false;
};

/// Entries, callers and targets of one randomized simulation.
class Simulation {
 public:
  Simulation(std::uint64_t seed, const DirectSimulationOptions& options)
      : options_(options),
        random_(MakeSeededRandom(seed)),
        limit_random_(MakeSeededRandom(~seed)),
        notice_random_(MakeSeededRandom(seed ^ kNoticeSeed)) {}

  DirectSimulationReport Execute();

  /// Starts a call that an entry makes to `address`.
  void StartCall(const std::shared_ptr<Call>& call);

 private:
  struct Entry {
    std::unique_ptr<DirectDispatcher> dispatcher;
    std::unique_ptr<MetricsRegistry> metrics;
    std::uint64_t process_number = 0;
    std::optional<TimePoint> registered_at;
    TimePoint frozen_until{};
    std::vector<std::function<void()>> waiting;  ///< Deferred while frozen.
    std::set<std::string> known_leaving;
    std::map<std::string, int> requests;  ///< Of this process, by service.
    std::map<std::string, int> further;
  };

  bool Chance(double p) { return ToUnitInterval(random_()) < p; }
  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }
  Duration RandomBetween(Duration least, Duration most) {
    return least + std::chrono::duration_cast<Duration>(
                       (most - least) * ToUnitInterval(random_()));
  }
  void AddViolation(std::string what) {
    if (report_.violations.size() < 10) {
      report_.violations.push_back(std::move(what));
    }
  }

  void AddTarget(const std::string& service, EngineRole role,
                 const std::string& address);
  void StartEntry(int number);
  void CheckBudget(const Entry& entry);
  void CheckClosed(const std::string& id);
  void TickEntry(int number);
  void SendTargets(int number);
  void SendEntries(int number);
  void RunOnEntry(int number, std::uint64_t process_number,
                  std::function<void()> function);
  void Freeze(int number, Duration length);
  void Unfreeze(int number, std::uint64_t process_number);
  void OnToCaller(int number, const ToCallers& message);
  void RecordFinalAnswer(RequestObservation* observation);
  void OnRefused(const std::string& id, RequestObservation* observation,
                 const Refusal& refusal);

  void NextRequest();
  void InjectFault();
  void CrashTarget(Target* target);
  void StartLimit();
  void EndLimit(Target* target);
  void CountForLimit(const Call& call);
  std::vector<HttpHeader> WithLimit(const Call& call,
                                    std::vector<HttpHeader> headers);
  void StartNotice();
  void BeginShedding(Target* target);
  void BeginLeaving(Target* target);
  /// Refuses the call if its target sheds it; returns true if so.
  bool TryShed(const std::shared_ptr<Call>& call, const Target& target);
  /// Checks that the target's notices permit this written call.
  void CheckNotices(const Call& call);
  /// Adds the target's notices to `headers` and records that the entry has
  /// received them.
  std::vector<HttpHeader> WithNotices(const Call& call,
                                      std::vector<HttpHeader> headers);

  Target* FindTarget(const std::string& address);
  Target* RandomTarget();
  void EndCall(const std::shared_ptr<Call>& call, ErrorCode code);
  void Answer(const std::shared_ptr<Call>& call, int status, std::string body,
              std::vector<HttpHeader> headers = {});
  void OnCallArrival(const std::shared_ptr<Call>& call);
  void Prefill(const std::shared_ptr<Call>& call, Target* target);
  void Run(const std::shared_ptr<Call>& call, Target* target);
  bool ConsumeHandle(const std::string& source);
  void CountRun(const std::string& id);
  void StreamEvent(const std::shared_ptr<Call>& call, const std::string& id,
                   int number, int breaks_at);
  void SendBody(const std::shared_ptr<Call>& call, std::string data);

  static constexpr std::uint64_t kNoticeSeed = 0x7e57;

  DirectSimulationOptions options_;
  RandomSource random_;
  RandomSource limit_random_;  ///< Separate: limits shift no other draw.
  RandomSource notice_random_;
  Timeline time_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::map<int, Entry> entries_;
  std::map<std::string, RequestObservation> observations_;
  std::map<RequestId, std::string> names_;
  std::uint64_t next_target_ = 0;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_process_number_ = 0;
  std::uint64_t next_id_ = 0;
  bool store_down_ = false;
  DirectSimulationReport report_;
};

}  // namespace indigolead::testing::direct_simulation

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_SIMULATION_H_
