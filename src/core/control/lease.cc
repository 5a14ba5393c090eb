#include "core/control/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kDecodeStep[] = "lease.decode";
/// Longest duration of a lease. With a longer one in a record of another
/// writer, no entry would take the lease.
constexpr milliseconds kMaxDuration = std::chrono::hours(24);

Error Malformed(std::string detail) {
  return Error{ErrorCode::kProtocol, kDecodeStep, "store",
               "expected a lease as JSON, saw: " + std::move(detail)};
}

// Constructs in place: g++ 12 warns of uninitialized reads for the unused
// members of a temporary variant.
template <typename T>
void Append(Lease::Actions* actions, T action) {
  actions->emplace_back(std::in_place_type<T>, std::move(action));
}

bool HadNoEffect(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kOverloaded ||
         code == ErrorCode::kInvalidInput || code == ErrorCode::kConflict;
}

}  // namespace

std::string EncodeLease(const LeaseRecord& record) {
  const auto duration = duration_cast<milliseconds>(record.duration);
  return Json{{"holder", record.holder},
              {"incarnation", ToHex(record.incarnation.value)},
              {"fencing_number", record.fencing_number},
              {"nonce", ToHex(record.nonce)},
              {"duration_ms", duration.count()},
              {"earlier", record.earlier}}
      .dump();
}

Result<LeaseRecord> DecodeLease(std::string_view json, std::uint64_t version) {
  const auto document = ParseBoundedJson(json, kDecodeStep, "store");
  if (!IsOk(document)) {
    return Malformed(ErrorOf(document).detail);
  }
  try {
    const Json& parsed = ValueOf(document);
    const auto incarnation =
        Id128FromHex(parsed.at("incarnation").get<std::string>());
    const auto nonce = Id128FromHex(parsed.at("nonce").get<std::string>());
    if (!incarnation || !nonce) {
      return Malformed("an ID that is not 32 hexadecimal digits");
    }
    LeaseRecord record;
    record.holder = parsed.at("holder").get<std::string>();
    record.incarnation = Incarnation{*incarnation};
    record.nonce = *nonce;
    record.fencing_number = IntegerAt<FencingNumber>(parsed, "fencing_number");
    record.duration = milliseconds(IntegerAt<std::int64_t>(
        parsed, "duration_ms", 0, kMaxDuration.count()));
    const Json& earlier = parsed.at("earlier");
    if (!earlier.is_array() || earlier.size() > kMaxEarlierNumbers) {
      return Malformed("no list of earlier fencing numbers, or too many");
    }
    for (const Json& it : earlier) {
      record.earlier.push_back(CheckedInteger<FencingNumber>(it, "earlier"));
    }
    if (record.fencing_number == 0) {
      record.fencing_number = version;
    }
    return record;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
  }
}

bool WasInForce(FencingNumber number, std::uint64_t version,
                const LeaseRecord& newest) {
  if (number >= newest.fencing_number) {
    return true;
  }
  // A number too old to be listed is not known to have been in force.
  const auto it =
      std::find(newest.earlier.begin(), newest.earlier.end(), number);
  if (it == newest.earlier.end()) {
    return false;
  }
  const auto next = std::next(it);
  return version <
         (next == newest.earlier.end() ? newest.fencing_number : *next);
}

std::string_view LeaseLossName(LeaseLoss loss) {
  switch (loss) {
    case LeaseLoss::kLapsed:
      return "lapsed";
    case LeaseLoss::kPaused:
      return "paused";
    case LeaseLoss::kTaken:
      return "taken";
    case LeaseLoss::kResigned:
      return "resigned";
  }
  return "lapsed";
}

Lease::Lease(Options options, IdSource ids, Jitter jitter)
    : options_(std::move(options)),
      ids_(std::move(ids)),
      jitter_(std::move(jitter)) {}

void Lease::SetReserve(bool reserve) {
  if (reserve_ && !reserve) {
    next_read_ = TimePoint{};  // Read now: standbys need a recent view.
  }
  reserve_ = reserve;
}

Duration Lease::ReadInterval() const {
  return reserve_ ? options_.reserve_read_interval : options_.read_interval;
}

Lease::Actions Lease::Tick(TimePoint now) {
  Actions actions;
  DetectPause(now, &actions);
  CheckExpiry(now, &actions);
  if (write_ && now - write_->last_sent_at > options_.call_timeout) {
    write_->effect_unknown = true;
  }
  if (read_sent_at_ && now - *read_sent_at_ > options_.call_timeout) {
    read_sent_at_.reset();
  }
  MaybeWrite(now, &actions);
  // A write with unknown outcome is settled by a read before the next write.
  // Otherwise this process could mistake its own successful write for another
  // holder's lease.
  const bool settle = write_ && write_->effect_unknown;
  const bool refresh = !held_ && now >= next_read_;
  if (settle || suspended_ || !seen_at_ || refresh) {
    StartRead(now, &actions);
  }
  return actions;
}

