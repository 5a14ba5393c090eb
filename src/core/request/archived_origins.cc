#include "core/request/archived_origins.h"

#include <algorithm>

namespace indigolead {

void ArchivedOrigins::OnRead(const std::vector<StreamArchiveReport>& reports,
                             TimePoint now) {
  std::erase_if(streams_,
                [now](const auto& it) { return it.second.expires_at <= now; });
  if (streams_.empty()) {
    origins_.clear();
  }
  last_expires_at_ = now + options_.retention;
  for (const StreamArchiveReport& report : reports) {
    for (const ArchivedStreams& streams : report) {
      const auto origin = IndexOf(streams.origin);
      if (!origin) {
        continue;
      }
      for (const StreamIdHash id : streams.ids) {
        Add(id, *origin, last_expires_at_);
      }
    }
  }
}

std::optional<std::size_t> ArchivedOrigins::IndexOf(
    const StreamOrigin& origin) {
  const auto it = std::find(origins_.begin(), origins_.end(), origin);
  const auto index = static_cast<std::size_t>(it - origins_.begin());
  if (it != origins_.end()) {
    return index;
  }
  if (origins_.size() >= options_.max_origins) {
    return std::nullopt;
  }
  origins_.push_back(origin);
  return index;
}

void ArchivedOrigins::Add(StreamIdHash id, std::size_t origin,
                          TimePoint expires_at) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    if (streams_.size() < options_.max_streams) {
      streams_.emplace(id, Record{origin, expires_at});
    }
    return;
  }
  if (it->second.origin != origin) {
    it->second.origin.reset();
  }
  it->second.expires_at = expires_at;
}

std::optional<StreamOrigin> ArchivedOrigins::Find(const std::string& id,
                                                  TimePoint now) const {
  const auto it = streams_.find(HashStreamId(id));
  if (it == streams_.end() || !it->second.origin ||
      now >= it->second.expires_at) {
    return std::nullopt;
  }
  return origins_[*it->second.origin];
}

void ArchivedOrigins::Tick(TimePoint now) {
  if (!streams_.empty() && now >= last_expires_at_) {
    streams_.clear();
    origins_.clear();
  }
}

}  // namespace indigolead
