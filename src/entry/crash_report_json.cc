#include "entry/crash_report_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "entry/event_fields.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr int kHexadecimal = 16;
constexpr char kDecodeStep[] = "crash_report.decode";

Json ToJson(const TargetCrash& crash) {
  return {{"target", crash.target}, {"run", crash.run}};
}

TargetCrash ReadCrash(const Json& json) {
  return {json.at("target").get<std::string>(),
          IntegerAt<std::int64_t>(json, "run")};
}

Json ToJson(const std::vector<PromptPartId>& parts) {
  Json json = Json::array();
  for (const PromptPartId it : parts) {
    json.push_back(PartText(it));
  }
  return json;
}

std::optional<std::uint64_t> ReadHex(const std::string& text) {
  std::uint64_t n = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, n, kHexadecimal);
  const bool is_number = !text.empty() && ec == std::errc() && end == last;
  return is_number ? std::optional(n) : std::nullopt;
}

Error Unreadable(const std::string& peer, std::string detail) {
  return {ErrorCode::kProtocol, kDecodeStep, peer, std::move(detail)};
}

Result<PromptPartId> ReadPart(const std::string& peer, const std::string& field,
                              const Json& json) {
  const auto part = ReadHex(json.get<std::string>());
  if (!part) {
    return Unreadable(peer, "a text in \"" + field + "\" is not a prompt part");
  }
  return *part;
}

Result<std::vector<PromptPartId>> ReadParts(const std::string& peer,
                                            const std::string& field,
                                            const Json& json) {
  std::vector<PromptPartId> parts;
  for (const Json& it : json) {
    const auto part = ReadPart(peer, field, it);
    if (!IsOk(part)) {
      return ErrorOf(part);
    }
    parts.push_back(ValueOf(part));
  }
  return parts;
}

Json ToJson(const PartCrashReport& report) {
  Json crashes = Json::array();
  for (const PartCrashRecord& record : report.crashes) {
    Json json = ToJson(record.crash);
    json["parts"] = ToJson(record.parts);
    json["answered_before"] = ToJson(record.answered_before);
    crashes.push_back(std::move(json));
  }
  Json answered = Json::array();
  for (const AnsweredPart& it : report.answered) {
    answered.push_back(
        {{"part", PartText(it.part)}, {"known_crashes", it.known_crashes}});
  }
  Json known = Json::array();
  if (!report.answered.empty()) {  // Nothing else refers to the list.
    for (const TargetCrash& it : report.known) {
      known.push_back(ToJson(it));
    }
  }
  return {{"crashes", crashes}, {"known", known}, {"answered", answered}};
}

Result<PartCrashReport> ReadPartReport(const std::string& peer,
                                       const Json& json) {
  PartCrashReport report;
  for (const Json& it : json.at("crashes")) {
    auto parts = ReadParts(peer, "parts", it.at("parts"));
    auto before = ReadParts(peer, "answered_before", it.at("answered_before"));
    if (!IsOk(parts) || !IsOk(before)) {
      return IsOk(parts) ? ErrorOf(before) : ErrorOf(parts);
    }
    report.crashes.push_back(
        {ReadCrash(it), ValueOf(std::move(parts)), ValueOf(std::move(before))});
  }
  for (const Json& it : json.at("known")) {
    report.known.push_back(ReadCrash(it));
  }
  for (const Json& it : json.at("answered")) {
    const auto part = ReadPart(peer, "answered", it.at("part"));
    if (!IsOk(part)) {
      return ErrorOf(part);
    }
    report.answered.push_back(
        {ValueOf(part), IntegerAt<std::size_t>(it, "known_crashes")});
  }
  return report;
}

Json CrashesToJson(const CrashReport& report) {
  Json crashes = Json::array();
  for (const CrashRecord& record : report.crashes) {
    Json json = ToJson(record.crash);
    json["running"] = Json::array();
    for (const Fingerprint it : record.running) {
      json["running"].push_back(FingerprintText(it));
    }
    crashes.push_back(std::move(json));
  }
  return crashes;
}

Json ClearedToJson(const CrashReport& report) {
  Json cleared = Json::array();
  for (const ClearedRequest& request : report.cleared) {
    Json json = {{"request", FingerprintText(request.request)}};
    json["crashes"] = Json::array();
    for (const TargetCrash& it : request.crashes) {
      json["crashes"].push_back(ToJson(it));
    }
    cleared.push_back(std::move(json));
  }
  return cleared;
}

Result<CrashReport> ReadRequestReport(const std::string& peer,
                                      const Json& json) {
  CrashReport report;
  for (const Json& it : json.at("crashes")) {
    CrashRecord record{ReadCrash(it), {}};
    for (const Json& running : it.at("running")) {
      const auto request = ReadHex(running.get<std::string>());
      if (!request) {
        return Unreadable(peer, "a text in \"running\" of crash " +
                                    std::to_string(report.crashes.size()) +
                                    " is not a fingerprint");
      }
      record.running.push_back(*request);
    }
    report.crashes.push_back(std::move(record));
  }
  for (const Json& it : json.at("cleared")) {
    const auto request = ReadHex(it.at("request").get<std::string>());
    if (!request) {
      return Unreadable(peer,
                        "a \"request\" in \"cleared\" is not a fingerprint");
    }
    ClearedRequest cleared{*request, {}};
    for (const Json& crash : it.at("crashes")) {
      cleared.crashes.push_back(ReadCrash(crash));
    }
    report.cleared.push_back(std::move(cleared));
  }
  return report;
}

}  // namespace

std::string EncodeCrashReport(const EntryCrashReport& report) {
  return Json{{"crashes", CrashesToJson(report.requests)},
              {"cleared", ClearedToJson(report.requests)},
              {"prompt_parts", ToJson(report.parts)}}
      .dump();
}

Result<EntryCrashReport> DecodeCrashReport(const std::string& peer,
                                           const std::string& text) {
  EntryCrashReport report;
  const auto parsed = ParseBoundedJson(text, kDecodeStep, peer);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    const Json& json = ValueOf(parsed);
    auto requests = ReadRequestReport(peer, json);
    if (!IsOk(requests)) {
      return ErrorOf(requests);
    }
    report.requests = ValueOf(std::move(requests));
    if (json.contains("prompt_parts")) {
      auto parts = ReadPartReport(peer, json.at("prompt_parts"));
      if (!IsOk(parts)) {
        return ErrorOf(parts);
      }
      report.parts = ValueOf(std::move(parts));
    }
  } catch (const Json::exception& e) {
    return Unreadable(peer, JsonProblem(e));
  }
  return report;
}

}  // namespace indigolead
