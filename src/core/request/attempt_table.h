#ifndef INDIGOLEAD_CORE_REQUEST_ATTEMPT_TABLE_H_
#define INDIGOLEAD_CORE_REQUEST_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/request/attempt_memory.h"
#include "core/request/attempt_types.h"
#include "core/request/frame_buffer.h"

namespace indigolead {

/// Manages all attempts that a side process runs on its target.
///
/// Starts each attempt at most once, numbers the frames of its answer and holds
/// them until the caller has consumed them, so that a stream can be resumed
/// over a new connection. Reports only provable states; see `AttemptMemory`. An
/// attempt that was passed to the target's thread counts as running. It is
/// refused afterwards only if that thread reports that no byte was written.
///
/// Not thread-safe; must be used from one thread. Hooks are called from within
/// the `On...` functions and `Tick` and must not call back into the table.
class AttemptTable {
 public:
  struct Options {
    Incarnation incarnation;  ///< Incarnation of this process.
    std::string deployment;
    std::size_t max_attempts = 512;
    std::uint64_t max_buffer_bytes = 64ULL << 20;
    std::uint64_t stream_buffer_bytes = 1ULL << 20;
    std::uint64_t max_body_bytes = 16ULL << 20;
    Duration finished_retention = std::chrono::seconds(30);
    std::size_t max_finished = 65536;
    /// Sent to the entry with a `kOverloaded` refusal.
    Duration overload_retry_after = std::chrono::seconds(1);
    AttemptMemory::Options memory;
  };

  /// Callbacks through which the table acts.
  struct Hooks {
    /// Sends a frame; returns false if the link cannot accept more now.
    std::function<bool(LinkNumber, const AttemptId&, const AttemptFrame&)>
        send_frame;
    std::function<void(LinkNumber, const AttemptRefusal&)> send_refusal;
    std::function<void(LinkNumber, const AttemptStateReply&)> send_state;
    /// Passes the request to the target's thread, which must write the first
    /// byte before `start_by` or not at all. Returns false, without effect, if
    /// the target's queue is full.
    std::function<bool(const AttemptId&, AttemptRequest&&, TimePoint start_by,
                       TimePoint finish_by)>
        start_call;
    std::function<void(const AttemptId&)> cancel_call;
    std::function<void(const AttemptId&, bool pause)> pause_call;
    /// Returns why the attempt is refused (for example target down or request
    /// quarantined), or `kUnspecified` to accept it.
    std::function<RefusalReason(const AttemptStart&)> check;
  };

  /// Counters for metrics and tests.
  struct Counts {
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
    /// Repeated starts, and messages about attempts that are not held.
    std::uint64_t unexpected = 0;
    std::uint64_t resumed = 0;

    friend bool operator==(const Counts&, const Counts&) = default;
  };

  AttemptTable(Options options, Hooks hooks);

  /// @name Events from entries.
  /// @{
  void OnPeer(LinkNumber link, const Incarnation& peer);
  void OnLinkDown(LinkNumber link);
  void OnStart(LinkNumber link, AttemptStart start, TimePoint now);
  void OnBodyChunk(LinkNumber link, const AttemptId& id, std::uint64_t sequence,
                   std::string_view data, bool last, TimePoint now);
  void OnCredit(const AttemptId& id, std::uint64_t bytes);
  void OnCancel(LinkNumber link, const AttemptQuery& query, TimePoint now);
  /// `granted_bytes` is the total credit that the entry granted; 0 if
  /// unknown.
  void OnResume(LinkNumber link, const AttemptQuery& query,
                std::uint64_t next_sequence, std::uint64_t granted_bytes,
                TimePoint now);
  /// @}

  /// @name Events from the target's thread.
  /// @{
  void OnCallHead(const AttemptId& id, int status, HeaderList headers);
  void OnCallBody(const AttemptId& id, std::string&& data);
  void OnCallEnd(const AttemptId& id, CallOutcome outcome, std::string detail,
                 TimePoint now);
  /// @}

  /// Stops attempts past their deadline, forgets finished attempts past their
  /// retention, and resends frames that a full link rejected.
  void Tick(TimePoint now);

  /// While `leaving` is true, refuses every new attempt; running ones finish.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  bool leaving() const { return leaving_; }

  /// Returns the number of attempts that have not ended.
  std::size_t running() const { return running_; }
  /// Returns true if the attempt is held here and has not ended.
  bool IsRunning(const AttemptId& id) const;
  /// Returns true if no attempt runs and every end frame was sent. Cancelled
  /// attempts need no end frame.
  bool Idle() const;
  std::uint64_t buffered_bytes() const { return buffered_bytes_; }
  std::size_t held() const { return attempts_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct Attempt {
    AttemptId id;
    LinkNumber link = 0;
    Incarnation peer;
    std::uint64_t start_sequence = 0;
    TimePoint start_by;
    TimePoint finish_by;
    std::unique_ptr<AttemptStart> pending_start;  ///< Body incomplete.
    std::uint64_t next_body_sequence = 0;
    FrameBuffer frames;
    bool cancelled = false;
    bool past_deadline = false;
    bool call_started = false;  ///< Passed to the target's thread.
    bool ended = false;
    TimePoint ended_at;

    Attempt(const AttemptStart& start, LinkNumber link_number,
            const Incarnation& peer_incarnation, TimePoint now,
            std::uint64_t* buffered_bytes);
  };

  Attempt* Find(const AttemptId& id);
  const Incarnation* PeerOf(LinkNumber link) const;
  RefusalReason ReasonToRefuse(const Incarnation& peer,
                               const AttemptStart& start, TimePoint now);
  void Refuse(LinkNumber link, const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence, RefusalReason reason,
              std::string detail, TimePoint now);
  void StartCall(Attempt* attempt, AttemptRequest&& request, TimePoint now);
  void RefuseHeldAttempt(Attempt* attempt, RefusalReason reason,
                         std::string detail, TimePoint now);
  /// `state_if_finished` is the reply for an attempt that ran here and whose
  /// frames are no longer held.
  void ReplyForUnheldAttempt(LinkNumber link, const AttemptQuery& query,
                             SideKnowledge state_if_finished, TimePoint now);
  void End(Attempt* attempt, RunOutcome outcome, std::string detail,
           TimePoint now);
  void Erase(const AttemptId& id);
  void Send(Attempt* attempt);
  void UpdatePause(Attempt* attempt);
  void ExpireDeadlines(TimePoint now);
  void ForgetFinished(TimePoint now);
  void ForgetOldest(TimePoint now);
  /// Forgets finished attempts, oldest first, until the bounds hold.
  void EvictFinished(TimePoint now);

  Options options_;
  Hooks hooks_;
  AttemptMemory memory_;
  std::uint64_t buffered_bytes_ = 0;  ///< Updated by the frame buffers.
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<LinkNumber, Incarnation> peers_;
  std::set<std::pair<TimePoint, AttemptId>> deadlines_;
  std::deque<AttemptId> finished_;        ///< Oldest first.
  std::unordered_set<AttemptId> unsent_;  ///< A full link rejected a frame.
  std::unordered_set<AttemptId> paused_;
  std::size_t running_ = 0;
  bool leaving_ = false;
  TimePoint last_event_time_;  ///< Of the latest event that had a time.
  Counts counts_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_TABLE_H_