Lease::Actions Lease::OnRead(const Result<LeaseView>& answer, TimePoint now) {
  Actions actions;
  DetectPause(now, &actions);
  read_sent_at_.reset();
  next_read_ = now + WithJitter(ReadInterval());
  if (!IsOk(answer)) {
    CheckExpiry(now, &actions);
    return actions;
  }
  const LeaseView& view = ValueOf(answer);
  if (!ResolveByNonce(view, now, &actions) && write_ &&
      write_->effect_unknown) {
    if (view.version > write_->expected) {
      // Another write used up the expected version, so ours can no longer take
      // effect.
      write_.reset();
    } else {
      write_->may_repeat = true;
    }
  }
  Observe(view, now, &actions);
  CheckExpiry(now, &actions);
  if (suspended_ && view.version >= seen_.version) {
    suspended_ = false;
    next_renewal_ = now;
  }
  return actions;
}

Lease::Actions Lease::OnWritten(const Id128& nonce,
                                const Result<std::uint64_t>& answer,
                                TimePoint now) {
  Actions actions;
  DetectPause(now, &actions);
  if (!write_ || write_->record.nonce != nonce) {
    return actions;
  }
  if (IsOk(answer)) {
    const PendingWrite write = *std::exchange(write_, std::nullopt);
    OnWriteSucceeded(write, ValueOf(answer), now, &actions);
    CheckExpiry(now, &actions);
    return actions;
  }
  const bool first_copy = write_->first_sent_at == write_->last_sent_at;
  if (first_copy && HadNoEffect(ErrorOf(answer).code)) {
    write_.reset();
    next_renewal_ = now + WithJitter(options_.guard);
  } else {
    // This copy or an earlier one may have taken effect; even a conflict may be
    // with an earlier copy. The nonce in the object shows which write won.
    write_->effect_unknown = true;
    StartRead(now, &actions);
  }
  CheckExpiry(now, &actions);
  return actions;
}

Lease::Actions Lease::OnWatched(const LeaseView& view, TimePoint now) {
  Actions actions;
  DetectPause(now, &actions);
  ResolveByNonce(view, now, &actions);
  Observe(view, now, &actions);
  CheckExpiry(now, &actions);
  return actions;
}

Lease::Actions Lease::Resign(TimePoint now) {
  Actions actions;
  if (!resigned_) {
    resigned_ = true;
    next_take_ = now;
  }
  if (held_) {
    EndAuthority(LeaseLoss::kResigned, &actions);
  }
  MaybeWrite(now, &actions);
  return actions;
}

std::optional<FencingNumber> Lease::Authority(TimePoint now) const {
  // After a pause the clock has advanced past the limit, even if no event has
  // been handled yet.
  const bool paused = last_event_ && now - *last_event_ > options_.pause_limit;
  if (!held_ || suspended_ || paused || now >= held_until_) {
    return std::nullopt;
  }
  return held_;
}

void Lease::Observe(const LeaseView& view, TimePoint now, Actions* actions) {
  // A stale read shows an older version. It must not restore authority or
  // restart a contender's wait.
  if (seen_at_ && view.version < seen_.version) {
    return;
  }
  if (!seen_at_ || view.version > seen_.version) {
    changed_at_ = now;
    take_delay_ = duration_cast<Duration>(options_.take_spread * jitter_());
  }
  seen_ = view;
  seen_at_ = now;
  const bool ours = view.record && IsOurs(*view.record);
  if (held_ && !ours) {
    EndAuthority(LeaseLoss::kTaken, actions);
  }
}

void Lease::DetectPause(TimePoint now, Actions* actions) {
  const bool paused = last_event_ && now - *last_event_ > options_.pause_limit;
  last_event_ = now;
  if (!paused) {
    return;
  }
  // During the pause another entry may have seen no change for long enough and
  // taken the lease. The known state is not used until the store has been read.
  read_sent_at_.reset();
  suspended_ = true;
  CheckExpiry(now, actions);
}

void Lease::CheckExpiry(TimePoint now, Actions* actions) {
  if (held_ && now >= held_until_) {
    EndAuthority(suspended_ ? LeaseLoss::kPaused : LeaseLoss::kLapsed, actions);
  }
}

void Lease::EndAuthority(LeaseLoss reason, Actions* actions) {
  Append(actions, Lost{*held_, reason});
  held_.reset();
}

