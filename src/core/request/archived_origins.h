#ifndef INDIGOLEAD_CORE_REQUEST_ARCHIVED_ORIGINS_H_
#define INDIGOLEAD_CORE_REQUEST_ARCHIVED_ORIGINS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/request/stream_origin_archive.h"

namespace indigolead {

/// Origins of streams read from the archives of all entries.
///
/// Where archives disagree about a stream, its origin is not known. Bounded in
/// time and size. Not thread-safe.
class ArchivedOrigins {
 public:
  struct Options {
    /// Time after it was read for which a record is kept.
    Duration retention = std::chrono::seconds(60);
    std::size_t max_streams = 262144;
    std::size_t max_origins = 256;
  };

  explicit ArchivedOrigins(const Options& options) : options_(options) {}

  /// Adds what was read from the archives. Records of earlier reads stay.
  void OnRead(const std::vector<StreamArchiveReport>& reports, TimePoint now);

  /// Returns the origin of the stream `id`, or nothing if it is not known.
  std::optional<StreamOrigin> Find(const std::string& id, TimePoint now) const;

  /// Drops all records once the last of them has expired.
  void Tick(TimePoint now);

  std::size_t size() const { return streams_.size(); }

 private:
  struct Record {
    std::optional<std::size_t> origin;  ///< In `origins_`; unset: disputed.
    TimePoint expires_at;
  };

  std::optional<std::size_t> IndexOf(const StreamOrigin& origin);
  void Add(StreamIdHash id, std::size_t origin, TimePoint expires_at);

  Options options_;
  std::vector<StreamOrigin> origins_;
  std::unordered_map<StreamIdHash, Record> streams_;
  TimePoint last_expires_at_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ARCHIVED_ORIGINS_H_
