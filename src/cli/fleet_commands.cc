#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/operator_audit.h"
#include "cli/revision_store.h"
#include "cli/time_text.h"
#include "core/base/bounded_json.h"
#include "core/base/text_table.h"
#include "core/config/value_text.h"
#include "runtime/clock.h"

namespace indigolead::cli {
namespace {

using Json = nlohmann::json;

constexpr char kDrainPrefix[] = "drains/";
constexpr char kQuarantinePrefix[] = "quarantines/";

AuditRecord RecordOf(AuditKind kind, const std::string& subject,
                     const ChangeOrigin& origin, std::string before,
                     std::string after) {
  AuditRecord record;
  record.kind = kind;
  record.subject = subject;
  record.cause = origin.note;
  record.actor = origin.author;
  record.before = std::move(before);
  record.after = std::move(after);
  record.at = origin.at;
  return record;
}

bool ReportMissingNote(const CommandContext& context,
                       const std::string& command) {
  if (!FLAGS_note.empty()) {
    return false;
  }
  *context.err << "indigolead " << command
               << ": --note is missing; give the reason for the change\n";
  return true;
}

/// Deletes the object at `key` and appends an audit record. Returns the exit
/// code.
int DeleteAndRecord(const CommandContext& context, const std::string& key,
                    AuditRecord record) {
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto object = store->Get(key);
  if (!IsOk(object)) {
    return ReportError(context, ErrorOf(object));
  }
  if (!ValueOf(object)) {
    *context.err << "indigolead: " << key << " does not exist\n";
    return kExitUsage;
  }
  const Status deleted = store->Delete(key, ValueOf(object)->version);
  if (!IsOk(deleted)) {
    return ReportError(context, ErrorOf(deleted));
  }
  record.before = ValueOf(object)->value;
  AppendAudit(context, store.get(), record);
  *context.out << record.subject << ": " << record.after << "\n";
  return kExitOk;
}

std::string TextOf(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) {
    return "";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

}  // namespace

int RunDrain(const CommandContext& context) {
  const std::string& instance = context.arguments[0];
  if (!IsName(instance)) {
    *context.err << "indigolead drain: \"" << instance
                 << "\" is not the name of an instance\n";
    return kExitUsage;
  }
  if (ReportMissingNote(context, "drain")) {
    return kExitUsage;
  }
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const ChangeOrigin origin = OriginFromFlags("");
  const std::string value = Json{
      {"instance", instance},
      {"by", origin.author},
      {"cause", origin.note},
      {"at_us", origin.at},
      {"nonce",
       origin.nonce}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto written =
      store->Put(kDrainPrefix + instance, value, 0,
                 [&value](const std::string& found) { return found == value; });
  if (!IsOk(written)) {
    if (ErrorOf(written).code == ErrorCode::kConflict) {
      *context.out << instance << ": already drained\n";
      return kExitOk;
    }
    return ReportError(context, ErrorOf(written));
  }
  AppendAudit(context, store.get(),
              RecordOf(AuditKind::kDrain, instance, origin, "", "drained"));
  *context.out << instance << ": drained; no new work after 2 s, requests in "
               << "flight finish\n";
  return kExitOk;
}

int RunUndrain(const CommandContext& context) {
  const std::string& instance = context.arguments[0];
  return DeleteAndRecord(context, kDrainPrefix + instance,
                         RecordOf(AuditKind::kDrain, instance,
                                  OriginFromFlags(""), "", "takes work again"));
}

int RunLift(const CommandContext& context) {
  const std::string& fingerprint = context.arguments[0];
  if (ReportMissingNote(context, "lift")) {
    return kExitUsage;
  }
  return DeleteAndRecord(
      context, kQuarantinePrefix + fingerprint,
      RecordOf(AuditKind::kQuarantine, fingerprint, OriginFromFlags(""), "",
               "quarantine lifted"));
}

int RunQuarantines(const CommandContext& context) {
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto listing = store->List(kQuarantinePrefix);
  if (!IsOk(listing)) {
    return ReportError(context, ErrorOf(listing));
  }
  Json all = Json::array();
  TextTable table(
      {"fingerprint", "deployment", "client account", "kills", "reason"});
  for (const StoredObject& it : ValueOf(listing).objects) {
    auto parsed = ParseBoundedJson(it.value, "quarantine.read", it.key);
    if (!IsOk(parsed) || !ValueOf(parsed).is_object()) {
      *context.err << "indigolead: " << it.key << " cannot be parsed\n";
      continue;
    }
    Json object = ValueOf(std::move(parsed));
    table.AddRow({it.key.substr(std::string(kQuarantinePrefix).size()),
                  TextOf(object, "deployment"),
                  TextOf(object, "client_account"), TextOf(object, "kills"),
                  TextOf(object, "reason")});
    all.push_back(std::move(object));
  }
  *context.out << (FLAGS_output == "json" ? all.dump() + "\n" : table.ToText());
  return kExitOk;
}

int RunAudit(const CommandContext& context) {
  const auto since =
      FLAGS_since.empty() ? std::chrono::hours(24) : ParseDuration(FLAGS_since);
  if (!since) {
    *context.err << "indigolead audit: --since: \"" << FLAGS_since
                 << "\" is not accepted; accepted is a duration such as 30m "
                    "or 24h\n";
    return kExitUsage;
  }
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto listing = store->List("audit/");
  if (!IsOk(listing)) {
    return ReportError(context, ErrorOf(listing));
  }
  const WallMicros from =
      WallTimeNow() -
      std::chrono::duration_cast<std::chrono::microseconds>(*since).count();
  std::multimap<WallMicros, AuditRecord> records;
  std::size_t bad_lines = 0;
  for (const StoredObject& it : ValueOf(listing).objects) {
    AuditSegment segment = ReadAuditSegment(it.value, from);
    bad_lines += segment.bad_lines;
    for (AuditRecord& record : segment.records) {
      records.emplace(record.at, std::move(record));
    }
  }
  TextTable table({"at", "kind", "subject", "actor", "fencing", "before",
                   "after", "cause"});
  for (const auto& [at, it] : records) {
    if (FLAGS_output == "json") {
      *context.out << EncodeAuditRecord(it) << "\n";
    }
    table.AddRow(
        {WallTimeText(at), std::string(AuditKindName(it.kind)), it.subject,
         it.actor,
         it.fencing_number == 0 ? "-" : std::to_string(it.fencing_number),
         it.before, it.after, it.cause});
  }
  if (FLAGS_output != "json") {
    *context.out << table.ToText();
  }
  if (bad_lines > 0) {
    *context.err << "indigolead audit: " << bad_lines
                 << " records could not be read\n";
  }
  return kExitOk;
}

}  // namespace indigolead::cli
