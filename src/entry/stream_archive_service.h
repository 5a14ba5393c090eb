#ifndef INDIGOLEAD_ENTRY_STREAM_ARCHIVE_SERVICE_H_
#define INDIGOLEAD_ENTRY_STREAM_ARCHIVE_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/request/archived_origins.h"
#include "core/request/stream_origin_archive.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// Archives the origins of streams in the store, where they outlast all
/// entries.
///
/// Each entry writes one object with the streams that it placed lately, so
/// writes never conflict. Nothing waits for a write. An entry reads the objects
/// of all entries when it starts, and again if it is asked for a stream that it
/// does not find. Runs on the thread of its store.
class StreamArchiveService {
 public:
  struct Options {
    /// Name of this entry's object, stable across restarts.
    std::string instance;
    std::string prefix = "streams/";
    StreamOriginArchive::Options archive;
    ArchivedOrigins::Options archived;
    CallOptions read{CallPriority::kConfig, std::chrono::milliseconds(1500)};
    CallOptions write{CallPriority::kStatus, std::chrono::milliseconds(1500)};
    /// Delay before a failed read at the start is repeated.
    Duration read_retry_delay = std::chrono::milliseconds(1000);
    /// Shortest time between two reads by an entry.
    Duration min_read_interval = std::chrono::seconds(2);
    /// Shortest mean time between two reads by any entries after their start:
    /// ten reads per second.
    Duration fleet_read_gap = std::chrono::milliseconds(100);
    /// Longest time that a question waits for a read.
    Duration max_wait = std::chrono::milliseconds(500);
    std::size_t max_waiting = 4096;
  };
  /// Called with the origin of a stream, or nothing if it is not known.
  using Done = std::function<void(const std::optional<StreamOrigin>&)>;

  /// `store` must outlive this object.
  StreamArchiveService(ObjectStore* store, Options options,
                       StreamOriginArchive::Hooks hooks, Clock clock,
                       EventLog log);
  StreamArchiveService(const StreamArchiveService&) = delete;
  StreamArchiveService& operator=(const StreamArchiveService&) = delete;
  ~StreamArchiveService();

  /// Reads the archives of all entries.
  void Start() { Read(); }
  /// Returns true once the archives have been read.
  bool has_read() const { return has_read_; }

  /// Sets the number of entries, on which the rate of calls depends.
  void SetEntries(std::size_t entries);
  /// Records that this entry sent the request `id`, which begins a stream, to
  /// its first target.
  void OnStreamPlaced(const std::string& id, const StreamOrigin& origin);
  /// See `StreamOriginArchive::Withdraw`.
  bool Withdraw(const std::string& id) { return archive_.Withdraw(id); }
  /// Returns the origin of the stream `id` if the archives that were read name
  /// it.
  std::optional<StreamOrigin> FindRead(const std::string& id) const {
    return archived_.Find(id, clock_());
  }
  /// Finds the origin of the stream `id`. Calls `done` exactly once, possibly
  /// before it returns.
  void Find(const std::string& id, Done done);
  /// Writes what is due and ends questions. Call every 20 to 50 ms.
  void Tick();

 private:
  struct Question {
    std::string id;
    TimePoint ends_at;
    Done done;
  };

  std::string own_key() const { return options_.prefix + options_.instance; }
  Duration ReadInterval() const;
  void Read();
  void OnListed(const Result<ObjectStore::Listing>& result);
  void AddListed(const ObjectStore::Listing& listing);
  /// Returns the report in the object; empty, and logged, if it is unreadable.
  StreamArchiveReport Decode(const StoredObject& object);
  /// Answers the questions that have waited long enough, or all of them.
  void AnswerWaiting(bool all);
  void WriteIfDue();
  /// Reads the own object before it is overwritten.
  void ReadOwn();
  void Write();
  void OnWritten(const std::optional<Error>& error, std::size_t streams);

  ObjectStore* store_;
  Options options_;
  Clock clock_;
  EventLog log_;
  StreamOriginArchive archive_;
  ArchivedOrigins archived_;
  std::size_t entries_ = 0;
  bool has_read_ = false;
  bool reading_ = false;
  TimePoint read_started_at_;
  bool writing_ = false;
  /// Version of the own object, 0 if there is none; unset: not known, the
  /// object must be read.
  std::optional<std::uint64_t> own_version_;
  std::vector<Question> waiting_;
  /// False once this object is destroyed; store callbacks may run after that.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STREAM_ARCHIVE_SERVICE_H_
