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
    (engine->role == EngineRole::kPrefill ? readers_ : others_)
        .push_back(engine);
  }

  bool empty() const { return taken_ == others_.size() + readers_.size(); }

  /// Returns true if this domain's next engine is planned before that of
  /// `other`. Neither queue may be empty.
  bool GoesBefore(const DomainQueue& other) const {
    const StagedEngine* mine = next();
    const StagedEngine* its = other.next();
    const bool mine_reads = mine->role == EngineRole::kPrefill;
    const bool its_reads = its->role == EngineRole::kPrefill;
    return std::tie(taken_, mine_reads, mine->instance) <
           std::tie(other.taken_, its_reads, its->instance);
  }

  const StagedEngine* Take() {
    const StagedEngine* engine = next();
    ++taken_;
    return engine;
  }

 private:
  const StagedEngine* next() const {
    return taken_ < others_.size() ? others_[taken_]
                                   : readers_[taken_ - others_.size()];
  }

  std::vector<const StagedEngine*> others_;   ///< Decode already.
  std::vector<const StagedEngine*> readers_;  ///< Would have to change.
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
      // The change is done; a late copy of the order fails the precondition.
      sent_.erase(sent);
    }
  }
}

std::size_t StageControl::Usable() const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& it) { return !it.leaving; }));
}

std::optional<double> StageControl::OnLoad(const RoleLoad& load,
                                           TimePoint now) {
  const double wanted = AnsweringShare(load);
  if (!share_) {
    share_ = wanted;
    return share_;
  }
  const auto engines = static_cast<double>(Usable());
  const double least = std::max(options_.least_shift_engines,
                                options_.least_shift_share * engines);
  if (std::abs(wanted - *share_) * engines < least) {
    shift_since_.reset();
    return std::nullopt;
  }
  if (!shift_since_) {
    shift_since_ = now;
  }
  if (now - *shift_since_ < options_.shift_after) {
    return std::nullopt;
  }
  share_ = wanted;
  shift_since_.reset();
  return share_;
}

void StageControl::AdoptRoles() {
  const std::size_t usable = Usable();
  if (usable == 0) {
    return;
  }
  const auto answering =
      std::count_if(engines_.begin(), engines_.end(), [](const auto& it) {
        return !it.leaving && it.role == EngineRole::kDecode;
      });
  share_ = static_cast<double>(answering) / static_cast<double>(usable);
}

std::size_t StageControl::Wanted(const std::vector<const StagedEngine*>& usable,
                                 std::size_t domains) const {
  const std::size_t engines = usable.size();
  // With two or three engines, all stay able to do both kinds of work.
  if (engines <= options_.min_decode + 1) {
    return engines;
  }
  const auto by_load = static_cast<std::size_t>(
      std::lround(share_.value_or(0) * static_cast<double>(engines)));
  // One decode engine per domain only if most engines remain for prefill.
  const std::size_t one_each = 3 * domains <= engines ? domains : 0;
  const std::size_t wanted =
      std::max({by_load, std::size_t{options_.min_decode}, one_each});
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
  const std::size_t wanted = Wanted(usable, domains.size());
  std::vector<std::string> planned;
  planned.reserve(wanted);
  while (planned.size() < wanted) {
    DomainQueue* best = nullptr;
    for (auto& [name, queue] : domains) {
      if (!queue.empty() && (!best || queue.GoesBefore(*best))) {
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

std::uint32_t StageControl::Changing(TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::count_if(sent_.begin(), sent_.end(), [&](const auto& it) {
        return it.second.waiting && now < it.second.quiet_until;
      }));
}

bool StageControl::MayOrder(const StagedEngine& engine, EngineRole role,
                            TimePoint now) {
  if (engine.leaving || engine.role == role) {
    return false;
  }
  const auto sent = sent_.find(engine.instance);
  return sent == sent_.end() || now >= sent->second.quiet_until;
}

std::vector<StageOrder> StageControl::Tick(std::optional<FencingNumber> number,
                                           TimePoint now) {
  std::vector<StageOrder> orders;
  const bool settled = reached_ || now - changed_at_ >= options_.settle_time;
  if (!number || engines_.empty() || !settled || !share_) {
    return orders;
  }
  const std::vector<std::string> planned = PlanDecode();
  const std::set<std::string> decode(planned.begin(), planned.end());
  reached_ = reached_ || Matches(decode);
  std::uint32_t changing = Changing(now);
  for (const StagedEngine& it : engines_) {
    const EngineRole role = decode.count(it.instance) > 0
                                ? EngineRole::kDecode
                                : EngineRole::kPrefill;
    const bool room = !reached_ || changing < options_.max_changing;
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
      it->second.quiet_until = now + options_.confirm_timeout;
      return;
    case StageOrderOutcome::kRefused:
      it->second.quiet_until = now + options_.retry_interval;
      it->second.waiting = false;
      return;
    case StageOrderOutcome::kUnknown:
      it->second.quiet_until = now + options_.unknown_timeout;
      return;
  }
}

}  // namespace indigolead
