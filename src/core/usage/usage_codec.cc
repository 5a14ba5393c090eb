#include "core/usage/usage_codec.h"

#include <nlohmann/json.hpp>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr char kDecodeStep[] = "usage.decode";

/// Latest time of a record: the end of the year 9999. Later ones overflow in
/// sums with durations.
constexpr WallMicros kMaxTime = 253'402'300'800'000'000;
/// Highest window: windows are longer than a microsecond.
constexpr UsageWindow kMaxWindow = kMaxTime;

Error Malformed(std::string detail) {
  return {ErrorCode::kProtocol, kDecodeStep, "store", std::move(detail)};
}

Json ToJson(const std::vector<WindowCounts>& windows) {
  Json list = Json::array();
  for (const WindowCounts& it : windows) {
    list.push_back({{"window", it.window}, {"requests", it.requests}});
  }
  return list;
}

std::map<std::string, std::uint64_t> RequestsFrom(const Json& object) {
  std::map<std::string, std::uint64_t> requests;
  if (!object.is_object()) {
    ThrowInvalidField("requests", "an object");
  }
  for (const auto& it : object.items()) {
    requests[it.key()] = CheckedInteger<std::uint64_t>(it.value(), "requests");
  }
  return requests;
}

std::vector<WindowCounts> WindowsFrom(const Json& list) {
  std::vector<WindowCounts> windows;
  for (const Json& it : list) {
    WindowCounts one;
    one.window = IntegerAt<UsageWindow>(it, "window", 0, kMaxWindow);
    one.requests = RequestsFrom(it.at("requests"));
    windows.push_back(std::move(one));
  }
  return windows;
}

bool HasGap(const std::vector<WindowCounts>& windows) {
  for (std::size_t it = 1; it < windows.size(); ++it) {
    if (windows[it].window != windows[it - 1].window + 1) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeEntryUsage(const EntryUsage& usage) {
  return Json{{"instance", usage.instance},
              {"incarnation", ToHex(usage.incarnation.value)},
              {"started_at_us", usage.started_at},
              {"counted_until_us", usage.counted_until},
              {"ended", usage.ended},
              {"windows", ToJson(usage.windows)}}
      .dump();
}

Result<EntryUsage> DecodeEntryUsage(std::string_view json) {
  const auto document = ParseBoundedJson(json, kDecodeStep, "store");
  if (!IsOk(document)) {
    return ErrorOf(document);
  }
  try {
    const Json& parsed = ValueOf(document);
    EntryUsage usage;
    parsed.at("instance").get_to(usage.instance);
    const auto incarnation =
        Id128FromHex(parsed.at("incarnation").get<std::string>());
    if (!incarnation) {
      return Malformed("the incarnation is not 32 hexadecimal digits");
    }
    usage.incarnation = Incarnation{*incarnation};
    usage.started_at =
        IntegerAt<WallMicros>(parsed, "started_at_us", 0, kMaxTime);
    usage.counted_until =
        IntegerAt<WallMicros>(parsed, "counted_until_us", 0, kMaxTime);
    parsed.at("ended").get_to(usage.ended);
    usage.windows = WindowsFrom(parsed.at("windows"));
    return usage;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
  }
}

std::string EncodeFinalizedUsage(const FinalizedUsage& usage) {
  return Json{{"windows", ToJson(usage.windows)}}.dump();
}

Result<FinalizedUsage> DecodeFinalizedUsage(std::string_view json) {
  const auto document = ParseBoundedJson(json, kDecodeStep, "store");
  if (!IsOk(document)) {
    return ErrorOf(document);
  }
  try {
    FinalizedUsage usage{WindowsFrom(ValueOf(document).at("windows"))};
    if (usage.windows.empty() || HasGap(usage.windows)) {
      return Malformed("expected windows without a gap");
    }
    return usage;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
  }
}

}  // namespace indigolead
