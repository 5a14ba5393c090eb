#include "standins/platform_json.h"

#include <nlohmann/json.hpp>

#include "store/base64.h"

namespace indigolead::standins {
namespace {

using Json = nlohmann::json;

const char* StateName(InstanceState state) {
  return state == InstanceState::kLive ? "live" : "leaving";
}

}  // namespace

std::string ListingToJson(const ObjectStore::Listing& listing) {
  Json objects = Json::array();
  for (const auto& object : listing.objects) {
    objects.push_back({{"key", object.key},
                       {"version", object.version},
                       {"value", ToBase64(object.value)}});
  }
  return Json{{"version", listing.version}, {"objects", objects}}.dump();
}

std::string EventsToJsonLines(const std::vector<WatchEvent>& events) {
  std::string lines;
  for (const auto& event : events) {
    Json json{{"key", event.key}, {"version", event.version}};
    if (event.value) {
      json["value"] = ToBase64(*event.value);
    } else {
      json["deleted"] = true;
    }
    lines += json.dump() + "\n";
  }
  return lines;
}

std::string InstanceListToJson(const InstanceList& list) {
  Json instances = Json::array();
  for (const auto& record : list.instances) {
    instances.push_back({{"name", record.name},
                         {"kind", record.kind},
                         {"failure_domain", record.failure_domain},
                         {"region", record.region},
                         {"link_address", record.link_address},
                         {"state", StateName(record.state)}});
  }
  return Json{{"version", list.version}, {"instances", instances}}.dump();
}

std::optional<InstanceRecord> InstanceFromJson(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("name")) {
    return std::nullopt;
  }
  InstanceRecord record;
  record.name = json.value("name", "");
  record.kind = json.value("kind", "");
  record.failure_domain = json.value("failure_domain", "");
  record.region = json.value("region", "");
  record.link_address = json.value("link_address", "");
  record.state = json.value("state", "live") == "leaving"
                     ? InstanceState::kLeaving
                     : InstanceState::kLive;
  return record;
}

std::string FaultsToJson(const PlatformFaults& faults) {
  return Json{{"slow_ms", faults.slow_ms},
              {"refuse", faults.refuse},
              {"stall", faults.stall},
              {"lose_answers", faults.lose_answers},
              {"lose_by_silence", faults.lose_by_silence},
              {"stale_reads", faults.stale_reads},
              {"silence_watches", faults.silence_watches},
              {"only_prefix", faults.only_prefix}}
      .dump();
}

PlatformFaults FaultsFromJson(const std::string& text,
                              const PlatformFaults& before) {
  const Json json = Json::parse(text);
  PlatformFaults faults;
  faults.slow_ms = json.value("slow_ms", before.slow_ms);
  faults.refuse = json.value("refuse", before.refuse);
  faults.stall = json.value("stall", before.stall);
  faults.lose_answers = json.value("lose_answers", before.lose_answers);
  faults.lose_by_silence =
      json.value("lose_by_silence", before.lose_by_silence);
  faults.stale_reads = json.value("stale_reads", before.stale_reads);
  faults.silence_watches =
      json.value("silence_watches", before.silence_watches);
  faults.only_prefix = json.value("only_prefix", before.only_prefix);
  return faults;
}

}  // namespace indigolead::standins
