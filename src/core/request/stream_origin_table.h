#ifndef INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_TABLE_H_
#define INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/request/stream_origin.h"

namespace indigolead {

/// Origins of recent streams, by the caller's id of the request that delivered
/// the first event.
///
/// Bounded in time and size: the oldest record is dropped first.
class StreamOriginTable {
 public:
  struct Options {
    /// Longest life of a stream, over all requests that continue it.
    Duration retention = std::chrono::seconds(60);
    std::size_t max_streams = 32768;
  };

  explicit StreamOriginTable(const Options& options) : options_(options) {}

  /// Records the origin of a stream. The first record of an id stays. Returns
  /// true if this is the first.
  bool Add(const std::string& id, const StreamOrigin& origin, TimePoint now);

  /// Returns the origin of a stream, or null if it is not known. Valid until
  /// the next call.
  const StreamOrigin* Find(const std::string& id, TimePoint now);

  /// Calls `visit` for the id of each record, the oldest first.
  void Visit(TimePoint now,
             const std::function<void(const std::string& id)>& visit);

  std::size_t size() const { return origins_.size(); }

 private:
  struct Expiry {
    std::string id;
    TimePoint at;
  };

  void RemoveOldest();
  void RemoveExpired(TimePoint now);

  Options options_;
  std::unordered_map<std::string, StreamOrigin> origins_;
  std::deque<Expiry> expiries_;  ///< Oldest first.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_STREAM_ORIGIN_TABLE_H_
