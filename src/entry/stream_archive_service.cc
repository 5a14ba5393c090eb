#include "entry/stream_archive_service.h"

#include <algorithm>
#include <utility>

#include "entry/event_fields.h"
#include "entry/events.h"
#include "entry/stream_archive_json.h"

namespace indigolead {
namespace {

std::size_t StreamsIn(const StreamArchiveReport& report) {
  std::size_t streams = 0;
  for (const ArchivedStreams& it : report) {
    streams += it.ids.size();
  }
  return streams;
}

}  // namespace

StreamArchiveService::StreamArchiveService(ObjectStore* store, Options options,
                                           StreamOriginArchive::Hooks hooks,
                                           Clock clock, EventLog log)
    : store_(store),
      options_(std::move(options)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      archive_(options_.archive, std::move(hooks)),
      archived_(options_.archived),
      alive_(std::make_shared<bool>(true)) {}

StreamArchiveService::~StreamArchiveService() { *alive_ = false; }

void StreamArchiveService::SetEntries(std::size_t entries) {
  entries_ = entries;
  archive_.SetEntries(entries, clock_());
}

void StreamArchiveService::OnStreamPlaced(const std::string& id,
                                          const StreamOrigin& origin) {
  archive_.OnStreamPlaced(id, origin, clock_());
}

Duration StreamArchiveService::ReadInterval() const {
  const auto n = static_cast<Duration::rep>(entries_);
  return std::max<Duration>(options_.min_read_interval,
                            n * options_.fleet_read_gap);
}

void StreamArchiveService::Find(const std::string& id, Done done) {
  const TimePoint now = clock_();
  if (const auto origin = archived_.Find(id, now)) {
    done(origin);
    return;
  }
  if (!reading_ && has_read_ && now - read_started_at_ >= ReadInterval()) {
    Read();
  }
  if (!reading_ || waiting_.size() >= options_.max_waiting) {
    done(std::nullopt);
    return;
  }
  waiting_.push_back({id, now + options_.max_wait, std::move(done)});
}

void StreamArchiveService::Tick() {
  const TimePoint now = clock_();
  if (!has_read_ && !reading_ &&
      now - read_started_at_ >= options_.read_retry_delay) {
    Read();
  }
  archived_.Tick(now);
  AnswerWaiting(/*all=*/false);
  WriteIfDue();
}

void StreamArchiveService::Read() {
  reading_ = true;
  read_started_at_ = clock_();
  store_->List(
      options_.prefix, options_.read,
      [this, alive = alive_](const Result<ObjectStore::Listing>& result) {
        if (*alive) {
          OnListed(result);
        }
      });
}

void StreamArchiveService::OnListed(
    const Result<ObjectStore::Listing>& result) {
  reading_ = false;
  if (IsOk(result)) {
    AddListed(ValueOf(result));
  }
  log_(kStreamArchiveRead,
       {{"streams", std::to_string(archived_.size())},
        {"after_ms", FormatMilliseconds(clock_() - read_started_at_)},
        {"outcome", IsOk(result) ? "read" : ToString(ErrorOf(result))}});
  AnswerWaiting(/*all=*/true);
}

void StreamArchiveService::AddListed(const ObjectStore::Listing& listing) {
  const bool first = !std::exchange(has_read_, true);
  std::vector<StreamArchiveReport> reports;
  std::uint64_t own_version = 0;
  for (const StoredObject& it : listing.objects) {
    reports.push_back(Decode(it));
    if (first && it.key == own_key()) {
      own_version = it.version;
      archive_.OnOwnRead(reports.back(), clock_());
    }
  }
  if (first) {
    own_version_ = own_version;
    archive_.OnFormerRead(reports, clock_());
    if (entries_ == 0 && !reports.empty()) {
      // The list of entries takes a second or two; until then, as many write as
      // have written.
      archive_.SetEntries(reports.size(), clock_());
    }
  }
  archived_.OnRead(reports, clock_());
}

StreamArchiveReport StreamArchiveService::Decode(const StoredObject& object) {
  auto report = DecodeStreamArchive(object.key, object.value);
  if (!IsOk(report)) {
    log_(kStreamArchiveUnreadable, {{"error", ToString(ErrorOf(report))}});
    return {};
  }
  return ValueOf(std::move(report));
}

void StreamArchiveService::AnswerWaiting(bool all) {
  const TimePoint now = clock_();
  const auto kept = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [all, now](const Question& it) { return !all && now < it.ends_at; });
  std::vector<Question> ended(std::make_move_iterator(kept),
                              std::make_move_iterator(waiting_.end()));
  waiting_.erase(kept, waiting_.end());
  for (const Question& it : ended) {
    it.done(archived_.Find(it.id, now));
  }
}

void StreamArchiveService::WriteIfDue() {
  if (!has_read_ || writing_ || !archive_.IsDue(clock_())) {
    return;
  }
  writing_ = true;
  if (own_version_) {
    Write();
  } else {
    ReadOwn();
  }
}

void StreamArchiveService::ReadOwn() {
  store_->Get(own_key(), options_.read,
              [this, alive = alive_](
                  const Result<std::optional<StoredObject>>& result) {
                if (!*alive) {
                  return;
                }
                if (!IsOk(result)) {
                  archive_.Take(clock_());  // Starts the next interval.
                  OnWritten(ErrorOf(result), 0);
                  return;
                }
                const auto& object = ValueOf(result);
                own_version_ = object ? object->version : 0;
                if (object) {
                  archive_.OnOwnRead(Decode(*object), clock_());
                }
                Write();
              });
}

void StreamArchiveService::Write() {
  const StreamArchiveReport report = archive_.Take(clock_());
  const std::size_t streams = StreamsIn(report);
  if (report.empty() && *own_version_ == 0) {
    writing_ = false;
    return;
  }
  if (report.empty()) {
    store_->Delete(own_key(), *own_version_, options_.write,
                   [this, alive = alive_](const Result<Unit>& result) {
                     if (!*alive) {
                       return;
                     }
                     if (IsOk(result)) {
                       own_version_ = 0;
                       OnWritten(std::nullopt, 0);
                     } else {
                       OnWritten(ErrorOf(result), 0);
                     }
                   });
    return;
  }
  store_->Put(
      own_key(), EncodeStreamArchive(report), *own_version_, options_.write,
      [this, alive = alive_, streams](const Result<std::uint64_t>& result) {
        if (!*alive) {
          return;
        }
        if (IsOk(result)) {
          own_version_ = ValueOf(result);
          OnWritten(std::nullopt, streams);
        } else {
          OnWritten(ErrorOf(result), streams);
        }
      });
}

void StreamArchiveService::OnWritten(const std::optional<Error>& error,
                                     std::size_t streams) {
  writing_ = false;
  log_(kStreamArchiveWritten,
       {{"streams", std::to_string(streams)},
        {"outcome", error ? ToString(*error) : "written"}});
  if (!error) {
    archive_.OnWritten();
    return;
  }
  archive_.OnNotWritten();
  const bool no_effect = error->code == ErrorCode::kUnavailable ||
                         error->code == ErrorCode::kOverloaded;
  if (!no_effect) {
    own_version_.reset();
  }
}

}  // namespace indigolead
