#include "entry/account_counters.h"

namespace indigolead {
namespace {

// These labels cannot equal an account name, because names contain no spaces.

/// Label shared by the accounts beyond the bound.
constexpr char kOtherAccounts[] = "(all others)";
/// Label of requests without an account, such as those of open routes.
constexpr char kNoAccount[] = "(no account)";

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out;
}

}  // namespace

AccountCounters::AccountCounters(MetricsRegistry* metrics,
                                 std::size_t max_accounts)
    : metrics_(metrics), max_accounts_(max_accounts) {}

AccountCounters::Counters AccountCounters::MakeCounters(
    const std::string& label) {
  const std::string labels = "account=\"" + Escaped(label) + "\"";
  return {metrics_->AddCounter("indigolead_account_requests_answered_total",
                               "Requests answered by a target, by account.",
                               labels),
          metrics_->AddCounter("indigolead_account_requests_failed_total",
                               "Requests refused or broken off, by account.",
                               labels)};
}

AccountCounters::Counters& AccountCounters::CountersFor(
    const std::string& account) {
  const std::string name = account.empty() ? kNoAccount : account;
  const auto held = counters_.find(name);
  if (held != counters_.end()) {
    return held->second;
  }
  const bool full = counters_.size() >= max_accounts_;
  const std::string label = full ? kOtherAccounts : name;
  const auto shared = counters_.find(label);
  if (shared != counters_.end()) {
    return shared->second;
  }
  return counters_.emplace(label, MakeCounters(label)).first->second;
}

}  // namespace indigolead
