#include "core/control/decode_plan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>

namespace indigolead {
namespace {

/// Engines of one failure domain, in the order in which they are planned as
/// decode engines.
class DomainQueue {
 public:
  void Add(const StagedEngine* engine) {
    if (engine->role == EngineRole::kPrefill) {
      prefill_engines_.push_back(engine);
    } else if (engine->down) {
      other_engines_.push_back(engine);
    } else {
      other_engines_.insert(
          other_engines_.begin() + static_cast<std::ptrdiff_t>(up_++), engine);
    }
  }

  /// Counts an engine of the domain that was planned from another queue.
  void AddTurn() { ++turns_; }

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
    return std::tie(turns_, own_is_prefill, own_next->instance) <
           std::tie(other.turns_, other_is_prefill, other_next->instance);
  }

  const StagedEngine* Take() {
    const StagedEngine* engine = next();
    ++taken_;
    ++turns_;
    return engine;
  }

 private:
  const StagedEngine* next() const {
    return taken_ < other_engines_.size()
               ? other_engines_[taken_]
               : prefill_engines_[taken_ - other_engines_.size()];
  }

  /// Decode or mixed, those that are up first.
  std::vector<const StagedEngine*> other_engines_;
  std::vector<const StagedEngine*> prefill_engines_;  ///< Would have to change.
  std::size_t up_ = 0;
  std::size_t taken_ = 0;
  std::size_t turns_ = 0;  ///< Planned engines of the domain.
};

/// Engines by failure domain.
class DomainQueues {
 public:
  void Add(const StagedEngine* engine) {
    domains_[engine->failure_domain].Add(engine);
    ++engines_;
  }

  void AddTurn(const std::string& domain) { domains_[domain].AddTurn(); }

  /// Takes the next engine. There must be one.
  const StagedEngine* Take() {
    DomainQueue* best = nullptr;
    for (auto& [name, queue] : domains_) {
      if (!queue.empty() && (!best || queue.PrecedesInPlan(*best))) {
        best = &queue;
      }
    }
    return best->Take();
  }

  std::size_t engines() const { return engines_; }
  std::size_t domains() const { return domains_.size(); }

 private:
  std::map<std::string, DomainQueue> domains_;
  std::size_t engines_ = 0;
};

/// Returns one engine per failure domain, but only if most engines remain for
/// prefill.
std::size_t OnePerDomain(std::size_t engines, std::size_t domains) {
  return 3 * domains <= engines ? domains : 0;
}

/// Returns the number of decode engines of a whole service.
std::size_t CountWanted(std::size_t engines, std::size_t domains,
                        double decode_share, const RoleMinimums& minimums) {
  // With two or three engines, all stay able to do both kinds of work.
  if (engines <= minimums.decode + 1) {
    return engines;
  }
  const auto by_load = static_cast<std::size_t>(
      std::lround(decode_share * static_cast<double>(engines)));
  const std::size_t wanted = std::max(
      {by_load, std::size_t{minimums.decode}, OnePerDomain(engines, domains)});
  return std::min(wanted, engines - minimums.prefill);
}

/// Selects the minimum of each software version, one engine of each in turn.
std::vector<const StagedEngine*> PlanMinimums(
    const std::vector<const StagedEngine*>& engines,
    const RoleMinimums& minimums) {
  std::map<std::string, DomainQueues> versions;
  for (const StagedEngine* it : engines) {
    versions[it->software_version].Add(it);
  }
  std::vector<const StagedEngine*> planned;
  if (versions.size() == 1) {
    return planned;  // The minimum of the service is that of the version.
  }
  bool any_left = true;
  for (std::size_t round = 0; any_left; ++round) {
    any_left = false;
    for (auto& [version, queues] : versions) {
      const bool enough_prefill =
          planned.size() + minimums.prefill < engines.size();
      const bool wanted =
          round <
          MinDecodeOfVersion(queues.engines(), queues.domains(), minimums);
      if (wanted && (round == 0 || enough_prefill)) {
        planned.push_back(queues.Take());
        any_left = true;
      }
    }
  }
  return planned;
}

}  // namespace

std::size_t MinDecodeOfVersion(std::size_t engines, std::size_t domains,
                               const RoleMinimums& minimums) {
  const std::size_t least = std::min(engines, std::size_t{minimums.decode});
  return std::max(least, OnePerDomain(engines, domains));
}

// Each queue is sorted once, by the order of `engines`. Scanning all engines
// for each planned one takes seconds with thousands of engines on an entry with
// little CPU.
std::vector<std::string> PlanDecodeEngines(
    const std::vector<const StagedEngine*>& engines, double decode_share,
    const RoleMinimums& minimums) {
  const auto minimum = PlanMinimums(engines, minimums);
  const std::set<const StagedEngine*> chosen(minimum.begin(), minimum.end());
  DomainQueues queues;
  for (const StagedEngine* it : engines) {
    if (chosen.count(it) == 0) {
      queues.Add(it);
    }
  }
  std::vector<std::string> planned;
  for (const StagedEngine* it : minimum) {
    planned.push_back(it->instance);
    queues.AddTurn(it->failure_domain);
  }
  const std::size_t wanted =
      CountWanted(engines.size(), queues.domains(), decode_share, minimums);
  while (planned.size() < wanted) {
    planned.push_back(queues.Take()->instance);
  }
  return planned;
}

}  // namespace indigolead
