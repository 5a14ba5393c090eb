#include "core/control/stage_control.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace indigolead {
namespace {

std::set<std::string> NamesOf(const std::vector<StagedEngine>& engines) {
  std::set<std::string> names;
  for (const StagedEngine& it : engines) {
    names.insert(it.instance);
  }
  return names;
}

/// Engines of one failure domain, in the order in which they are planned as
/// decode engines.
class DomainQueue {
 public:
  void Add(const StagedEngine* engine) {
    (engine->role == EngineRole::kPrefill ? prefill_engines_ : other_engines_)
        .push_back(engine);
  }

  bool empty() const {
    return taken_ == other_engines_.size() + prefill_engines_.size();
  }

  /// Returns true if this domain's next engine is planned before that of
  /// `other`. Neither queue may be empty.
  bool PrecedesInPlan(const DomainQueue& other) const {
    const StagedEngine* own_next = next();
    const StagedEngine* other_next = other.next();
    const bool own_is_prefill = own_next->role == EngineRole::kPrefill;
    const bool other_is_prefill = other_next->role == EngineRole::kPrefill;
    return std::tie(taken_, own_is_prefill, own_next->instance) <
           std::tie(other.taken_, other_is_prefill, other_next->instance);
  }

  const StagedEngine* Take() {
    const StagedEngine* engine = next();
    ++taken_;
    return engine;
  }

 private:
  const StagedEngine* next() const {
    return taken_ < other_engines_.size()
               ? other_engines_[taken_]
               : prefill_engines_[taken_ - other_engines_.size()];
  }

  std::vector<const StagedEngine*> other_engines_;    ///< Decode or mixed.
  std::vector<const StagedEngine*> prefill_engines_;  ///< Would have to change.
  std::size_t taken_ = 0;
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
  std::erase_if(sent_,
                [&](const auto& it) { return names.count(it.first) == 0; });
  for (const StagedEngine& it : engines_) {
    const auto sent = sent_.find(it.instance);
    if (sent != sent_.end() && sent->second.role == it.role) {
      // The change is done; the engine refuses a late copy of the order.
      sent_.erase(sent);
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

std::size_t StageControl::CountWantedDecode(
    const std::vector<const StagedEngine*>& usable, std::size_t domains) const {
  const std::size_t engines = usable.size();
  // With two or three engines, all stay able to do both kinds of work.
  if (engines <= options_.min_decode + 1) {
    return engines;
  }
  const auto by_load = static_cast<std::size_t>(
      std::lround(decode_share_.value_or(0) * static_cast<double>(engines)));
  // One decode engine per domain only if most engines remain for prefill.
  const std::size_t one_per_domain = 3 * domains <= engines ? domains : 0;
  const std::size_t wanted =
      std::max({by_load, std::size_t{options_.min_decode}, one_per_domain});
  return std::min(wanted, engines - options_.min_prefill);
}

// Takes engines from the failure domains in turn, so that the loss of one
// domain leaves decode engines in the others. Engines that decode already come
// first, because a change costs seconds.
//
// Each domain's engines are sorted once. Scanning all engines for each planned
// one takes seconds with thousands of engines on an entry with little CPU.
std::vector<std::string> StageControl::PlanDecode() const {
  std::vector<const StagedEngine*> usable;
  std::map<std::string, DomainQueue> domains;
  for (const StagedEngine& it : engines_) {
    if (!it.leaving) {
      usable.push_back(&it);
      domains[it.failure_domain].Add(&it);
    }
  }
  const std::size_t wanted = CountWantedDecode(usable, domains.size());
  std::vector<std::string> planned;
  planned.reserve(wanted);
  while (planned.size() < wanted) {
    DomainQueue* best = nullptr;
    for (auto& [name, queue] : domains) {
      if (!queue.empty() && (!best || queue.PrecedesInPlan(*best))) {
        best = &queue;
      }
    }
    planned.push_back(best->Take()->instance);
  }
  return planned;
}

std::size_t StageControl::planned_decode() const { return PlanDecode().size(); }

bool StageControl::Matches(const std::set<std::string>& decode) const {
  return std::all_of(engines_.begin(), engines_.end(), [&](const auto& it) {
    return it.leaving ||
           (decode.count(it.instance) > 0) == (it.role == EngineRole::kDecode);
  });
}

std::uint32_t StageControl::CountChanging(TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::count_if(sent_.begin(), sent_.end(), [&](const auto& it) {
        return it.second.waiting && now < it.second.no_order_before;
      }));
}

bool StageControl::MayOrder(const StagedEngine& engine, EngineRole role,
                            TimePoint now) {
  if (engine.leaving || engine.role == role) {
    return false;
  }
  const auto sent = sent_.find(engine.instance);
  return sent == sent_.end() || now >= sent->second.no_order_before;
}

std::vector<StageOrder> StageControl::Tick(std::optional<FencingNumber> number,
                                           TimePoint now) {
  std::vector<StageOrder> orders;
  const bool settled =
      plan_reached_ || now - changed_at_ >= options_.settle_time;
  if (!number || engines_.empty() || !settled || !decode_share_) {
    return orders;
  }
  const std::vector<std::string> planned = PlanDecode();
  const std::set<std::string> decode(planned.begin(), planned.end());
  plan_reached_ = plan_reached_ || Matches(decode);
  std::uint32_t changing = CountChanging(now);
  for (const StagedEngine& it : engines_) {
    const EngineRole role = decode.count(it.instance) > 0
                                ? EngineRole::kDecode
                                : EngineRole::kPrefill;
    const bool room = !plan_reached_ || changing < options_.max_changing;
    if (!room || !MayOrder(it, role, now)) {
      continue;
    }
    ++changing;
    sent_[it.instance] = Sent{role, now + options_.unknown_timeout, true};
    orders.push_back({it.instance, role, *number});
  }
  return orders;
}

void StageControl::OnOutcome(const StageOrder& order, StageOrderOutcome outcome,
                             TimePoint now) {
  const auto it = sent_.find(order.instance);
  if (it == sent_.end()) {
    return;
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
