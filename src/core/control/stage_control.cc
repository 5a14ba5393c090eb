#include "core/control/stage_control.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace indigolead {
namespace {

std::set<std::string> NamesOf(const std::vector<StagedEngine>& engines) {
  std::set<std::string> names;
  for (const StagedEngine& it : engines) {
    names.insert(it.instance);
  }
  return names;
}

/// Engines of one software version.
struct VersionState {
  std::size_t engines = 0;
  std::set<std::string> domains;
  std::size_t planned = 0;   ///< To decode.
  std::size_t decoding = 0;  ///< Up, and not under an order.
  std::size_t coming = 0;    ///< Ordered to decode.
};

}  // namespace

void StageControl::OnEngines(const std::vector<StagedEngine>& engines,
                             TimePoint now) {
  std::vector<StagedEngine> sorted = engines;
  std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
    return a.instance < b.instance;
  });
  const std::set<std::string> names = NamesOf(sorted);
  if (names != NamesOf(engines_)) {
    changed_at_ = now;
  }
  engines_ = std::move(sorted);
  const auto is_gone = [&](const auto& it) {
    return names.count(it.first) == 0;
  };
  std::erase_if(sent_, is_gone);
  std::erase_if(down_until_, is_gone);
  for (const StagedEngine& it : engines_) {
    const auto sent = sent_.find(it.instance);
    if (sent != sent_.end() && sent->second.role == it.role) {
      // The change is done; the engine refuses a late copy of the order.
      sent_.erase(sent);
      down_until_.erase(it.instance);
    }
  }
}

std::size_t StageControl::CountUsable() const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& it) { return !it.leaving; }));
}

std::optional<double> StageControl::OnLoad(const RoleLoad& load,
                                           TimePoint now) {
  const double wanted = DecodeShare(load);
  if (!decode_share_) {
    decode_share_ = wanted;
    return decode_share_;
  }
  const auto engines = static_cast<double>(CountUsable());
  const double min_shift =
      std::max(options_.min_shift_engines, options_.min_shift_share * engines);
  if (std::abs(wanted - *decode_share_) * engines < min_shift) {
    shift_since_.reset();
    return std::nullopt;
  }
  if (!shift_since_) {
    shift_since_ = now;
  }
  if (now - *shift_since_ < options_.shift_after) {
    return std::nullopt;
  }
  decode_share_ = wanted;
  shift_since_.reset();
  return decode_share_;
}

void StageControl::AdoptRoles() {
  const std::size_t usable = CountUsable();
  if (usable == 0) {
    return;
  }
  const auto decoding =
      std::count_if(engines_.begin(), engines_.end(), [](const auto& it) {
        return !it.leaving && it.role == EngineRole::kDecode;
      });
  decode_share_ = static_cast<double>(decoding) / static_cast<double>(usable);
}

void StageControl::OnCrashed(const std::string& instance, TimePoint now) {
  SetDownUntil(instance, now + options_.down_after_crash);
}

void StageControl::SetDownUntil(const std::string& instance, TimePoint until) {
  const bool listed =
      std::any_of(engines_.begin(), engines_.end(),
                  [&](const auto& it) { return it.instance == instance; });
  if (listed) {
    down_until_[instance] = std::max(down_until_[instance], until);
  }
}

void StageControl::UpdateDown(TimePoint now) {
  std::erase_if(down_until_, [&](const auto& it) { return now >= it.second; });
  for (StagedEngine& it : engines_) {
    it.down = !down_until_.empty() && down_until_.count(it.instance) > 0;
  }
}

// An engine that crashed may be back before it is dropped from the list, so it
// keeps its place in the plan as long as another of its version decodes.
std::vector<const StagedEngine*> StageControl::PlannedEngines() const {
  std::set<std::string> decoded_versions;
  for (const StagedEngine& it : engines_) {
    if (!it.leaving && it.role != EngineRole::kPrefill && !it.down) {
      decoded_versions.insert(it.software_version);
    }
  }
  std::vector<const StagedEngine*> planned;
  for (const StagedEngine& it : engines_) {
    const bool decoded = decoded_versions.count(it.software_version) > 0;
    if (!it.leaving && (decoded || !it.down)) {
      planned.push_back(&it);
    }
  }
  return planned;
}

std::vector<std::string> StageControl::PlanDecode() const {
  return PlanDecodeEngines(PlannedEngines(), decode_share_.value_or(0),
                           options_.minimums);
}

std::size_t StageControl::planned_decode() const { return PlanDecode().size(); }

bool StageControl::Matches(const std::set<std::string>& decode) const {
  return std::all_of(engines_.begin(), engines_.end(), [&](const auto& it) {
    return it.leaving ||
           (decode.count(it.instance) > 0) == (it.role == EngineRole::kDecode);
  });
}

