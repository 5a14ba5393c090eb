#include "side/suspect_service.h"

#include <utility>

#include "wire/quarantine_codec.h"

namespace indigolead {
namespace {

constexpr std::uint64_t kRetryAfterMs = 1000;
constexpr std::size_t kMaxNotices = 4096;

}  // namespace

SuspectService::SuspectService(Hooks hooks, Clock clock)
    : hooks_(std::move(hooks)), clock_(std::move(clock)) {}

bool SuspectService::HandleMessage(LinkId link, const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kStart:
      return RefuseStart(link, message.start());
    case wire::Envelope::kQuarantine:
      return HandleNotice(link, message);
    default:
      return false;
  }
}

bool SuspectService::RefuseStart(LinkId link, const wire::StartAttempt& start) {
  const auto id = Id128FromBytes(start.attempt_id());
  if (!id || gate_.Admit(AttemptId{*id}, start.fingerprint(), clock_())) {
    return false;
  }
  wire::Envelope out;
  wire::AttemptRefused* refused = out.mutable_refused();
  refused->set_attempt_id(start.attempt_id());
  refused->set_reason(wire::REFUSAL_OVERLOADED);
  refused->set_retry_after_ms(kRetryAfterMs);
  refused->set_detail("another suspect is in flight here");
  hooks_.send(link, out);
  return true;
}

bool SuspectService::HandleNotice(LinkId link, const wire::Envelope& message) {
  const wire::QuarantineNotice& notice = message.quarantine();
  gate_.OnNotice(ReadNotice(notice), clock_());
  StoreNotice(notice, clock_());
  if (notice.relay()) {
    wire::Envelope out = message;
    out.mutable_quarantine()->set_relay(false);
    for (const LinkId it : entries_) {
      if (it != link) {
        hooks_.send(it, out);
      }
    }
  }
  // The attempt service must see only notices that begin or end a quarantine.
  return !notice.quarantined() && notice.remaining_ms() != 0;
}

void SuspectService::StoreNotice(const wire::QuarantineNotice& notice,
                                 TimePoint now) {
  const auto stored_notice = notices_.find(notice.fingerprint());
  if (notice.remaining_ms() == 0) {
    notices_.erase(notice.fingerprint());
  } else if (stored_notice != notices_.end() || notices_.size() < kMaxNotices) {
    notices_[notice.fingerprint()] = {notice, now};
  }
}

void SuspectService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (hello.kind() != wire::PROCESS_ENTRY) {
    return;
  }
  entries_.insert(link);
  const TimePoint now = clock_();
  for (const auto& [fingerprint, stored] : notices_) {
    SuspicionNotice notice = ReadNotice(stored.notice);
    const Duration age = now - stored.received_at;
    notice.remaining -= age;
    notice.in_flight = false;
    for (TargetDeath& it : notice.deaths) {
      it.age += age;
    }
    wire::Envelope out;
    FillNotice(notice, out.mutable_quarantine());
    hooks_.send(link, out);
  }
}

void SuspectService::OnLinkDown(LinkId link) { entries_.erase(link); }

void SuspectService::Tick(TimePoint now) {
  gate_.Sweep(hooks_.is_running);
  std::erase_if(notices_, [now](const auto& it) {
    return now - it.second.received_at >=
           std::chrono::milliseconds(it.second.notice.remaining_ms());
  });
}

}  // namespace indigolead
