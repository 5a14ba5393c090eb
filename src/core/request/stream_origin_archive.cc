#include "core/request/stream_origin_archive.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// Adds as many of `ids` to the report as `left` allows, and counts it down.
void AddTo(StreamArchiveReport* report, const StreamOrigin& origin,
           const std::vector<StreamIdHash>& ids, std::size_t* left) {
  const std::size_t added = std::min(ids.size(), *left);
  if (added == 0) {
    return;
  }
  auto it = std::find_if(
      report->begin(), report->end(),
      [&origin](const ArchivedStreams& held) { return held.origin == origin; });
  if (it == report->end()) {
    it = report->insert(it, ArchivedStreams{origin, {}});
  }
  it->ids.insert(it->ids.end(), ids.begin(),
                 ids.begin() + static_cast<std::ptrdiff_t>(added));
  *left -= added;
}

}  // namespace

StreamIdHash HashStreamId(const std::string& id) {
  return XXH64(id.data(), id.size(), 0);
}

StreamOriginArchive::StreamOriginArchive(Options options, Hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

Duration StreamOriginArchive::Interval() const {
  const auto n = static_cast<Duration::rep>(entries_);
  return std::max<Duration>(options_.min_interval,
                            n * options_.fleet_write_gap);
}

void StreamOriginArchive::SetEntries(std::size_t entries, TimePoint now) {
  entries_ = entries;
  if (!next_at_ && entries > 0) {
    // Many entries may have started at once.
    next_at_ = now + std::chrono::duration_cast<Duration>(hooks_.jitter() *
                                                          Interval());
  }
}

void StreamOriginArchive::OnStreamPlaced(const std::string& id,
                                         const StreamOrigin& origin,
                                         TimePoint now) {
  if (id.empty() ||
      std::max(origin.service.size(), origin.software_version.size()) >
          options_.max_name_bytes) {
    return;
  }
  RemoveExpired(now);
  Group& group = GroupOf(origin);
  group.streams.push_back({HashStreamId(id), now});
  group.unwritten = true;
  if (++streams_ > options_.max_streams) {
    RemoveOldestStream();
  }
}

StreamOriginArchive::Group& StreamOriginArchive::GroupOf(
    const StreamOrigin& origin) {
  for (Group& it : groups_) {
    if (it.origin == origin) {
      return it;
    }
  }
  if (groups_.size() >= options_.max_origins) {
    const auto stalest = std::min_element(
        groups_.begin(), groups_.end(), [](const Group& a, const Group& b) {
          return a.streams.back().placed_at < b.streams.back().placed_at;
        });
    streams_ -= stalest->streams.size();
    groups_.erase(stalest);
  }
  return groups_.emplace_back(Group{origin, {}});
}

bool StreamOriginArchive::Withdraw(const std::string& id) {
  const StreamIdHash hash = HashStreamId(id);
  if (withdrawn_.contains(hash)) {
    return false;
  }
  for (auto group = groups_.begin(); group != groups_.end(); ++group) {
    auto& streams = group->streams;
    const auto it =
        std::find_if(streams.begin(), streams.end(),
                     [hash](const Stream& held) { return held.id == hash; });
    if (it == streams.end()) {
      continue;
    }
    if (it->reported && withdrawn_.size() >= options_.max_withdrawn) {
      return false;
    }
    const bool was_reported = it->reported;
    streams.erase(it);
    --streams_;
    if (streams.empty()) {
      groups_.erase(group);
    }
    if (was_reported) {
      withdrawn_.emplace(hash, reports_taken_);
    }
    return !was_reported;
  }
  return true;
}

void StreamOriginArchive::RemoveOldestStream() {
  const auto oldest = std::min_element(
      groups_.begin(), groups_.end(), [](const Group& a, const Group& b) {
        return a.streams.front().placed_at < b.streams.front().placed_at;
      });
  oldest->streams.pop_front();
  --streams_;
  if (oldest->streams.empty()) {
    groups_.erase(oldest);
  }
}

void StreamOriginArchive::RemoveExpired(TimePoint now) {
  for (Group& it : groups_) {
    while (!it.streams.empty() &&
           now - it.streams.front().placed_at > options_.retention) {
      it.streams.pop_front();
      --streams_;
    }
  }
  std::erase_if(groups_, [](const Group& it) { return it.streams.empty(); });
}

void StreamOriginArchive::OnOwnRead(const StreamArchiveReport& stored,
                                    TimePoint now) {
  restored_ = stored;
  restored_until_ = now + options_.retention;
  is_stored_ = true;
}

void StreamOriginArchive::OnFormerRead(
    const std::vector<StreamArchiveReport>& reports, TimePoint now) {
  former_until_ = now + options_.former_retention;
  for (const StreamArchiveReport& report : reports) {
    for (const ArchivedStreams& it : report) {
      if (std::find(former_services_.begin(), former_services_.end(),
                    it.origin.service) == former_services_.end()) {
        former_services_.push_back(it.origin.service);
      }
    }
  }
}

// A new process may find the last targets of a version gone, whose streams, and
// those of the versions that are left, its callers still take up.
bool StreamOriginArchive::HasSeveralVersions(const Group& group,
                                             TimePoint now) const {
  const std::string& service = group.origin.service;
  const bool was_archived =
      now < former_until_ &&
      std::find(former_services_.begin(), former_services_.end(), service) !=
          former_services_.end();
  return was_archived || hooks_.has_several_versions(service);
}

bool StreamOriginArchive::IsDue(TimePoint now) {
  if (!next_at_ || now < *next_at_) {
    return false;
  }
  RemoveExpired(now);
  if (!withdrawn_.empty()) {
    return true;
  }
  const bool several = std::any_of(
      groups_.begin(), groups_.end(),
      [this, now](const Group& it) { return HasSeveralVersions(it, now); });
  if (!several) {
    return is_stored_ && (restored_.empty() || now > restored_until_);
  }
  return std::any_of(groups_.begin(), groups_.end(),
                     [this, now](const Group& it) {
                       return it.unwritten && HasSeveralVersions(it, now);
                     });
}

StreamArchiveReport StreamOriginArchive::Take(TimePoint now) {
  RemoveExpired(now);
  ++reports_taken_;
  StreamArchiveReport report;
  std::size_t left = options_.max_streams;
  for (Group& it : groups_) {
    if (!HasSeveralVersions(it, now)) {
      continue;
    }
    it.unwritten = false;
    std::vector<StreamIdHash> ids;
    ids.reserve(it.streams.size());
    for (auto stream = it.streams.rbegin(); stream != it.streams.rend();
         ++stream) {
      ids.push_back(stream->id);
      stream->reported = true;
    }
    AddTo(&report, it.origin, ids, &left);
  }
  if (now > restored_until_) {
    restored_.clear();
  }
  for (const ArchivedStreams& it : restored_) {
    const bool is_known = std::any_of(report.begin(), report.end(),
                                      [&it](const ArchivedStreams& held) {
                                        return held.origin == it.origin;
                                      });
    if (is_known || report.size() < options_.max_origins) {
      AddTo(&report, it.origin, it.ids, &left);
    }
  }
  is_stored_ = !report.empty();
  const double spread = 1 + options_.interval_spread * hooks_.jitter();
  next_at_ = now + std::chrono::duration_cast<Duration>(spread * Interval());
  return report;
}

void StreamOriginArchive::OnWritten() {
  std::erase_if(withdrawn_,
                [this](const auto& it) { return it.second < reports_taken_; });
}

void StreamOriginArchive::OnNotWritten() {
  is_stored_ = true;
  for (Group& it : groups_) {
    it.unwritten = true;
  }
}

}  // namespace indigolead
