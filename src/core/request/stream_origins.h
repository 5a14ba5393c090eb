#ifndef INDIGOLEAD_CORE_REQUEST_STREAM_ORIGINS_H_
#define INDIGOLEAD_CORE_REQUEST_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/membership/rendezvous.h"
#include "core/request/stream_origin.h"
#include "core/request/stream_origin_table.h"

namespace indigolead {

/// An entry that can be asked for the origin of a stream.
struct StreamPeer {
  std::string name;
  std::string failure_domain;
  std::string address;  ///< "IP:port" that receives messages of other entries.

  friend bool operator==(const StreamPeer&, const StreamPeer&) = default;
};

/// Why the origin of a stream is not known.
enum class OriginUnknown {
  kNotRecorded,  ///< None of the entries asked has a record.
  kNoReply,      ///< Some entries did not reply in time.
};

/// Returns the name of the reason, for logs.
std::string_view NameOf(OriginUnknown reason);

using OriginResult = std::variant<StreamOrigin, OriginUnknown>;

/// Shares the origins of streams among the entries.
///
/// A caller continues a stream at any entry, also after the entry that began it
/// was killed. So the entry that delivers the first event sends the origin to
/// a few others, which a rendezvous hash of the request's id selects, and an
/// entry that has to continue a stream asks the entries that the same hash
/// selects. It asks more of them than get the record, since the lists of two
/// entries may differ by entries that come and go.
///
/// Messages may be lost. Each record is sent twice, since one that is lost
/// leaves the stream with a single other entry, which the list of the entry
/// that asks may lack. A question is repeated. Performs no I/O. Not
/// thread-safe.
class StreamOrigins {
 public:
  struct Options {
    std::string own_name;
    StreamOriginTable::Options table;
    std::size_t record_copies = 2;  ///< Beside this entry's own record.
    std::size_t peers_asked = 4;
    /// Time after which a question is unanswered. Longer than a busy entry
    /// takes to read its messages, and short against the time that callers wait
    /// for the next event.
    Duration reply_timeout = std::chrono::milliseconds(300);
    /// Time after which a question is repeated; doubles each time.
    Duration repeat_after = std::chrono::milliseconds(40);
    /// Time for which a question waits for the first list of entries. An entry
    /// that has just started gets its list within 1 to 2 s; callers that wait
    /// longer come again.
    Duration list_timeout = std::chrono::milliseconds(1500);
    std::size_t max_questions = 4096;
    /// Longest request id that is recorded, which bounds the memory.
    std::size_t max_id_bytes = 128;
    /// Own records that wait for the first list of entries.
    std::size_t max_unsent = 1024;
    /// Own records that wait to be sent a second time, which bounds the memory.
    std::size_t max_repeats = 1024;
    /// Others that get a record from an entry that stops. One more than usual,
    /// since the list of an entry that stops may name some that have stopped.
    std::size_t handover_copies = 3;
    /// Records that an entry that stops sends in one tick: half of what a
    /// socket's receive buffer holds by default, since they may all go to one
    /// entry.
    std::size_t handover_per_tick = 32;
  };
  struct Hooks {
    std::function<void(const StreamPeer&, const std::string& id,
                       const StreamOrigin&)>
        send_record;
    std::function<void(const StreamPeer&, const std::string& id)> send_question;
    /// Replies to a question that came from `address`.
    std::function<void(const std::string& address, const std::string& id,
                       const std::optional<StreamOrigin>&)>
        send_reply;
  };
  using Done = std::function<void(const OriginResult&)>;

  StreamOrigins(Options options, Hooks hooks, Clock clock);

  /// Sets the list of live entries, which may include this one.
  void OnEntries(const std::vector<StreamPeer>& entries);

  /// Records that this entry delivered the first event of the stream `id`.
  void OnStreamBegun(const std::string& id, const StreamOrigin& origin);

  /// Handles messages of other entries.
  void OnRecord(const std::string& id, const StreamOrigin& origin);
  void OnQuestion(const std::string& address, const std::string& id);
  void OnReply(const std::string& address, const std::string& id,
               const std::optional<StreamOrigin>& origin);

  /// Starts to send all records to others, newest first, a portion each tick.
  /// Messages of others are handled as before; records that come from now on
  /// are sent to others, too.
  void StartHandover();
  /// Returns true if no record waits to be sent to others, or no other is
  /// known.
  bool handed_over() const { return handover_.empty() || !listed_; }

  /// Finds the origin of the stream `id`. Calls `done` exactly once, possibly
  /// before it returns. Before the first list of entries, the question waits
  /// for it.
  void Find(const std::string& id, Done done);

  /// Sends new own records a second time, repeats and ends questions, and hands
  /// records over. Call every 20 to 50 ms.
  void Tick();

  /// Returns the number of known streams.
  std::size_t size() const { return table_.size(); }

 private:
  struct Question {
    std::vector<StreamPeer> waiting_for;  ///< Empty before the first list.
    TimePoint ends_at;
    TimePoint repeat_at;
    Duration repeat_after;
    std::vector<Done> done;
  };

  /// Returns up to `count` other entries that keep records of `id`, the most
  /// preferred first.
  std::vector<StreamPeer> PeersFor(const std::string& id,
                                   std::size_t count) const;
  void SendRecord(const std::string& id, const StreamOrigin& origin);
  /// Sends a new own record, now and with the next tick.
  void Share(const std::string& id, const StreamOrigin& origin);
  void RepeatRecords();
  void HandOver();
  /// Asks the peers of `id`; ends the question if there are none.
  void Start(const std::string& id, Question* question);
  /// Starts the questions that came before the first list.
  void StartWaiting();
  void Ask(const std::string& id, const Question& question);
  void End(const std::string& id, const OriginResult& result);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  StreamOriginTable table_;
  std::vector<StreamPeer> entries_;
  /// `entries_` in the form that the hash takes.
  std::vector<RendezvousCandidate> candidates_;
  bool listed_ = false;
  std::vector<std::string> unsent_;   ///< Own records without a list yet.
  std::vector<std::string> repeats_;  ///< Own records sent once.
  bool stopping_ = false;
  std::deque<std::string> handover_;  ///< Records to hand over, newest last.
  std::map<std::string, Question> questions_;  ///< By request id.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_STREAM_ORIGINS_H_
