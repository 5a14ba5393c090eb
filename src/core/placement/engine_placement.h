#ifndef INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_
#define INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/random.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/placement/read_time_model.h"
#include "core/placement/role_load.h"
#include "core/placement/role_load_meter.h"
#include "core/request/request_types.h"

namespace indigolead {

/// One engine that may get work now.
struct PlacementEngine {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kMixed;
  bool tried = false;    ///< An earlier attempt of this request went there.
  bool avoided = false;  ///< Its calls have broken one after the other.
  bool leaving = false;  ///< Gets no work; what it holds may be copied yet.
  /// May be sent nothing by this entry now: by a limit that it names, or since
  /// it asked for rest. What it holds may be copied.
  bool closed = false;

  friend bool operator==(const PlacementEngine&,
                         const PlacementEngine&) = default;
};

/// Where a request is read, and where its answer is made.
struct EnginePlace {
  std::string prefill;  ///< Empty: `decode` reads the prompt as well.
  std::string decode;
  double prefill_work = 0;  ///< Tokens still to be read, as counted here.
  bool cached = false;      ///< The shared part is taken to be cached there.
  /// Engine from which the reader may copy the shared part; empty: none.
  std::string copy_from = {};

  friend bool operator==(const EnginePlace&, const EnginePlace&) = default;
};

/// Every engine that could take the request has enough to read already.
struct EnginesBusy {
  Duration retry_after{0};
  Duration first_event{0};  ///< Predicted, of the best engine considered.

  friend bool operator==(const EnginesBusy&, const EnginesBusy&) = default;
};

/// Every engine that could take the request is closed.
struct EnginesClosed {
  friend bool operator==(const EnginesClosed&, const EnginesClosed&) = default;
};

/// No engine can make the answer.
struct NoEngine {
  friend bool operator==(const NoEngine&, const NoEngine&) = default;
};

using PlacementDecision =
    std::variant<EnginePlace, EnginesBusy, EnginesClosed, NoEngine>;

/// Places the two halves of a generation on a fleet whose engines either read
/// prompts or make answers.
///
/// With short answers to long prompts reading is the scarce thing, and most of
/// what is read has been read before. So the parts of a prompt that requests
/// share have a home, which every entry finds by the same hash without asking
/// anyone; a request goes to the next home in the hash's order while the one
/// before has too much to read. What nobody can read in time is refused at
/// once, since a queue at the engines can be neither reordered nor refused.
///
/// Not thread-safe. Memory is bounded by the options.
class EnginePlacement {
 public:
  struct Options {
    /// Share of its tokens that a cached part counts for in a backlog: it is
    /// looked up and copied, not read.
    double cached_weight = 0.1;
    /// Share of a request's target for its first event that its prediction may
    /// take; the rest is for what other entries send at the same moment, which
    /// no entry sees, and for the ways to the caller. What would come later is
    /// refused at once: a late answer takes as much of the engines as one in
    /// time, which then is late as well.
    double in_time_share = 0.6;
    /// Where no target is set, this share of the time left stands for it.
    double share_without_target = 0.25;
    /// Homes of one shared prefix; more of them hold the same copies.
    std::size_t max_homes = 3;
    std::string failure_domain;  ///< Where the entry itself runs.
    /// Streams by which an engine for the answer may be busier and still be
    /// preferred: in the entry's failure domain, since the whole request goes
    /// to it once more, and in the reader's, from which a copy takes half as
    /// long.
    double own_domain_streams = 4;
    double reader_domain_streams = 2;
    /// Bounds on the time after which a refused caller may come back. Bursts
    /// last two to three seconds, and callers come back once or twice: after
    /// 0.2 s most met the same burst and were refused for good. Measured in
    /// days played, 1.2 s earned no less than 0.2 s on any of three workloads.
    Duration min_retry_after = std::chrono::milliseconds(1200);
    Duration max_retry_after = std::chrono::milliseconds(2500);
    /// An engine that refused is left alone that long; its full queue lasts
    /// longer than the way to it. Doubles with each refusal in a row, up to the
    /// longest: a change of role takes three to seven seconds, in which a
    /// hundred entries asked it four times a second each.
    Duration avoid_after_refusal = std::chrono::milliseconds(250);
    Duration longest_avoid_after_refusal = std::chrono::seconds(2);
    /// An engine that owes an answer and has given none for so long gets no
    /// new work: dark, frozen or cut off, it would keep requests until their
    /// deadline. A sound one under full backlogs answers several times in this.
    Duration stall_after = std::chrono::milliseconds(900);
    /// Time for which a stalled engine that let a call run out is left alone:
    /// it is back seconds after a crash.
    Duration avoid_stalled = std::chrono::seconds(2);
    ReadTimeModel::Options read_time;
    RoleLoadMeter::Options load;
    std::size_t max_known_prefixes = 4096;  ///< For each engine.
    /// Prompts read in a row whose cache no engine could take over, after
    /// which the reader is left alone: its handles lapse, or its links fail.
    /// One alone may be the taker's fault.
    std::uint32_t max_lost_handles = 2;
    Duration avoid_lost_handles = std::chrono::milliseconds(1500);
  };

  EnginePlacement(Options options, RandomSource random);

  /// Decides where `request` goes.
  PlacementDecision Place(const CallerRequest& request,
                          const std::vector<PlacementEngine>& engines,
                          TimePoint now);

  /// Decides anew which engine makes the answer, now that the prompt of
  /// `attempt` has been read: the engine chosen before may be leaving, full or
  /// in change by now. Returns nothing if no engine can.
  std::optional<std::string> PlaceDecode(
      const AttemptId& attempt, const std::vector<PlacementEngine>& engines,
      TimePoint now);

