#include "cli/revision_store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "cli/flags.h"
#include "cli/source_version.h"
#include "core/config/revision_json.h"
#include "runtime/clock.h"

namespace indigolead::cli {
namespace {

constexpr char kDeploymentPrefix[] = "deployments/";

std::string HistoryKey(const std::string& deployment, std::uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%010llu",
                static_cast<unsigned long long>(number));
  return "history/" + deployment + "/" + digits;
}

bool HasNonce(const std::string& value, const std::string& nonce) {
  const Result<Revision> revision = RevisionFromJson(value);
  return IsOk(revision) && ValueOf(revision).nonce == nonce;
}

Result<LiveRevision> Decode(const StoredObject& object) {
  Result<Revision> revision = RevisionFromJson(object.value);
  if (!IsOk(revision)) {
    Error error = ErrorOf(revision);
    error.peer = object.key;
    return error;
  }
  return LiveRevision{ValueOf(std::move(revision)), object};
}

/// Copies the revision that is about to be replaced to the history. The copy
/// may already exist, written by another edit of the same revision whether or
/// not that edit was accepted.
Status KeepInHistory(OperatorStore* store, const LiveRevision& live) {
  const std::string key =
      HistoryKey(live.revision.spec.name, live.revision.number);
  const std::string& nonce = live.revision.nonce;
  const Result<std::uint64_t> written = store->Put(
      key, live.object.value, 0,
      [nonce](const std::string& value) { return HasNonce(value, nonce); });
  if (!IsOk(written) && ErrorOf(written).code != ErrorCode::kConflict) {
    return ErrorOf(written);
  }
  return Unit{};
}

/// Deletes the one revision that exceeds `kHistoryKept`. On failure the
/// revision is never deleted, which is harmless.
void PruneHistory(OperatorStore* store, const Revision& next) {
  if (next.number <= kHistoryKept) {
    return;
  }
  const std::string key =
      HistoryKey(next.spec.name, next.number - kHistoryKept);
  const auto object = store->Get(key);
  if (IsOk(object) && ValueOf(object)) {
    store->Delete(key, ValueOf(object)->version);
  }
}

/// Returns true if `next` was once the newest revision: the edit that replaced
/// it first copied it to the history.
Result<bool> WasAccepted(OperatorStore* store, const Revision& next) {
  const auto object = store->Get(HistoryKey(next.spec.name, next.number));
  if (!IsOk(object)) {
    return ErrorOf(object);
  }
  return ValueOf(object) && HasNonce(ValueOf(object)->value, next.nonce);
}

}  // namespace

Result<std::optional<LiveRevision>> ReadLive(OperatorStore* store,
                                             const std::string& deployment) {
  const auto object = store->Get(kDeploymentPrefix + deployment);
  if (!IsOk(object)) {
    return ErrorOf(object);
  }
  if (!ValueOf(object)) {
    return std::optional<LiveRevision>();
  }
  Result<LiveRevision> live = Decode(*ValueOf(object));
  if (!IsOk(live)) {
    return ErrorOf(live);
  }
  return std::optional<LiveRevision>(ValueOf(std::move(live)));
}

Result<std::vector<LiveRevision>> ReadAllLive(OperatorStore* store) {
  const auto listing = store->List(kDeploymentPrefix);
  if (!IsOk(listing)) {
    return ErrorOf(listing);
  }
  std::vector<LiveRevision> all;
  for (const StoredObject& it : ValueOf(listing).objects) {
    Result<LiveRevision> live = Decode(it);
    if (!IsOk(live)) {
      return ErrorOf(live);
    }
    all.push_back(ValueOf(std::move(live)));
  }
  std::sort(all.begin(), all.end(),
            [](const LiveRevision& a, const LiveRevision& b) {
              return a.revision.spec.name < b.revision.spec.name;
            });
  return all;
}

Result<std::vector<Revision>> ReadHistory(OperatorStore* store,
                                          const std::string& deployment) {
  const auto live = ReadLive(store, deployment);
  if (!IsOk(live)) {
    return ErrorOf(live);
  }
  const auto listing = store->List("history/" + deployment + "/");
  if (!IsOk(listing)) {
    return ErrorOf(listing);
  }
  std::vector<Revision> revisions;
  if (ValueOf(live)) {
    revisions.push_back(ValueOf(live)->revision);
  }
  for (const StoredObject& it : ValueOf(listing).objects) {
    const Result<LiveRevision> decoded = Decode(it);
    if (!IsOk(decoded)) {
      return ErrorOf(decoded);
    }
    revisions.push_back(ValueOf(decoded).revision);
  }
  std::sort(
      revisions.begin(), revisions.end(),
      [](const Revision& a, const Revision& b) { return a.number > b.number; });
  // A rejected edit leaves a copy of the live revision in the history.
  revisions.erase(std::unique(revisions.begin(), revisions.end(),
                              [](const Revision& a, const Revision& b) {
                                return a.number == b.number;
                              }),
                  revisions.end());
  return revisions;
}

Status WriteNext(OperatorStore* store, const std::optional<LiveRevision>& live,
                 const Revision& next) {
  if (live) {
    Status kept = KeepInHistory(store, *live);
    if (!IsOk(kept)) {
      return kept;
    }
  }
  const std::string& nonce = next.nonce;
  const Result<std::uint64_t> written = store->Put(
      kDeploymentPrefix + next.spec.name, ToJson(next),
      live ? live->object.version : 0,
      [nonce](const std::string& value) { return HasNonce(value, nonce); });
  if (IsOk(written)) {
    PruneHistory(store, next);
    return Unit{};
  }
  Error error = ErrorOf(written);
  if (error.code != ErrorCode::kUnknownEffect) {
    return error;
  }
  // The response was lost and the object now holds another edit, which was made
  // either instead of this one or on top of it.
  const Result<bool> accepted = WasAccepted(store, next);
  if (!IsOk(accepted)) {
    return ErrorOf(accepted);
  }
  if (ValueOf(accepted)) {
    return Unit{};
  }
  error.code = ErrorCode::kConflict;
  return error;
}

ChangeOrigin OriginFromFlags(const std::string& directory) {
  ChangeOrigin origin;
  const char* user = std::getenv("USER");
  origin.author = !FLAGS_author.empty() ? FLAGS_author
                  : user != nullptr     ? user
                                        : "unknown";
  origin.at = WallTimeNow();
  origin.source_version = !FLAGS_source_version.empty()
                              ? FLAGS_source_version
                              : FindSourceVersion(directory);
  origin.note = FLAGS_note;
  origin.nonce = ToHex(RandomId());
  return origin;
}

}  // namespace indigolead::cli
