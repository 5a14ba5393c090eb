#include "core/usage/usage_codec.h"

#include <nlohmann/json.hpp>

#include "core/base/json_problem.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

Error Malformed(std::string detail) {
  return {ErrorCode::kProtocol, "usage.decode", "store", std::move(detail)};
}

Json ToJson(const std::vector<WindowCounts>& windows) {
  Json list = Json::array();
  for (const WindowCounts& it : windows) {
    list.push_back({{"window", it.window}, {"requests", it.requests}});
  }
  return list;
}

std::vector<WindowCounts> WindowsFrom(const Json& list) {
  std::vector<WindowCounts> windows;
  for (const Json& it : list) {
    WindowCounts one;
    it.at("window").get_to(one.window);
    it.at("requests").get_to(one.requests);
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
  try {
    const Json parsed = Json::parse(json);
    EntryUsage usage;
    parsed.at("instance").get_to(usage.instance);
    const auto incarnation =
        Id128FromHex(parsed.at("incarnation").get<std::string>());
    if (!incarnation) {
      return Malformed("the incarnation is not 32 hexadecimal digits");
    }
    usage.incarnation = Incarnation{*incarnation};
    parsed.at("started_at_us").get_to(usage.started_at);
    parsed.at("counted_until_us").get_to(usage.counted_until);
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
  try {
    FinalizedUsage usage{WindowsFrom(Json::parse(json).at("windows"))};
    if (usage.windows.empty() || HasGap(usage.windows)) {
      return Malformed("expected windows without a gap");
    }
    return usage;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
  }
}

}  // namespace indigolead
