#include "entry/crash_report_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/base/json_problem.h"
#include "entry/event_fields.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr int kHexadecimal = 16;

Json ToJson(const TargetCrash& crash) {
  return {{"target", crash.target}, {"run", crash.run}};
}

TargetCrash ReadCrash(const Json& json) {
  return {json.at("target").get<std::string>(),
          json.at("run").get<std::int64_t>()};
}

std::optional<Fingerprint> ReadFingerprint(const std::string& text) {
  Fingerprint n = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, n, kHexadecimal);
  const bool is_number = !text.empty() && ec == std::errc() && end == last;
  return is_number ? std::optional(n) : std::nullopt;
}

Error Unreadable(const std::string& peer, std::string detail) {
  return {ErrorCode::kProtocol, "crash_report.decode", peer, std::move(detail)};
}

}  // namespace

std::string EncodeCrashReport(const CrashReport& report) {
  Json crashes = Json::array();
  for (const CrashRecord& record : report.crashes) {
    Json json = ToJson(record.crash);
    json["running"] = Json::array();
    for (const Fingerprint it : record.running) {
      json["running"].push_back(FingerprintText(it));
    }
    crashes.push_back(std::move(json));
  }
  Json cleared = Json::array();
  for (const ClearedRequest& request : report.cleared) {
    Json json = {{"request", FingerprintText(request.request)}};
    json["crashes"] = Json::array();
    for (const TargetCrash& it : request.crashes) {
      json["crashes"].push_back(ToJson(it));
    }
    cleared.push_back(std::move(json));
  }
  return Json{{"crashes", crashes}, {"cleared", cleared}}.dump();
}

Result<CrashReport> DecodeCrashReport(const std::string& peer,
                                      const std::string& text) {
  CrashReport report;
  try {
    const Json json = Json::parse(text);
    for (const Json& it : json.at("crashes")) {
      CrashRecord record{ReadCrash(it), {}};
      for (const Json& running : it.at("running")) {
        const auto name = running.get<std::string>();
        const auto request = ReadFingerprint(name);
        if (!request) {
          return Unreadable(
              peer, "\"" + name + "\" in \"running\" of crash \"" +
                        record.crash.target + "\" is not a fingerprint");
        }
        record.running.push_back(*request);
      }
      report.crashes.push_back(std::move(record));
    }
    for (const Json& it : json.at("cleared")) {
      const auto name = it.at("request").get<std::string>();
      const auto request = ReadFingerprint(name);
      if (!request) {
        return Unreadable(peer, "\"" + name +
                                    "\" in \"cleared\" is not a "
                                    "fingerprint");
      }
      ClearedRequest cleared{*request, {}};
      for (const Json& crash : it.at("crashes")) {
        cleared.crashes.push_back(ReadCrash(crash));
      }
      report.cleared.push_back(std::move(cleared));
    }
  } catch (const Json::exception& e) {
    return Unreadable(peer, JsonProblem(e));
  }
  return report;
}

}  // namespace indigolead
