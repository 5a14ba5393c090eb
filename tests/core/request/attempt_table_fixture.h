#ifndef INDIGOLEAD_TESTS_CORE_REQUEST_ATTEMPT_TABLE_FIXTURE_H_
#define INDIGOLEAD_TESTS_CORE_REQUEST_ATTEMPT_TABLE_FIXTURE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/request/attempt_table.h"

namespace indigolead {

/// Attempt table with a simulated entry, target and clock.
class AttemptTableFixture {
 public:
  static constexpr LinkNumber kLink = 1;
  static constexpr LinkNumber kNewLink = 2;

  explicit AttemptTableFixture(AttemptTable::Options options = MakeOptions())
      : options_(std::move(options)), table_(options_, MakeHooks()) {
    table_.OnPeer(kLink, kEntry);
  }

  static AttemptTable::Options MakeOptions() {
    AttemptTable::Options options;
    options.incarnation = Incarnation{{7, 7}};
    options.deployment = "tarifa-llm";
    options.max_attempts = 4;
    return options;
  }

  static AttemptStart MakeStart(std::uint64_t n) {
    AttemptStart start;
    start.id = AttemptId{{1, n}};
    start.start_sequence = n;
    start.start_within = std::chrono::seconds(1);
    start.finish_within = std::chrono::seconds(60);
    start.deployment = "tarifa-llm";
    start.initial_credit_bytes = 1024;
    start.request.method = "POST";
    start.request.path = "/v1/completions";
    return start;
  }

  AttemptQuery QueryOf(std::uint64_t n) const {
    return {AttemptId{{1, n}}, options_.incarnation, n};
  }

  void Start(std::uint64_t n) { table_.OnStart(kLink, MakeStart(n), now_); }

  void Answer(std::uint64_t n, const std::vector<std::string>& chunks) {
    const AttemptId id{{1, n}};
    table_.OnCallHead(id, 200, {});
    for (const auto& it : chunks) {
      table_.OnCallBody(id, std::string(it));
    }
  }

  void End(std::uint64_t n, CallOutcome outcome) {
    table_.OnCallEnd(AttemptId{{1, n}}, outcome, "", now_);
  }

  void AdvanceTime(Duration time) {
    now_ += time;
    table_.Tick(now_);
  }

  /// Returns how often attempt `n` was passed to the target's thread.
  int RunCount(std::uint64_t n) const {
    const auto it = runs_.find(AttemptId{{1, n}});
    return it == runs_.end() ? 0 : it->second;
  }

  std::optional<RefusalReason> last_refusal() const {
    return refusals_.empty() ? std::nullopt
                             : std::optional(refusals_.back().reason);
  }
  std::optional<SideKnowledge> last_knowledge() const {
    return states_.empty() ? std::nullopt
                           : std::optional(states_.back().knowledge);
  }
  /// Returns the sequence numbers sent over `link`.
  std::vector<std::uint64_t> SequencesOn(LinkNumber link) const {
    std::vector<std::uint64_t> sequences;
    for (const auto& [number, frame] : sent_) {
      if (number == link) {
        sequences.push_back(frame.sequence);
      }
    }
    return sequences;
  }

  const Incarnation kEntry{{9, 9}};
  TimePoint now_{std::chrono::seconds(1000)};
  AttemptTable::Options options_;
  bool link_full_ = false;
  bool queue_full_ = false;
  RefusalReason check_result_ = RefusalReason::kUnspecified;
  std::map<AttemptId, int> runs_;
  std::vector<AttemptId> cancelled_;
  std::vector<bool> pauses_;
  std::vector<AttemptRefusal> refusals_;
  std::vector<AttemptStateReply> states_;
  std::vector<std::pair<LinkNumber, AttemptFrame>> sent_;
  AttemptTable table_;

 private:
  AttemptTable::Hooks MakeHooks() {
    AttemptTable::Hooks hooks;
    hooks.send_frame = [this](LinkNumber link, const AttemptId&,
                              const AttemptFrame& frame) {
      if (link_full_) {
        return false;
      }
      sent_.emplace_back(link, frame);
      return true;
    };
    hooks.send_refusal = [this](LinkNumber, const AttemptRefusal& it) {
      refusals_.push_back(it);
    };
    hooks.send_state = [this](LinkNumber, const AttemptStateReply& it) {
      states_.push_back(it);
    };
    hooks.start_call = [this](const AttemptId& id, AttemptRequest&&, TimePoint,
                              TimePoint) {
      if (queue_full_) {
        return false;
      }
      ++runs_[id];
      return true;
    };
    hooks.cancel_call = [this](const AttemptId& id) {
      cancelled_.push_back(id);
    };
    hooks.pause_call = [this](const AttemptId&, bool pause) {
      pauses_.push_back(pause);
    };
    hooks.check = [this](const AttemptStart&) { return check_result_; };
    return hooks;
  }
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_CORE_REQUEST_ATTEMPT_TABLE_FIXTURE_H_
