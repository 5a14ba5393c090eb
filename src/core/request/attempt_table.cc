#include "core/request/attempt_table.h"

namespace indigolead {

AttemptTable::Attempt::Attempt(const AttemptStart& start,
                               LinkNumber link_number,
                               const Incarnation& peer_incarnation,
                               TimePoint now, std::uint64_t* buffered_bytes)
    : id(start.id),
      link(link_number),
      peer(peer_incarnation),
      start_sequence(start.start_sequence),
      start_by(now + start.start_within),
      finish_by(now + start.finish_within),
      frames(start.initial_credit_bytes, buffered_bytes) {}

AttemptTable::AttemptTable(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      memory_(options_.memory) {}

void AttemptTable::OnPeer(LinkNumber link, const Incarnation& peer) {
  memory_.AddPeer(peer);
  peers_[link] = peer;
}

void AttemptTable::OnLinkDown(LinkNumber link) {
  // Attempts continue; the entry resumes them over its next connection.
  peers_.erase(link);
}

AttemptTable::Attempt* AttemptTable::Find(const AttemptId& id) {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : &it->second;
}

bool AttemptTable::IsRunning(const AttemptId& id) const {
  const auto it = attempts_.find(id);
  return it != attempts_.end() && !it->second.ended;
}

const Incarnation* AttemptTable::PeerOf(LinkNumber link) const {
  const auto it = peers_.find(link);
  return it == peers_.end() ? nullptr : &it->second;
}

void AttemptTable::OnStart(LinkNumber link, AttemptStart start, TimePoint now) {
  const Incarnation* peer = PeerOf(link);
  if (peer == nullptr) {
    ++counts_.unexpected;
    return;
  }
  // The start of an attempt that is held is not refused: a refusal means that
  // the attempt did not run, but this one may have.
  if (const Attempt* held = Find(start.id)) {
    ++counts_.unexpected;
    hooks_.send_state(
        link, {start.id,
               held->ended ? SideKnowledge::kFinished : SideKnowledge::kRunning,
               held->frames.next_sequence()});
    return;
  }
  auto status = memory_.Find(*peer, start.id, start.start_sequence);
  if (status == AttemptMemory::Status::kLost && start.start_sequence == 0) {
    // An entry that does not number its starts does not repeat them either, so
    // this start is new.
    status = AttemptMemory::Status::kNew;
  }
  if (status == AttemptMemory::Status::kFinished ||
      status == AttemptMemory::Status::kLost) {
    ++counts_.unexpected;
    hooks_.send_state(link, {start.id,
                             status == AttemptMemory::Status::kLost
                                 ? SideKnowledge::kLost
                                 : SideKnowledge::kFinished,
                             0});
    return;
  }
  if (status == AttemptMemory::Status::kRefused) {
    Refuse(link, *peer, start.id, start.start_sequence,
           RefusalReason::kCancelledEarlier, "already refused or cancelled",
           now);
    return;
  }
  if (const auto reason = ReasonToRefuse(*peer, start, now);
      reason != RefusalReason::kUnspecified) {
    Refuse(link, *peer, start.id, start.start_sequence, reason, "", now);
    return;
  }
  const auto it =
      attempts_.try_emplace(start.id, start, link, *peer, now, &buffered_bytes_)
          .first;
  Attempt* attempt = &it->second;
  ++running_;
  deadlines_.emplace(attempt->finish_by, attempt->id);
  if (start.body_continues) {
    attempt->pending_start = std::make_unique<AttemptStart>(std::move(start));
    return;
  }
  StartCall(attempt, std::move(start.request), now);
}

RefusalReason AttemptTable::ReasonToRefuse(const Incarnation& peer,
                                           const AttemptStart& start,
                                           TimePoint now) {
  if (leaving_) {
    return RefusalReason::kLeaving;
  }
  if (!options_.deployment.empty() && start.deployment != options_.deployment) {
    return RefusalReason::kWrongDeployment;
  }
  if (start.start_within <= Duration::zero()) {
    return RefusalReason::kTooLate;
  }
  EvictFinished(now);
  if (running_ >= options_.max_attempts || !memory_.AddPeer(peer) ||
      buffered_bytes_ >= options_.max_buffer_bytes ||
      start.request.body.size() > options_.max_body_bytes) {
    return RefusalReason::kOverloaded;
  }
  return hooks_.check ? hooks_.check(start) : RefusalReason::kUnspecified;
}

void AttemptTable::Refuse(LinkNumber link, const Incarnation& peer,
                          const AttemptId& id, std::uint64_t start_sequence,
                          RefusalReason reason, std::string detail,
                          TimePoint now) {
  ++counts_.refused;
  memory_.Refuse(peer, id, start_sequence, now);
  const bool overloaded = reason == RefusalReason::kOverloaded;
  hooks_.send_refusal(
      link,
      {id, reason, overloaded ? options_.overload_retry_after : Duration{},
       std::move(detail)});
}

void AttemptTable::OnBodyChunk(LinkNumber link, const AttemptId& id,
                               std::uint64_t sequence, std::string_view data,
                               bool last, TimePoint now) {
  Attempt* attempt = Find(id);
  if (attempt == nullptr || !attempt->pending_start || attempt->link != link) {
    ++counts_.unexpected;
    return;
  }
  auto& body = attempt->pending_start->request.body;
  // The request is sent to the target only when its body is complete, so an
  // entry crash or a lost chunk cannot leave a partial request there.
  if (sequence != attempt->next_body_sequence ||
      body.size() + data.size() > options_.max_body_bytes) {
    RefuseHeldAttempt(attempt, RefusalReason::kOverloaded,
                      "body chunk missing or body too long", now);
    return;
  }
  ++attempt->next_body_sequence;
  body.append(data);
  if (last) {
    const auto complete_start = std::move(attempt->pending_start);
    StartCall(attempt, std::move(complete_start->request), now);
  }
}

void AttemptTable::StartCall(Attempt* attempt, AttemptRequest&& request,
                             TimePoint now) {
  if (!hooks_.start_call(attempt->id, std::move(request), attempt->start_by,
                         attempt->finish_by)) {
    RefuseHeldAttempt(attempt, RefusalReason::kOverloaded, "target queue full",
                      now);
    return;
  }
  attempt->call_started = true;
  ++counts_.started;
}

void AttemptTable::RefuseHeldAttempt(Attempt* attempt, RefusalReason reason,
                                     std::string detail, TimePoint now) {
  const AttemptId id = attempt->id;
  if (attempt->call_started) {
    ++counts_.ended;
  }
  Refuse(attempt->link, attempt->peer, id, attempt->start_sequence, reason,
         std::move(detail), now);
  --running_;
  Erase(id);
}

void AttemptTable::Erase(const AttemptId& id) {
  const auto it = attempts_.find(id);
  deadlines_.erase({it->second.finish_by, id});
  unsent_.erase(id);
  paused_.erase(id);
  attempts_.erase(it);
}

void AttemptTable::OnCredit(const AttemptId& id, std::uint64_t bytes) {
  Attempt* attempt = Find(id);
  if (attempt == nullptr) {
    ++counts_.unexpected;
    return;
  }
  attempt->frames.OnConsumed(bytes);
  Send(attempt);
}

void AttemptTable::OnCancel(LinkNumber link, const AttemptQuery& query,
                            TimePoint now) {
  Attempt* attempt = Find(query.id);
  if (attempt == nullptr) {
    ReplyForUnheldAttempt(link, query, SideKnowledge::kFinished, now);
    return;
  }
  attempt->link = link;
  attempt->cancelled = true;
  if (attempt->ended) {
    attempt->frames.Clear();
    hooks_.send_state(link, {query.id, SideKnowledge::kFinished,
                             attempt->frames.next_sequence()});
    return;
  }
  if (attempt->call_started) {
    // The target's thread reports whether a byte was written. The state of
    // the attempt is unknown until then.
    hooks_.cancel_call(query.id);
    return;
  }
  RefuseHeldAttempt(attempt, RefusalReason::kCancelledEarlier, "", now);
  hooks_.send_state(link, {query.id, SideKnowledge::kNotStarted, 0});
}

void AttemptTable::ReplyForUnheldAttempt(LinkNumber link,
                                         const AttemptQuery& query,
                                         SideKnowledge state_if_finished,
                                         TimePoint now) {
  ++counts_.unexpected;
  const Incarnation* peer = PeerOf(link);
  if (peer == nullptr) {
    return;
  }
  auto status = memory_.Find(*peer, query.id, query.start_sequence);
  const bool sent_to_this_process = query.side == options_.incarnation;
  if (status == AttemptMemory::Status::kNew && !sent_to_this_process) {
    status = AttemptMemory::Status::kLost;
  }
  auto knowledge = SideKnowledge::kLost;
  switch (status) {
    case AttemptMemory::Status::kNew:
      memory_.Refuse(*peer, query.id, query.start_sequence, now);
      knowledge = SideKnowledge::kNotStarted;
      break;
    case AttemptMemory::Status::kRefused:
      knowledge = SideKnowledge::kNotStarted;
      break;
    case AttemptMemory::Status::kFinished:
      knowledge = state_if_finished;
      break;
    case AttemptMemory::Status::kLost:
      break;
  }
  hooks_.send_state(link, {query.id, knowledge, 0});
}

void AttemptTable::OnResume(LinkNumber link, const AttemptQuery& query,
                            std::uint64_t next_sequence,
                            std::uint64_t granted_bytes, TimePoint now) {
  Attempt* attempt = Find(query.id);
  if (attempt == nullptr) {
    ReplyForUnheldAttempt(link, query, SideKnowledge::kLost, now);
    return;
  }
  ++counts_.resumed;
  attempt->link = link;
  const bool held = attempt->frames.Rewind(next_sequence, granted_bytes);
  if (!held) {
    // The entry would wait forever for frames that were already dropped.
    hooks_.send_state(link, {query.id, SideKnowledge::kLost,
                             attempt->frames.next_sequence()});
    return;
  }
  const auto knowledge =
      attempt->ended ? SideKnowledge::kFinished : SideKnowledge::kRunning;
  hooks_.send_state(link, {query.id, knowledge, next_sequence});
  Send(attempt);
}

}  // namespace indigolead
