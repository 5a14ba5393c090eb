#include "entry/roster_keeper.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "entry/event_fields.h"
#include "entry/events.h"
#include "entry/relay_registration.h"

namespace indigolead {

RosterKeeper::RosterKeeper(ObjectStore* store, Options options, Hooks hooks,
                           Clock clock, EventLog log)
    : store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      roster_(options_.roster),
      retry_at_(clock_()),
      list_at_(RandomDeadline(options_.initial_list_interval)),
      list_interval_(options_.initial_list_interval),
      alive_(std::make_shared<bool>(true)) {}

RosterKeeper::~RosterKeeper() { *alive_ = false; }

TimePoint RosterKeeper::RandomDeadline(Duration interval) const {
  return clock_() +
         std::chrono::duration_cast<Duration>(interval * RandomFraction());
}

// Uses the current size of the fleet: if it has shrunk since the last renewal,
// the others expect the next one sooner.
bool RosterKeeper::RenewalIsDue(TimePoint now) const {
  if (!renewed_at_) {
    return now >= retry_at_;
  }
  const auto renew_delay = std::chrono::duration_cast<Duration>(
      roster_.RenewInterval() * renew_fraction_);
  return now >= *renewed_at_ + renew_delay;
}

void RosterKeeper::Tick() {
  const TimePoint now = clock_();
  LeaveIfNotRenewed(now);
  if (!renewing_ && !stopped_ && RenewalIsDue(now)) {
    Renew();
  }
  if (!listing_ && !stopped_ && now >= list_at_) {
    List();
  }
  ReportCount();
}

void RosterKeeper::Renew() {
  renewing_ = true;
  renewal_sent_at_ = clock_();
  // The value differs each time; otherwise the store would see no change.
  const std::string value = "incarnation=" + options_.incarnation +
                            "\nrenewals=" + std::to_string(++renewals_) + "\n" +
                            EncodeRelay(options_.relay);
  const CallOptions call{CallPriority::kStatus, options_.call_deadline};
  store_->Put(options_.prefix + options_.roster.own_name, value, own_version_,
              call,
              [this, alive = alive_](const Result<std::uint64_t>& result) {
                if (*alive) {
                  OnRenewed(result);
                }
              });
}

// The others treat an entry without a renewal as gone and divide its share
// among themselves, so it must stop using that share.
void RosterKeeper::LeaveIfNotRenewed(TimePoint now) {
  if (registered_at_ && now - confirmed_at_ >= roster_.LeaveAfter()) {
    log_(kRosterLeft,
         {{"renewed_ms_ago", FormatMilliseconds(now - confirmed_at_)}});
    registered_at_.reset();
    ReportView();
  }
}

void RosterKeeper::OnRenewed(const Result<std::uint64_t>& result) {
  renewing_ = false;
  if (IsOk(result)) {
    own_version_ = ValueOf(result);
    confirmed_at_ = renewal_sent_at_;
    if (!registered_at_ && !stopped_) {
      registered_at_ = clock_();
      ReportView();
    }
    if (!roster_.listed()) {
      list_at_ = clock_();
    }
    renewed_at_ = clock_();
    renew_fraction_ = RandomFraction();
    return;
  }
  const Error& error = ErrorOf(result);
  log_(kRosterCallFailed, {{"error", ToString(error)}});
  renewed_at_.reset();
  retry_at_ = RandomDeadline(options_.retry_interval);
  if (error.code != ErrorCode::kConflict) {
    return;  // If the write took effect after all, the next one conflicts.
  }
  // An earlier process of this name registered, or the answer to a write of
  // this one was lost. The conflict error carries the version to replace.
  own_version_ = 0;
  std::from_chars(error.detail.data(),
                  error.detail.data() + error.detail.size(), own_version_);
}

// A list without this entry's own registration is older than the registration
// and does not show the entries that started at the same time.
void RosterKeeper::LengthenListInterval() {
  const bool shows_start = own_version_ != 0 && roster_.own_version() != 0;
  if (shows_start && roster_.unchanged()) {
    list_interval_ = std::min(2 * list_interval_, options_.list_interval);
  }
}

void RosterKeeper::SetFrequentListing(bool frequently) {
  if (frequently && !list_frequently_) {
    list_at_ = std::min(list_at_, clock_());
  }
  list_frequently_ = frequently;
}

void RosterKeeper::List() {
  listing_ = true;
  const CallOptions call{CallPriority::kStatus, options_.call_deadline,
                         /*may_be_stale=*/true};
  store_->List(
      options_.prefix, call,
      [this, alive = alive_,
       asked_at = clock_()](const Result<ObjectStore::Listing>& result) {
        if (!*alive) {
          return;
        }
        listing_ = false;
        if (IsOk(result)) {
          listed_at_ = asked_at;
          OnListed(ValueOf(result));
        } else {
          log_(kRosterCallFailed, {{"error", ToString(ErrorOf(result))}});
          list_at_ = RandomDeadline(options_.retry_interval);
        }
      });
}

void RosterKeeper::OnListed(const ObjectStore::Listing& listing) {
  std::vector<RosterRecord> records;
  records.reserve(listing.objects.size());
  for (const StoredObject& it : listing.objects) {
    const std::string name = it.key.substr(options_.prefix.size());
    records.push_back({name, it.version, DecodeRelay(name, it.value)});
  }
  roster_.OnListed(records, clock_());
  LengthenListInterval();
  list_at_ = RandomDeadline(
      list_frequently_
          ? std::min(list_interval_, options_.frequent_list_interval)
          : list_interval_);
  DeleteExpired();
  ReportCount();
  ReportView();
  ReportRelays();
}

void RosterKeeper::DeleteExpired() {
  const CallOptions call{CallPriority::kStatus, options_.call_deadline};
  for (const RosterRecord& it : roster_.ToDelete(clock_())) {
    // If the entry is alive after all, its version has changed and the delete
    // conflicts.
    store_->Delete(
        options_.prefix + it.name, it.version, call,
        [log = log_, name = it.name](const Result<Unit>& result) {
          log(kRosterEntryExpired,
              {{"entry", name},
               {"outcome",
                IsOk(result) ? "deleted" : ToString(ErrorOf(result))}});
        });
  }
}

void RosterKeeper::ReportCount() {
  const std::size_t n = roster_.live(clock_());
  if (!roster_.listed() || reported_count_ == n) {
    return;
  }
  log_(kRosterCount, {{"entries", std::to_string(n)},
                      {"before", std::to_string(reported_count_.value_or(0))}});
  reported_count_ = n;
  hooks_.on_count(n);
}

void RosterKeeper::ReportView() {
  if (hooks_.on_view) {
    hooks_.on_view({options_.roster.own_name, roster_.LiveNames(clock_()),
                    listed_at_, registered_at_});
  }
}

void RosterKeeper::ReportRelays() {
  if (hooks_.on_relays) {
    hooks_.on_relays(roster_.LiveRelays(clock_()));
  }
}

void RosterKeeper::Stop() {
  stopped_ = true;
  registered_at_.reset();
  ReportView();
  if (own_version_ == 0) {
    return;
  }
  const CallOptions call{CallPriority::kStatus, options_.call_deadline};
  store_->Delete(
      options_.prefix + options_.roster.own_name, own_version_, call,
      [log = log_](const Result<Unit>& result) {
        if (!IsOk(result)) {
          // Not retried: the registration expires.
          log(kRosterCallFailed, {{"error", ToString(ErrorOf(result))}});
        }
      });
}

}  // namespace indigolead
