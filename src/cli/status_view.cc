#include "cli/status_view.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "cli/time_text.h"
#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "core/base/text_table.h"

namespace indigolead::cli {
namespace {

using Json = nlohmann::json;

std::string AgeText(double seconds) {
  char buf[32];
  // Two clock readings can yield an age slightly below 0.
  std::snprintf(buf, sizeof(buf), "%.1fs ago", std::max(seconds, 0.0));
  return buf;
}

std::string PlainText(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_array()) {
    std::string text;
    for (const Json& it : value) {
      text += (text.empty() ? "" : ", ") + PlainText(it);
    }
    return text;
  }
  return value.is_null() ? "" : value.dump();
}

std::string LoadText(const Json& load) {
  return load.value("running", Json(0)).dump() + " running, " +
         load.value("waiting", Json(0)).dump() + " waiting";
}

/// Formats a value and its age; see `EncodeStatus`.
std::string FigureText(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_object()) {
    return "never seen";
  }
  if (it->contains("unknown_since")) {
    return "unknown since " +
           WallTimeText(IntegerAt<WallMicros>(*it, "unknown_since"));
  }
  const Json& value = it->at("value");
  if (!value.is_object() && PlainText(value).empty()) {
    return "-";
  }
  return (value.is_object() ? LoadText(value) : PlainText(value)) + " (" +
         AgeText(it->at("age_s").get<double>()) + ")";
}

std::string TextOf(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "" : PlainText(*it);
}

std::string Section(const std::string& title, const TextTable& table) {
  return "\n" + title + "\n" + table.ToText();
}

const Json& ListOf(const Json& status, const char* key) {
  static const auto* const empty = new Json(Json::array());
  const auto it = status.find(key);
  return it == status.end() ? *empty : *it;
}

std::string HeadText(const Json& status) {
  return "As seen by " + TextOf(status, "entry") + " at " +
         WallTimeText(IntegerOr(status, "at", WallMicros{0})) +
         "\nobject API answers: " + FigureText(status, "store_answers") +
         "\ncontrol lease: " + FigureText(status, "lease_holder") +
         ", fencing number " + TextOf(status, "fencing_number") + "\n";
}

std::string InForceText(const Json& deployment) {
  if (deployment.value("in_force_everywhere", false)) {
    return "everywhere";
  }
  std::string text;
  const auto waiting = deployment.find("waiting_for");
  if (waiting != deployment.end() && !waiting->empty()) {
    text = "waiting for " + PlainText(*waiting);
  }
  const auto unknown = deployment.find("unknown");
  if (unknown != deployment.end()) {
    for (const auto& it : unknown->items()) {
      text += (text.empty() ? "" : "; ") + it.key() + " " +
              FigureText(*unknown, it.key().c_str());
    }
  }
  return text.empty() ? "not known" : text;
}

std::string DeploymentsText(const Json& status) {
  TextTable table(
      {"deployment", "revision", "accepted", "author", "source", "in force"});
  for (const Json& it : ListOf(status, "deployments")) {
    table.AddRow({TextOf(it, "name"), TextOf(it, "revision"),
                  WallTimeText(IntegerOr(it, "accepted_at", WallMicros{0})),
                  TextOf(it, "author"),
                  TextOf(it, "source_version").substr(0, 12), InForceText(it)});
  }
  return Section("Deployments", table);
}

std::string DesiredText(const Json& target) {
  std::string text = TextOf(target, "desired_role");
  if (text.empty()) {
    return "-";
  }
  text += " " + TextOf(target, "desired_model") + " #" +
          TextOf(target, "order_generation") + " " +
          TextOf(target, "order_phase");
  const std::string detail = TextOf(target, "order_detail");
  return detail.empty() ? text : text + ": " + detail;
}

std::string NoteText(const Json& target) {
  std::string text =
      target.value("out_of_service", false) ? "out of service" : "";
  const std::string drain = TextOf(target, "drain_cause");
  if (!drain.empty()) {
    text += (text.empty() ? "" : ", ") + ("drained: " + drain);
  }
  return text;
}

std::string TargetsText(const Json& status) {
  TextTable table({"target", "deployment", "failure domain", "health", "role",
                   "desired", "revision", "load", "note"});
  for (const Json& it : ListOf(status, "targets")) {
    table.AddRow({TextOf(it, "name"), TextOf(it, "deployment"),
                  TextOf(it, "failure_domain"), FigureText(it, "health"),
                  FigureText(it, "role"), DesiredText(it),
                  FigureText(it, "revision"), FigureText(it, "load"),
                  NoteText(it)});
  }
  return Section("Targets", table);
}

std::string EntriesText(const Json& status) {
  TextTable table({"entry", "failure domain", "up", "revisions"});
  for (const Json& it : ListOf(status, "entries")) {
    std::string revisions;
    const Json numbers = it.value("revisions", Json::object());
    for (const auto& revision : numbers.items()) {
      revisions += (revisions.empty() ? "" : ", ") + revision.key() + " " +
                   revision.value().dump();
    }
    table.AddRow({TextOf(it, "name"), TextOf(it, "failure_domain"),
                  FigureText(it, "up"), revisions});
  }
  return Section("Entries", table);
}

std::string QuarantinesText(const Json& status) {
  TextTable table({"fingerprint", "deployment", "client account", "kills",
                   "ends in", "reason"});
  for (const Json& it : ListOf(status, "quarantines")) {
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.0fs", it.value("remaining_s", 0.0));
    table.AddRow({TextOf(it, "fingerprint"), TextOf(it, "deployment"),
                  TextOf(it, "client_account"), TextOf(it, "kills"), buf,
                  TextOf(it, "reason")});
  }
  return Section("Quarantined requests", table);
}

}  // namespace

Result<std::string> StatusText(std::string_view json) {
  // An entry of another version may omit fields; a wrong type is an error.
  const auto parsed = ParseBoundedJson(json, "status.read", "");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    const Json& status = ValueOf(parsed);
    return HeadText(status) + DeploymentsText(status) + TargetsText(status) +
           EntriesText(status) + QuarantinesText(status);
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kProtocol, "status.read", "", JsonProblem(e)};
  }
}

}  // namespace indigolead::cli
