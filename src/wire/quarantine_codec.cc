#include "wire/quarantine_codec.h"

#include <algorithm>
#include <chrono>

namespace indigolead {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint64_t ToMillis(Duration duration) {
  const auto n = duration_cast<milliseconds>(duration).count();
  return n > 0 ? static_cast<std::uint64_t>(n) : 0;
}

}  // namespace

void FillNotice(const SuspicionNotice& notice, wire::QuarantineNotice* out) {
  out->set_fingerprint(notice.fingerprint);
  out->set_client_account(notice.client_account);
  out->set_deployment(notice.deployment);
  out->set_kills(static_cast<std::uint32_t>(notice.deaths.size()));
  // 0 on the wire means that the quarantine is lifted, so any other notice has
  // at least 1 ms.
  out->set_remaining_ms(
      notice.lifted ? 0
                    : std::max<std::uint64_t>(1, ToMillis(notice.remaining)));
  out->set_reason(notice.reason);
  out->set_quarantined(notice.quarantined);
  out->set_in_flight(notice.in_flight);
  for (const TargetDeath& it : notice.deaths) {
    wire::TargetDeath* death = out->add_deaths();
    death->set_instance(it.instance);
    death->set_age_ms(ToMillis(it.age));
  }
}

SuspicionNotice ReadNotice(const wire::QuarantineNotice& message) {
  SuspicionNotice notice;
  notice.fingerprint = message.fingerprint();
  notice.client_account = message.client_account();
  notice.deployment = message.deployment();
  notice.quarantined = message.quarantined();
  notice.lifted = message.remaining_ms() == 0;
  notice.in_flight = message.in_flight();
  notice.remaining = milliseconds(message.remaining_ms());
  notice.reason = message.reason();
  for (const wire::TargetDeath& it : message.deaths()) {
    notice.deaths.push_back({it.instance(), milliseconds(it.age_ms())});
  }
  return notice;
}

}  // namespace indigolead
