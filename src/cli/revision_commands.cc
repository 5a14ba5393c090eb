#include <map>
#include <utility>

#include "cli/commands.h"
#include "cli/declaration_dir.h"
#include "cli/flags.h"
#include "cli/in_force.h"
#include "cli/operator_audit.h"
#include "cli/revision_store.h"
#include "core/config/change_plan.h"
#include "core/config/revision_json.h"
#include "core/config/spec_diff.h"

namespace indigolead::cli {
namespace {

/// A declared deployment compared with its live revision in the store.
struct PlannedChange {
  DeploymentSpec wanted;
  std::optional<LiveRevision> live;
  std::optional<std::uint64_t> seen;
  ChangeKind kind = ChangeKind::kNone;
};

std::optional<Revision> RevisionOf(const std::optional<LiveRevision>& live) {
  return live ? std::optional<Revision>(live->revision) : std::nullopt;
}

std::uint64_t NumberOf(const std::optional<LiveRevision>& live) {
  return live ? live->revision.number : 0;
}

DeploymentSpec SpecOf(const std::optional<LiveRevision>& live) {
  return live ? live->revision.spec : DeploymentSpec{};
}

Result<std::vector<PlannedChange>> PlanAll(
    OperatorStore* store, const std::vector<DeploymentSpec>& specs,
    const SeenRevisions& seen) {
  std::vector<PlannedChange> changes;
  for (const DeploymentSpec& it : specs) {
    auto live = ReadLive(store, it.name);
    if (!IsOk(live)) {
      return ErrorOf(live);
    }
    PlannedChange change{it, ValueOf(std::move(live)), std::nullopt};
    const auto found = seen.find(it.name);
    if (found != seen.end()) {
      change.seen = found->second;
    }
    change.kind = PlanChange(it, RevisionOf(change.live), change.seen);
    changes.push_back(std::move(change));
  }
  return changes;
}

/// Returns the specification of revision `number`, or nullopt if it is no
/// longer kept.
std::optional<DeploymentSpec> ReadSeenSpec(OperatorStore* store,
                                           const std::string& name,
                                           std::uint64_t number) {
  if (number == 0) {
    return DeploymentSpec{};
  }
  const auto history = ReadHistory(store, name);
  if (IsOk(history)) {
    for (const Revision& it : ValueOf(history)) {
      if (it.number == number) {
        return it.spec;
      }
    }
  }
  return std::nullopt;
}

void PrintConflict(std::ostream& os, OperatorStore* store,
                   const DeploymentSpec& wanted, std::uint64_t seen,
                   const std::optional<LiveRevision>& live) {
  os << wanted.name << ": CONFLICT: your edit was made from revision " << seen
     << ", but ";
  if (!live) {
    os << "none is live\n";
    return;
  }
  os << "revision " << live->revision.number << " by " << live->revision.author
     << " is live"
     << (live->revision.note.empty() ? "" : " (" + live->revision.note + ")")
     << "\n";
  const auto base = ReadSeenSpec(store, wanted.name, seen);
  if (base) {
    os << ToText(CompareEdits(*base, wanted, live->revision.spec));
  } else {
    os << "revision " << seen << " is no longer kept; live -> yours:\n"
       << ToText(DiffSpecs(live->revision.spec, wanted));
  }
  os << "Your edit was not written. Merge the other edit into your files, "
        "then apply with --seen="
     << wanted.name << "=" << live->revision.number << "\n";
}

void PrintUnseen(std::ostream& os, const PlannedChange& change) {
  os << change.wanted.name << ": revision " << NumberOf(change.live) << " by "
     << change.live->revision.author
     << " is live, and these files don't record which revision they were "
        "edited from; live -> yours:\n"
     << ToText(DiffSpecs(SpecOf(change.live), change.wanted))
     << "If this is intended, use --seen=" << change.wanted.name << "="
     << NumberOf(change.live) << "\n";
}

/// Prints the changes that cannot be applied and returns true if there are any.
bool PrintRefused(std::ostream& os, OperatorStore* store,
                  const std::vector<PlannedChange>& changes) {
  bool refused = false;
  for (const PlannedChange& it : changes) {
    if (it.kind == ChangeKind::kConflict) {
      PrintConflict(os, store, it.wanted, *it.seen, it.live);
      refused = true;
    } else if (it.kind == ChangeKind::kUnknownBase) {
      PrintUnseen(os, it);
      refused = true;
    }
  }
  return refused;
}

AuditRecord EditRecord(const Revision& next, std::uint64_t before) {
  AuditRecord record;
  record.kind = AuditKind::kEdit;
  record.subject = next.spec.name;
  record.cause = next.note.empty() ? "apply" : next.note;
  record.actor = next.author;
  record.before = "revision " + std::to_string(before);
  record.after = "revision " + std::to_string(next.number) + " digest " +
                 DigestText(next.digest);
  record.at = next.accepted_at;
  return record;
}

/// Writes one planned change and returns the exit code.
int WriteChange(const CommandContext& context, OperatorStore* store,
                const PlannedChange& change, const ChangeOrigin& origin) {
  const Revision next =
      NextRevision(change.wanted, RevisionOf(change.live), origin);
  const Status written = WriteNext(store, change.live, next);
  if (IsOk(written)) {
    const auto changes = DiffSpecs(SpecOf(change.live), change.wanted);
    *context.out << next.spec.name << ": revision " << next.number
                 << " accepted, " << changes.size() << " fields changed\n"
                 << (change.live ? ToText(changes) : "");
    AppendAudit(context, store, EditRecord(next, NumberOf(change.live)));
    return kExitOk;
  }
  if (ErrorOf(written).code != ErrorCode::kConflict) {
    return ReportError(context, ErrorOf(written));
  }
  // Another edit was accepted between the read and the write above.
  const auto live = ReadLive(store, change.wanted.name);
  if (!IsOk(live)) {
    return ReportError(context, ErrorOf(live));
  }
  PrintConflict(*context.err, store, change.wanted, NumberOf(change.live),
                ValueOf(live));
  return kExitConflict;
}

int WriteChanges(const CommandContext& context, OperatorStore* store,
                 const std::vector<PlannedChange>& changes,
                 const std::string& directory, SeenRevisions* seen) {
  for (const PlannedChange& it : changes) {
    std::uint64_t number = NumberOf(it.live);
    if (it.kind == ChangeKind::kNone) {
      *context.out << it.wanted.name << ": no change, revision " << number
                   << "\n";
    } else {
      const int code =
          WriteChange(context, store, it, OriginFromFlags(directory));
      if (code != kExitOk) {
        return code;
      }
      ++number;
    }
    (*seen)[it.wanted.name] = number;
  }
  return kExitOk;
}

void SaveSeenOrWarn(const CommandContext& context, const std::string& directory,
                    const SeenRevisions& seen) {
  const Status saved = SaveSeen(directory, seen);
  if (!IsOk(saved)) {
    *context.err << "indigolead: " << ErrorOf(saved)
                 << "; give --seen at the next apply\n";
  }
}

void PrintDifference(std::ostream& os, OperatorStore* store,
                     const PlannedChange& change) {
  switch (change.kind) {
    case ChangeKind::kNone:
      os << change.wanted.name << ": no change, revision "
         << NumberOf(change.live) << "\n";
      return;
    case ChangeKind::kCreate:
      os << change.wanted.name << ": new\n";
      break;
    case ChangeKind::kUpdate:
    case ChangeKind::kUnknownBase:
      os << change.wanted.name << ": revision " << NumberOf(change.live)
         << " -> yours\n";
      break;
    case ChangeKind::kConflict:
      PrintConflict(os, store, change.wanted, *change.seen, change.live);
      return;
  }
  os << ToText(DiffSpecs(SpecOf(change.live), change.wanted));
}

}  // namespace

int RunDiff(const CommandContext& context) {
  const std::string& directory = context.arguments[0];
  const auto specs = LoadDeclarations(directory, *context.err);
  const auto seen = specs ? LoadSeen(directory, *context.err) : std::nullopt;
  const auto store = seen ? OpenStore(context) : nullptr;
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto changes = PlanAll(store.get(), *specs, *seen);
  if (!IsOk(changes)) {
    return ReportError(context, ErrorOf(changes));
  }
  for (const PlannedChange& it : ValueOf(changes)) {
    PrintDifference(*context.out, store.get(), it);
  }
  return kExitOk;
}

int RunApply(const CommandContext& context) {
  const std::string& directory = context.arguments[0];
  const auto specs = LoadDeclarations(directory, *context.err);
  auto seen = specs ? LoadSeen(directory, *context.err) : std::nullopt;
  const auto store = seen ? OpenStore(context) : nullptr;
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto changes = PlanAll(store.get(), *specs, *seen);
  if (!IsOk(changes)) {
    return ReportError(context, ErrorOf(changes));
  }
  if (PrintRefused(*context.err, store.get(), ValueOf(changes))) {
    return kExitConflict;
  }
  const int code =
      WriteChanges(context, store.get(), ValueOf(changes), directory, &*seen);
  SaveSeenOrWarn(context, directory, *seen);
  if (code != kExitOk || !FLAGS_wait) {
    return code;
  }
  std::map<std::string, std::uint64_t> numbers;
  for (const DeploymentSpec& it : *specs) {
    numbers[it.name] = seen->at(it.name);
  }
  return WaitUntilInForce(context, numbers);
}

int RunRollback(const CommandContext& context) {
  const std::string& name = context.arguments[0];
  const std::string& number_text = context.arguments[1];
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto history = ReadHistory(store.get(), name);
  if (!IsOk(history)) {
    return ReportError(context, ErrorOf(history));
  }
  const Revision* target = nullptr;
  for (const Revision& it : ValueOf(history)) {
    target = std::to_string(it.number) == number_text ? &it : target;
  }
  if (target == nullptr) {
    *context.err << "indigolead: " << name << " has no revision " << number_text
                 << "; see: indigolead history " << name << "\n";
    return kExitUsage;
  }
  auto live = ReadLive(store.get(), name);
  if (!IsOk(live)) {
    return ReportError(context, ErrorOf(live));
  }
  PlannedChange change{target->spec, ValueOf(std::move(live)), std::nullopt};
  if (change.live && change.live->revision.spec == target->spec) {
    *context.out << name << ": no change, revision " << NumberOf(change.live)
                 << " is the same as " << number_text << "\n";
    return kExitOk;
  }
  ChangeOrigin origin = OriginFromFlags("");
  origin.source_version = target->source_version;
  origin.note = "rollback to " + number_text +
                (origin.note.empty() ? "" : ": " + origin.note);
  const int code = WriteChange(context, store.get(), change, origin);
  if (code != kExitOk || !FLAGS_wait) {
    return code;
  }
  return WaitUntilInForce(context, {{name, NumberOf(change.live) + 1}});
}

}  // namespace indigolead::cli