  /// The engine chosen to make the answer of `attempt` did not take it over.
  /// Its prompt stays read; `PlaceDecode` chooses another.
  void OnRunnerRefused(const AttemptId& attempt, TimePoint now);

  /// The attempt was sent as decided.
  void OnSent(const AttemptId& attempt, const CallerRequest& request,
              const EnginePlace& place, TimePoint now);
  /// The prompt has been read.
  void OnPrefilled(const AttemptId& attempt, TimePoint now);
  /// The answer has begun.
  void OnAnswering(const AttemptId& attempt, TimePoint now);
  /// The attempt is over; `refused` if the engine did not take it.
  void OnEnded(const AttemptId& attempt, bool refused, TimePoint now);
  /// The engine's run is over; what it held is gone. Attempts sent to it that
  /// end later count nothing against a run that follows under the same id.
  void Forget(const std::string& instance);

  /// Takes what the operator tells of the service's engines.
  void SetLimits(const EngineLimits& limits) { limits_ = limits; }

  /// Returns the load that the service's work puts on both kinds of engines:
  /// as seen, or as assumed while too little was seen.
  RoleLoad Load(TimePoint now) const;

  /// Returns the engine from which the reader of `attempt` may copy what the
  /// prompt shares with others; empty if there is none.
  std::string CopySourceOf(const AttemptId& attempt) const;

  /// Returns the tokens that wait to be read at `instance`, as counted here.
  double BacklogOf(const std::string& instance) const;

 private:
  struct EngineState {
    std::uint64_t epoch = 0;  ///< Of the engine's run, as counted here.
    double backlog = 0;
    std::uint32_t reads = 0;  ///< Prompts that make up the backlog.
    /// Time that the latest prompt waited for others, all entries' ones, and
    /// when that was seen.
    Duration wait{0};
    TimePoint wait_at{};
    std::uint32_t streams = 0;
    std::uint32_t lost_handles = 0;  ///< In a row.
    std::uint32_t refusals = 0;      ///< In a row.
    std::uint32_t owed = 0;   ///< Calls that wait for their first answer.
    TimePoint progress_at{};  ///< Of the last such answer, or the first call.
    TimePoint avoid_until{};
    TimePoint full_until{};  ///< It refused an answer for want of room.
    std::unordered_map<std::uint64_t, std::uint64_t> prefixes;  ///< Tokens.
  };
  struct Sent {
    EnginePlace place;
    std::uint64_t prefix = 0;
    std::uint64_t prefix_tokens = 0;
    std::uint64_t reader_epoch = 0;
    std::uint64_t decode_epoch = 0;
    std::uint64_t tokens = 0;  ///< Of the whole prompt.
    bool read_alone = false;   ///< Nothing of ours was before it at its reader.
    TimePoint sent_at{};
    TimePoint asked_at{};  ///< When an engine was asked for the answer.
    TimePoint answering_at{};
    bool reading = true;
    bool answering = false;
    /// Engines that did not take over its prompt.
    std::vector<std::string> refused_by = {};
  };

  bool IsCached(const CallerRequest& request, const std::string& instance,
                bool is_home) const;
  double WorkOf(const CallerRequest& request, bool cached) const;
  /// Returns the engine most likely to hold what the prompt shares, but for
  /// `reader`; empty if there is none.
  std::string CopySource(const CallerRequest& request,
                         const std::vector<PlacementEngine>& engines,
                         const std::vector<const PlacementEngine*>& readers,
                         const std::string& reader) const;
  const PlacementEngine* PickDecode(
      const std::vector<const PlacementEngine*>& engines,
      const std::string& near_domain);
  std::vector<const PlacementEngine*> Usable(
      const std::vector<PlacementEngine>& engines, EngineRole role,
      TimePoint now) const;
  PlacementDecision PlaceWhole(const CallerRequest& request,
                               const std::vector<const PlacementEngine*>& from,
                               TimePoint now);
  EnginesBusy Busy(Duration first_event, Duration limit);
  Duration TimeLimit(const CallerRequest& request, TimePoint now) const;
  Duration WaitAt(const std::string& instance, const ReadTimeModel& model,
                  TimePoint now) const;
  void LearnFrom(const Sent& sent, EngineState* reader, TimePoint now);
  const EngineState* Find(const std::string& instance) const;
  EngineState& StateOf(const std::string& instance);
  EngineState* BusyState(const std::string& instance, std::uint64_t epoch);
  void Owe(const std::string& instance, TimePoint now);
  void RememberPrefix(EngineState* state, const Sent& sent);
  static void TakeOff(EngineState* reader, const Sent& sent);
  static void Pay(EngineState* state, TimePoint now);
  bool IsStalled(const EngineState& state, TimePoint now) const;
  bool AllFull(const std::vector<const PlacementEngine*>& engines,
               TimePoint now) const;
  void Settle(EngineState* state, bool refused, TimePoint now);
  Duration AvoidAfter(std::uint32_t refusals) const;
  void CountHandle(const Sent& sent, bool lost, TimePoint now);

  Options options_;
  RandomSource random_;
  std::map<std::string, EngineState> engines_;
  std::uint64_t last_epoch_ = 0;
  EngineLimits limits_;
  ReadTimeModel read_time_;   ///< Of engines that only read.
  ReadTimeModel whole_time_;  ///< To a first event, of those that do both.
  RoleLoadMeter load_;
  double answer_wait_s_ = 0;  ///< Of late, from asking to the first event.
  std::unordered_map<AttemptId, Sent> sent_;
};

/// Returns the hash of the parts that the request shares with others: all but
/// the last, or the last if it is the only one.
std::uint64_t SharedPrefixHash(const std::vector<PromptPart>& parts);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_
