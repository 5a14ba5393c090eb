#include "core/request/stream_origins.h"

#include <algorithm>
#include <utility>

namespace indigolead {

std::string_view NameOf(OriginUnknown reason) {
  return reason == OriginUnknown::kNoReply ? "no-reply" : "not-recorded";
}

StreamOrigins::StreamOrigins(Options options, Hooks hooks, Clock clock)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      table_(options_.table) {}

void StreamOrigins::OnEntries(const std::vector<StreamPeer>& entries) {
  entries_ = entries;
  candidates_.clear();
  for (const StreamPeer& it : entries_) {
    candidates_.push_back({it.name, it.failure_domain});
  }
  if (std::exchange(listed_, true)) {
    return;
  }
  for (const std::string& id : std::exchange(unsent_, {})) {
    if (const StreamOrigin* origin = table_.Find(id, clock_())) {
      Share(id, *origin);
    }
  }
  StartWaiting();
}

// This entry is ranked with the others and then skipped, so that entries with
// equal lists select the same others for a stream.
std::vector<StreamPeer> StreamOrigins::PeersFor(const std::string& id,
                                                std::size_t count) const {
  std::vector<StreamPeer> peers;
  for (const std::size_t n : ChooseByRendezvous(id, candidates_, count + 1)) {
    if (entries_[n].name != options_.own_name && peers.size() < count) {
      peers.push_back(entries_[n]);
    }
  }
  return peers;
}

void StreamOrigins::OnStreamBegun(const std::string& id,
                                  const StreamOrigin& origin) {
  if (id.empty() || id.size() > options_.max_id_bytes) {
    return;
  }
  table_.Add(id, origin, clock_());
  if (listed_) {
    Share(id, origin);
  } else if (unsent_.size() < options_.max_unsent) {
    unsent_.push_back(id);
  }
}

void StreamOrigins::SendRecord(const std::string& id,
                               const StreamOrigin& origin) {
  const std::size_t copies =
      stopping_ ? options_.handover_copies : options_.record_copies;
  for (const StreamPeer& it : PeersFor(id, copies)) {
    hooks_.send_record(it, id, origin);
  }
}

void StreamOrigins::Share(const std::string& id, const StreamOrigin& origin) {
  SendRecord(id, origin);
  if (repeats_.size() < options_.max_repeats) {
    repeats_.push_back(id);
  }
}

void StreamOrigins::RepeatRecords() {
  const TimePoint now = clock_();
  for (const std::string& id : std::exchange(repeats_, {})) {
    if (const StreamOrigin* origin = table_.Find(id, now)) {
      SendRecord(id, *origin);
    }
  }
}

void StreamOrigins::OnRecord(const std::string& id,
                             const StreamOrigin& origin) {
  if (id.empty() || id.size() > options_.max_id_bytes) {
    return;
  }
  // The sender may not know that this entry stops, or stops itself.
  if (table_.Add(id, origin, clock_()) && stopping_) {
    handover_.push_back(id);
    if (handover_.size() > options_.table.max_streams) {
      handover_.pop_front();
    }
  }
}

void StreamOrigins::StartHandover() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  table_.Visit(clock_(),
               [this](const std::string& id) { handover_.push_back(id); });
}

void StreamOrigins::HandOver() {
  if (!listed_) {
    return;
  }
  const TimePoint now = clock_();
  for (std::size_t n = 0; n < options_.handover_per_tick && !handover_.empty();
       ++n) {
    const std::string id = std::move(handover_.back());
    handover_.pop_back();
    if (const StreamOrigin* origin = table_.Find(id, now)) {
      SendRecord(id, *origin);
    }
  }
}

void StreamOrigins::OnQuestion(const std::string& address,
                               const std::string& id) {
  const StreamOrigin* origin = table_.Find(id, clock_());
  hooks_.send_reply(address, id,
                    origin ? std::optional(*origin) : std::nullopt);
}

void StreamOrigins::Find(const std::string& id, Done done) {
  const TimePoint now = clock_();
  if (const StreamOrigin* origin = table_.Find(id, now)) {
    done(StreamOrigin(*origin));
    return;
  }
  if (const auto open = questions_.find(id); open != questions_.end()) {
    open->second.done.push_back(std::move(done));
    return;
  }
  if (id.empty() || id.size() > options_.max_id_bytes ||
      questions_.size() >= options_.max_questions) {
    done(listed_ ? OriginUnknown::kNotRecorded : OriginUnknown::kNoReply);
    return;
  }
  Question& question = questions_[id];
  question.done.push_back(std::move(done));
  if (listed_) {
    Start(id, &question);
  } else {
    question.ends_at = now + options_.list_timeout;
    question.repeat_at = question.ends_at;
  }
}

void StreamOrigins::Start(const std::string& id, Question* question) {
  const TimePoint now = clock_();
  question->waiting_for = PeersFor(id, options_.peers_asked);
  if (question->waiting_for.empty()) {
    End(id, OriginUnknown::kNotRecorded);
    return;
  }
  question->ends_at = now + options_.reply_timeout;
  question->repeat_at = now + options_.repeat_after;
  question->repeat_after = options_.repeat_after;
  Ask(id, *question);
}

void StreamOrigins::StartWaiting() {
  std::vector<std::string> waiting;
  for (const auto& [id, question] : questions_) {
    waiting.push_back(id);
  }
  for (const std::string& id : waiting) {
    // One that has ended may have led its caller to another question.
    if (const auto it = questions_.find(id); it != questions_.end()) {
      Start(id, &it->second);
    }
  }
}

void StreamOrigins::Ask(const std::string& id, const Question& question) {
  for (const StreamPeer& it : question.waiting_for) {
    hooks_.send_question(it, id);
  }
}

void StreamOrigins::OnReply(const std::string& address, const std::string& id,
                            const std::optional<StreamOrigin>& origin) {
  const auto it = questions_.find(id);
  if (it == questions_.end()) {
    return;  // Late, or another entry has replied.
  }
  std::vector<StreamPeer>& waiting_for = it->second.waiting_for;
  const auto removed = std::erase_if(
      waiting_for,
      [&address](const StreamPeer& peer) { return peer.address == address; });
  if (removed == 0) {
    return;  // Was not asked.
  }
  if (origin) {
    table_.Add(id, *origin, clock_());
    End(id, *origin);
  } else if (waiting_for.empty()) {
    End(id, OriginUnknown::kNotRecorded);
  }
}

void StreamOrigins::End(const std::string& id, const OriginResult& result) {
  const auto question = questions_.extract(id);
  for (const Done& it : question.mapped().done) {
    it(result);
  }
}

void StreamOrigins::Tick() {
  RepeatRecords();
  HandOver();
  const TimePoint now = clock_();
  std::vector<std::string> ended;
  for (auto& [id, it] : questions_) {
    if (now >= it.ends_at) {
      ended.push_back(id);
    } else if (now >= it.repeat_at) {
      it.repeat_after *= 2;
      it.repeat_at = now + it.repeat_after;
      Ask(id, it);
    }
  }
  for (const std::string& id : ended) {
    End(id, OriginUnknown::kNoReply);
  }
}

}  // namespace indigolead