bool Lease::ResolveByNonce(const LeaseView& view, TimePoint now,
                           Actions* actions) {
  if (!write_ || !view.record || view.record->nonce != write_->record.nonce) {
    return false;
  }
  const PendingWrite write = *std::exchange(write_, std::nullopt);
  OnWriteSucceeded(write, view.version, now, actions);
  return true;
}

void Lease::OnWriteSucceeded(const PendingWrite& write, std::uint64_t version,
                             TimePoint now, Actions* actions) {
  LeaseRecord record = write.record;
  if (record.fencing_number == 0) {
    record.fencing_number = version;
  }
  if (!seen_at_ || version > seen_.version) {
    seen_ = LeaseView{record, version};
    seen_at_ = now;
    changed_at_ = now;
  }
  const TimePoint until =
      write.first_sent_at + options_.duration - options_.guard;
  const bool superseded = version < seen_.version;
  if (record.holder.empty() || resigned_ || superseded || now >= until) {
    return;
  }
  held_until_ = until;
  next_renewal_ = write.first_sent_at + WithJitter(options_.renew_interval);
  suspended_ = false;
  if (held_ != record.fencing_number) {
    held_ = record.fencing_number;
    Append(actions, Gained{record.fencing_number});
  }
}

void Lease::StartRead(TimePoint now, Actions* actions) {
  if (read_sent_at_) {
    return;
  }
  read_sent_at_ = now;
  Append(actions, Read{});
}

void Lease::StartWrite(std::string holder, FencingNumber number, TimePoint now,
                       Actions* actions) {
  LeaseRecord record{std::move(holder), options_.incarnation,  number, ids_(),
                     options_.duration, EarlierNumbers(number)};
  write_ = PendingWrite{record, seen_.version, now, now, false, false};
  Append(actions, Write{std::move(record), seen_.version});
}

std::vector<FencingNumber> Lease::EarlierNumbers(FencingNumber number) const {
  if (!seen_.record) {
    return {};
  }
  std::vector<FencingNumber> earlier = seen_.record->earlier;
  if (number != seen_.record->fencing_number) {
    earlier.push_back(seen_.record->fencing_number);
  }
  if (earlier.size() > kMaxEarlierNumbers) {
    earlier.erase(earlier.begin());
  }
  return earlier;
}

void Lease::MaybeWrite(TimePoint now, Actions* actions) {
  if (write_ && write_->effect_unknown && write_->may_repeat) {
    // Both copies have the same expected version and nonce, so at most one
    // takes effect.
    write_->effect_unknown = false;
    write_->may_repeat = false;
    write_->last_sent_at = now;
    Append(actions, Write{write_->record, write_->expected});
    return;
  }
  if (write_ || suspended_ || !seen_at_) {
    return;
  }
  if (held_) {
    MaybeRenew(now, actions);
  } else if (!resigned_) {
    MaybeTake(now, actions);
  } else if (seen_.record && seen_.record->holder == options_.holder &&
             seen_.record->incarnation == options_.incarnation &&
             now >= next_take_) {
    next_take_ = now + options_.take_interval;
    StartWrite("", seen_.record->fencing_number, now, actions);
  }
}

void Lease::MaybeTake(TimePoint now, Actions* actions) {
  const bool is_free = !seen_.record || seen_.record->holder.empty();
  const Duration extra_wait =
      reserve_ ? options_.reserve_extra_wait : Duration{0};
  const Duration lapse =
      is_free ? Duration{0} : seen_.record->duration + options_.guard;
  const Duration wait = lapse + take_delay_ + extra_wait;
  // When the store is unavailable for long, the holder's lease lapses. Without
  // this case nobody could act for another full duration after the store
  // returns. The lapsed lease is this process's own, and the process knows that
  // it no longer acts under that number.
  if (IsOwnLapsed() && now >= next_take_) {
    next_take_ = now + WithJitter(options_.take_interval);
    StartWrite(options_.holder, 0, now, actions);
    return;
  }
  if (now - changed_at_ >= wait && now >= next_take_) {
    next_take_ = now + WithJitter(options_.take_interval);
    StartWrite(options_.holder, 0, now, actions);
  }
}

bool Lease::IsOwnLapsed() const {
  return !held_ && seen_.record && seen_.record->holder == options_.holder &&
         seen_.record->incarnation == options_.incarnation;
}

void Lease::MaybeRenew(TimePoint now, Actions* actions) {
  if (now >= next_renewal_) {
    StartWrite(options_.holder, *held_, now, actions);
  }
}

Duration Lease::WithJitter(Duration interval) {
  const double factor = 0.75 + 0.25 * jitter_();
  return duration_cast<Duration>(interval * factor);
}

bool Lease::IsOurs(const LeaseRecord& record) const {
  return held_ && record.holder == options_.holder &&
         record.incarnation == options_.incarnation &&
         record.fencing_number == *held_;
}

}  // namespace indigolead
