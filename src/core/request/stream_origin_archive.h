#ifndef INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_ARCHIVE_H_
#define INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/request/stream_origin.h"

namespace indigolead {

/// Hash of the caller's id of the request that began a stream.
using StreamIdHash = std::uint64_t;

/// Returns the hash under which the origin of the stream `id` is archived.
StreamIdHash HashStreamId(const std::string& id);

/// Recent streams of one origin.
struct ArchivedStreams {
  StreamOrigin origin;
  std::vector<StreamIdHash> ids;  ///< Newest first.

  friend bool operator==(const ArchivedStreams&,
                         const ArchivedStreams&) = default;
};

/// What one entry archives: the recent streams that it placed, each origin
/// once.
using StreamArchiveReport = std::vector<ArchivedStreams>;

/// Decides what an entry writes to its archive of stream origins, and when.
///
/// The archive outlasts the processes of all entries. A stream is archived when
/// it is sent to its first target: many streams end sooner after their first
/// event than an interval takes, but a prompt takes longer to read. The archive
/// is written only if a stream was placed since the last write at a service
/// that runs several software versions, and no more often than `Interval()`.
/// Performs no I/O. Not thread-safe.
class StreamOriginArchive {
 public:
  struct Options {
    /// Longest time after its placement at which a caller takes up a stream.
    Duration retention = std::chrono::seconds(10);
    /// Shortest time between two writes of an entry.
    Duration min_interval = std::chrono::milliseconds(100);
    /// Shortest mean time between two writes of any entries.
    Duration fleet_write_gap = std::chrono::milliseconds(20);
    /// Time for which a service that an archive of former processes names
    /// counts as one of several versions: as long as versions that left before
    /// this process started may matter.
    Duration former_retention = std::chrono::seconds(60);
    /// Placements that wait to be withdrawn.
    std::size_t max_withdrawn = 1024;
    /// The interval is lengthened by up to this share of it, at random, so that
    /// the writes of entries that started together drift apart.
    double interval_spread = 0.25;
    /// Streams in a report, of all origins, the newest. A report has less than
    /// 64 KiB with them.
    std::size_t max_streams = 4096;
    std::size_t max_origins = 16;
    /// Longest name of a service or a software version that is archived.
    std::size_t max_name_bytes = 64;
  };
  struct Hooks {
    /// Returns true if the service was listed with several software versions
    /// within a stream's life. With one version the archive is not needed.
    std::function<bool(const std::string& service)> has_several_versions;
    /// Returns a random number in [0, 1).
    std::function<double()> jitter;
  };

  StreamOriginArchive(Options options, Hooks hooks);

  /// Sets the number of entries. Nothing is due before it is known.
  void SetEntries(std::size_t entries, TimePoint now);

  /// Records that this entry sent the request `id`, which begins a stream, to
  /// its first target.
  void OnStreamPlaced(const std::string& id, const StreamOrigin& origin,
                      TimePoint now);

  /// The stream `id` has not begun and may begin elsewhere. Returns true if no
  /// report that is stored, or may yet be, names it. Otherwise the next report
  /// omits it, and `Withdraw` returns true once that is stored.
  bool Withdraw(const std::string& id);

  /// Handles the stored report of this entry, which may be that of a former
  /// process. The next reports repeat it for the retention time, as it may
  /// not have been read.
  void OnOwnRead(const StreamArchiveReport& stored, TimePoint now);

  /// Handles the stored reports of all entries as a new process finds them.
  void OnFormerRead(const std::vector<StreamArchiveReport>& reports,
                    TimePoint now);

  /// Returns true if `Take` must be called.
  bool IsDue(TimePoint now);

  /// Returns the report to write in place of the stored one, and starts the
  /// next interval. If it is empty, the stored object is to be removed.
  StreamArchiveReport Take(TimePoint now);

  /// The report last taken is stored.
  void OnWritten();

  /// The last report was not written: it is due again after the next interval.
  void OnNotWritten();

  /// Returns the shortest time between two writes of this entry.
  Duration Interval() const;

 private:
  struct Stream {
    StreamIdHash id;
    TimePoint placed_at;
    bool reported = false;  ///< Part of a report that was taken.
  };
  struct Group {
    StreamOrigin origin;
    std::deque<Stream> streams;  ///< Oldest first; not empty.
    bool unwritten = true;
  };

  Group& GroupOf(const StreamOrigin& origin);
  void RemoveExpired(TimePoint now);
  void RemoveOldestStream();
  bool HasSeveralVersions(const Group& group, TimePoint now) const;

  Options options_;
  Hooks hooks_;
  std::size_t entries_ = 0;           ///< 0: not known.
  std::optional<TimePoint> next_at_;  ///< Unset: the entries are not known.
  std::vector<Group> groups_;
  std::size_t streams_ = 0;  ///< In all groups.
  /// Read from the store; included in reports until `restored_until_`.
  StreamArchiveReport restored_;
  TimePoint restored_until_;
  bool is_stored_ = false;  ///< A report may be in the store.
  /// Services named by archives of former processes.
  std::vector<std::string> former_services_;
  TimePoint former_until_;
  std::uint64_t reports_taken_ = 0;
  /// Reports taken when each stream was withdrawn, by id.
  std::unordered_map<StreamIdHash, std::uint64_t> withdrawn_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_ARCHIVE_H_
