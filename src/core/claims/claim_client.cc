#include "core/claims/claim_client.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

constexpr Duration kMinRepeat = std::chrono::milliseconds(5);

}  // namespace

void ClaimClient::OnSlotMap(const std::string& deployment, const SlotMap& map) {
  SlotMap& held = maps_[deployment];
  if (map.epoch > held.epoch) {
    held = map;
  }
}

void ClaimClient::Begin(const RequestId& request, const std::string& deployment,
                        const ClaimKey& key, std::uint64_t body_digest,
                        Duration deadline, TimePoint now) {
  if (requests_.size() >= options_.max_requests ||
      requests_.count(request) > 0) {
    out_.push_back(ClaimDecided{
        request, {ClaimVerdict::kNotReady, {}, options_.retry_after}});
    return;
  }
  Request& held = requests_[request];
  held.deployment = deployment;
  held.key = key;
  held.body_digest = body_digest;
  held.deadline = now + deadline;
  held.home_deadline = now + std::min(deadline, options_.home_wait);
  SendQuery(request, &held, now);
}

void ClaimClient::SendQuery(const RequestId& id, Request* request,
                            TimePoint now) {
  request->next_send = now + options_.repeat_interval;
  const SlotMap* map = FindMap(request->deployment);
  if (!map) {
    return;
  }
  const std::uint32_t slot =
      SlotOf(request->key, static_cast<std::uint32_t>(map->slots.size()));
  out_.push_back(SendClaimQuery{
      map->slots[slot].owner.home, request->deployment, map->epoch,
      ClaimQuery{id, request->key, request->body_digest, slot, self_,
                 std::max(request->home_deadline - now,
                          Duration(options_.repeat_interval))}});
}

void ClaimClient::OnDecision(const RequestId& id, const ClaimDecision& decision,
                             TimePoint now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return;
  }
  Request& request = it->second;
  if (request.phase != Phase::kAsking) {
    return;  // Duplicate decision; a due report is already being sent.
  }
  switch (decision.verdict) {
    case ClaimVerdict::kGranted:
      request.phase = Phase::kGranted;
      break;
    case ClaimVerdict::kRunning:
      // The response of the other run also answers this request.
      request.running_elsewhere = true;
      request.home_deadline = request.deadline;
      [[fallthrough]];
    case ClaimVerdict::kNotHome:
    case ClaimVerdict::kNotReady:
      request.next_send = now + std::max(decision.retry_after, kMinRepeat);
      return;
    case ClaimVerdict::kOverloaded:
      // A repeated `ClaimQuery` still in transit may claim the key after this
      // decision, so the key is released by a report.
      out_.push_back(ClaimDecided{id, decision});
      StartReport(id, &request, ClaimState::kNotRun, now);
      return;
    default:
      requests_.erase(it);
      break;
  }
  out_.push_back(ClaimDecided{id, decision});
}

bool ClaimClient::MayStart(const RequestId& request, TimePoint now) const {
  const auto it = requests_.find(request);
  return it != requests_.end() && it->second.phase == Phase::kGranted &&
         now < it->second.deadline;
}

void ClaimClient::Finish(const RequestId& id, ClaimState end,
                         std::optional<ClaimAnswer> answer, TimePoint now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.phase == Phase::kReporting) {
    return;
  }
  if (answer && answer->size() <= options_.max_answer_bytes) {
    it->second.answer = std::move(answer);
  }
  StartReport(id, &it->second, end, now);
}

void ClaimClient::StartReport(const RequestId& id, Request* request,
                              ClaimState end, TimePoint now) {
  request->phase = Phase::kReporting;
  request->end = end;
  request->drop_at = now + options_.report_timeout;
  Report(id, request, now);
}

void ClaimClient::Report(const RequestId& id, Request* request, TimePoint now) {
  request->next_send = now + options_.repeat_interval;
  const SlotMap* map = FindMap(request->deployment);
  if (!map) {
    return;
  }
  const std::uint32_t slot =
      SlotOf(request->key, static_cast<std::uint32_t>(map->slots.size()));
  out_.push_back(
      SendEndReport{map->slots[slot].owner.home, map->epoch,
                    ClaimEndReport{id, request->key, slot, request->body_digest,
                                   request->end, request->answer, self_}});
}

void ClaimClient::OnEndAck(const RequestId& request) {
  const auto it = requests_.find(request);
  if (it != requests_.end() && it->second.phase == Phase::kReporting) {
    requests_.erase(it);
  }
}

void ClaimClient::Tick(TimePoint now) {
  std::vector<RequestId> dropped;
  for (auto& [id, request] : requests_) {
    if (request.phase == Phase::kAsking && now >= request.home_deadline) {
      TimeOutRequest(id, &request, now);
    } else if (request.phase == Phase::kReporting && now >= request.drop_at) {
      dropped.push_back(id);
    } else if (now >= request.next_send) {
      if (request.phase == Phase::kAsking) {
        SendQuery(id, &request, now);
      } else if (request.phase == Phase::kReporting) {
        Report(id, &request, now);
      }
    }
  }
  for (const RequestId& it : dropped) {
    requests_.erase(it);
    ++dropped_reports_;
  }
}

void ClaimClient::TimeOutRequest(const RequestId& id, Request* request,
                                 TimePoint now) {
  out_.push_back(
      ClaimDecided{id,
                   {request->running_elsewhere ? ClaimVerdict::kRunning
                                               : ClaimVerdict::kNotReady,
                    {},
                    options_.retry_after}});
  // A grant may be in transit. The key stays claimed until the home learns that
  // the grant will not be used.
  StartReport(id, request, ClaimState::kNotRun, now);
}

const SlotMap* ClaimClient::FindMap(const std::string& deployment) const {
  const auto it = maps_.find(deployment);
  return it == maps_.end() || it->second.slots.empty() ? nullptr : &it->second;
}

std::vector<ClientAction> ClaimClient::TakeActions() {
  return std::exchange(out_, {});
}

}  // namespace indigolead