bool StageControl::IsOutstanding(const Sent& sent, TimePoint now) {
  return sent.waiting && now < sent.no_order_before;
}

std::uint32_t StageControl::CountChanging(TimePoint now) const {
  return static_cast<std::uint32_t>(std::count_if(
      sent_.begin(), sent_.end(),
      [&](const auto& it) { return IsOutstanding(it.second, now); }));
}

bool StageControl::MayOrder(const StagedEngine& engine, EngineRole role,
                            TimePoint now) {
  if (engine.leaving || engine.role == role) {
    return false;
  }
  const auto sent = sent_.find(engine.instance);
  return sent == sent_.end() || now >= sent->second.no_order_before;
}

// An engine that decodes is ordered to prefill only once its version has enough
// others. Otherwise a change that moves decode work from one engine to another
// would leave the version without for the time that it takes.
std::vector<StageControl::DueOrder> StageControl::DueOrders(
    const std::set<std::string>& decode, TimePoint now) {
  std::map<std::string, VersionState> versions;
  const auto planned = PlannedEngines();
  for (const StagedEngine* it : planned) {
    VersionState& version = versions[it->software_version];
    const auto sent = sent_.find(it->instance);
    const bool ordered =
        sent != sent_.end() && IsOutstanding(sent->second, now);
    ++version.engines;
    version.domains.insert(it->failure_domain);
    version.planned += decode.count(it->instance);
    version.decoding +=
        it->role != EngineRole::kPrefill && !it->down && !ordered ? 1 : 0;
    version.coming +=
        ordered && sent->second.role == EngineRole::kDecode ? 1 : 0;
  }
  std::vector<DueOrder> due;
  for (const StagedEngine* it : planned) {
    VersionState& version = versions[it->software_version];
    const bool to_decode = decode.count(it->instance) > 0;
    const EngineRole role =
        to_decode ? EngineRole::kDecode : EngineRole::kPrefill;
    if (!MayOrder(*it, role, now)) {
      continue;
    }
    if (to_decode) {
      const bool urgent = version.decoding + version.coming++ == 0;
      due.push_back({it, role, urgent});
      continue;
    }
    const std::size_t least =
        std::min(version.planned,
                 MinDecodeOfVersion(version.engines, version.domains.size(),
                                    options_.minimums));
    if (!it->down && version.decoding > least) {
      --version.decoding;
      due.push_back({it, role, false});
    }
  }
  const auto rank = [](const DueOrder& it) {
    return std::pair(!it.urgent, it.role == EngineRole::kPrefill);
  };
  std::stable_sort(due.begin(), due.end(), [&](const auto& a, const auto& b) {
    return rank(a) < rank(b);
  });
  return due;
}

std::vector<StageOrder> StageControl::Tick(std::optional<FencingNumber> number,
                                           TimePoint now) {
  std::vector<StageOrder> orders;
  const bool settled =
      plan_reached_ || now - changed_at_ >= options_.settle_time;
  if (!number || engines_.empty() || !settled || !decode_share_) {
    return orders;
  }
  UpdateDown(now);
  const std::vector<std::string> planned = PlanDecode();
  const std::set<std::string> decode(planned.begin(), planned.end());
  const bool matches = Matches(decode);
  plan_reached_ = plan_reached_ || matches;
  if (matches) {
    return orders;
  }
  std::uint32_t changing = CountChanging(now);
  for (const DueOrder& it : DueOrders(decode, now)) {
    const bool room = !plan_reached_ || changing < options_.max_changing;
    if (!room && !it.urgent) {
      continue;
    }
    ++changing;
    sent_[it.engine->instance] =
        Sent{it.role, now + options_.unknown_timeout, true};
    orders.push_back({it.engine->instance, it.role, *number});
  }
  return orders;
}

void StageControl::OnOutcome(const StageOrder& order, StageOrderOutcome outcome,
                             TimePoint now) {
  const auto it = sent_.find(order.instance);
  if (it == sent_.end()) {
    return;
  }
  if (order.role == EngineRole::kDecode &&
      outcome != StageOrderOutcome::kAccepted) {
    const bool refused = outcome == StageOrderOutcome::kRefused;
    SetDownUntil(order.instance, now + (refused ? options_.skip_after_refusal
                                                : options_.unknown_timeout));
  }
  switch (outcome) {
    case StageOrderOutcome::kAccepted:
      it->second.no_order_before = now + options_.confirm_timeout;
      return;
    case StageOrderOutcome::kRefused:
      it->second.no_order_before = now + options_.retry_interval;
      it->second.waiting = false;
      return;
    case StageOrderOutcome::kUnknown:
      it->second.no_order_before = now + options_.unknown_timeout;
      return;
  }
}

}  // namespace indigolead
