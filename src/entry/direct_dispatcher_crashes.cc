// Handling of requests that crash targets.

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"

namespace indigolead {
namespace {

TargetCrash CrashOf(const std::string& instance,
                    const std::optional<TargetRun>& run) {
  return {instance, run ? run->started_ms : 0};
}

}  // namespace

CrashDetector::Hooks DirectDispatcher::CrashHooks() {
  CrashDetector::Hooks hooks;
  hooks.call = [this](const std::string& target,
                      std::function<void(const Status&)> done) {
    transport_.ProbeTarget(target, std::move(done));
  };
  hooks.on_crash = [this](const TargetCrash& crash,
                          const std::vector<RunningRequest>& running) {
    if (hooks_.on_crash) {
      hooks_.on_crash(crash, running);
    }
  };
  hooks.on_answered = [this](const RunningRequest& request) {
    if (hooks_.on_answered) {
      hooks_.on_answered(request);
    }
  };
  return hooks;
}

bool DirectDispatcher::OnTargetDown(const TargetCrash& crash) {
  const TargetRecord* target = directory_.Find(crash.target);
  const bool other_run = target && target->run && crash.run != 0 &&
                         target->run->started_ms != crash.run;
  if (!target || other_run) {
    return false;
  }
  down_until_[crash.target] = clock_() + options_.down_after_crash;
  return true;
}

void DirectDispatcher::OnCrashReported(const TargetCrash& crash) {
  crashes_.OnRunEnded(crash, {}, "another entry reports it");
}

bool DirectDispatcher::MayCrash(const std::string& instance) const {
  const SideTable::Side* side = flow_.sides().Find(instance);
  return side && SideTable::AcceptsAttempts(*side);
}

void DirectDispatcher::OnRequestBroke(const std::string& instance,
                                      const std::optional<TargetRun>& run,
                                      const CallerRequest& request) {
  if (MayCrash(instance)) {
    crashes_.OnBroken(CrashOf(instance, run), RunningRequestOf(request));
  }
}

void DirectDispatcher::OnRequestAbandoned(const std::string& instance,
                                          const std::optional<TargetRun>& run,
                                          const CallerRequest& request) {
  if (MayCrash(instance)) {
    crashes_.OnAbandoned(CrashOf(instance, run), RunningRequestOf(request));
  }
}

void DirectDispatcher::OnDoubtfulEnd(const std::string& instance,
                                     const std::optional<TargetRun>& run,
                                     const CallerRequest& request) {
  const auto it = open_requests_.find(request.id);
  if (it != open_requests_.end() && MayCrash(instance)) {
    it->second.doubtful = true;
    crashes_.OnDoubtfulEnd(CrashOf(instance, run), RunningRequestOf(request));
  }
}

void DirectDispatcher::OnRunEnded(const std::string& instance,
                                  const std::optional<TargetRun>& run,
                                  std::string_view evidence) {
  std::vector<RunningRequest> open;
  if (MayCrash(instance)) {
    for (const auto& it : transport_.OpenRequestsAt(instance, run)) {
      open.push_back(RunningRequestOf(*it));
    }
  }
  crashes_.OnRunEnded(CrashOf(instance, run), open, evidence);
}

void DirectDispatcher::NoteEndedRuns(const TargetChange& change) {
  const std::string& id = change.target.id;
  switch (change.kind) {
    case TargetChange::Kind::kRestarted:
      if (const TargetRecord* before = transport_.FindTarget(id)) {
        OnRunEnded(id, before->run, "another run is listed");
      }
      break;
    case TargetChange::Kind::kAdded:
      // An address is used again only after its previous target has ended.
      for (const std::string& it :
           addresses_.TargetsAt(change.target.address)) {
        const TargetRecord* before = transport_.FindTarget(it);
        if (it != id && before) {
          OnRunEnded(it, before->run, "another target has its address");
        }
      }
      break;
    case TargetChange::Kind::kLeaving: {
      const TargetCrash run = CrashOf(id, change.target.run);
      if (directory_.IsMissing(id) && !change.target.leaving) {
        crashes_.OnUnlisted(run);
      } else {
        crashes_.OnLeavingAnnounced(run);
      }
      break;
    }
    default:
      break;
  }
}

std::optional<Refusal> DirectDispatcher::RefuseBlocked(
    const CallerRequest& request) const {
  const auto block = hooks_.block_of
                         ? hooks_.block_of(RunningRequestOf(request))
                         : std::nullopt;
  if (!block) {
    return std::nullopt;
  }
  const std::string for_ms = FormatMilliseconds(block->left) + " ms.";
  if (!block->part) {
    return Refusal{503, RunState::kNotRun, "request_crashes_targets",
                   "Targets of " + request.deployment +
                       " crashed while they ran this request; no other gets it "
                       "for " +
                       for_ms,
                   block->left};
  }
  return Refusal{503, RunState::kNotRun, "prompt_part_crashes_targets",
                 std::to_string(block->part->crashes) + " targets of " +
                     request.deployment +
                     " crashed while they ran requests with part \"" +
                     PartText(block->part->part) +
                     "\" in their prompts; no other gets one for " + for_ms,
                 block->left};
}

}  // namespace indigolead
