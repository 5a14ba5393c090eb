#include "store/store_json.h"

#include <nlohmann/json.hpp>

#include "store/base64.h"

namespace indigolead::internal {
namespace {

using Json = nlohmann::json;

Json Parse(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

bool HasString(const Json& json, const char* name) {
  return json.is_object() && json.contains(name) && json[name].is_string();
}

bool HasNumber(const Json& json, const char* name) {
  return json.is_object() && json.contains(name) &&
         json[name].is_number_unsigned();
}

bool HasArray(const Json& json, const char* name) {
  return json.is_object() && json.contains(name) && json[name].is_array();
}

std::optional<StoredObject> ParseObject(const Json& json) {
  if (!HasString(json, "key") || !HasNumber(json, "version") ||
      !HasString(json, "value")) {
    return std::nullopt;
  }
  auto value = FromBase64(json["value"].get_ref<const std::string&>());
  if (!value) {
    return std::nullopt;
  }
  return StoredObject{json["key"], std::move(*value), json["version"]};
}

std::string StringOrEmpty(const Json& json, const char* name) {
  return HasString(json, name) ? json[name].get<std::string>() : "";
}

}  // namespace

std::optional<ObjectStore::Listing> ParseListing(const std::string& body) {
  const Json json = Parse(body);
  if (!HasNumber(json, "version") || !HasArray(json, "objects")) {
    return std::nullopt;
  }
  ObjectStore::Listing listing;
  listing.version = json["version"];
  for (const auto& item : json["objects"]) {
    auto object = ParseObject(item);
    if (!object) {
      return std::nullopt;
    }
    listing.objects.push_back(std::move(*object));
  }
  return listing;
}

std::optional<InstanceList> ParseInstanceList(const std::string& body) {
  const Json json = Parse(body);
  if (!HasNumber(json, "version") || !HasArray(json, "instances")) {
    return std::nullopt;
  }
  InstanceList list;
  list.version = json["version"];
  for (const auto& item : json["instances"]) {
    if (!HasString(item, "name") || !HasString(item, "state")) {
      return std::nullopt;
    }
    InstanceRecord record;
    record.name = item["name"];
    record.kind = StringOrEmpty(item, "kind");
    record.failure_domain = StringOrEmpty(item, "failure_domain");
    record.region = StringOrEmpty(item, "region");
    record.link_address = StringOrEmpty(item, "link_address");
    // States unknown to this version count as leaving, so that no new work is
    // sent there.
    record.state = item["state"] == "live" ? InstanceState::kLive
                                           : InstanceState::kLeaving;
    list.instances.push_back(std::move(record));
  }
  return list;
}

std::optional<std::variant<WatchEvent, IdleLine>> ParseWatchLine(
    const std::string& line) {
  const Json json = Parse(line);
  if (json.is_object() && json.contains("idle")) {
    return IdleLine{};
  }
  if (!HasString(json, "key") || !HasNumber(json, "version")) {
    return std::nullopt;
  }
  if (json.contains("deleted")) {
    return WatchEvent{json["key"], std::nullopt, json["version"]};
  }
  auto object = ParseObject(json);
  if (!object) {
    return std::nullopt;
  }
  return WatchEvent{object->key, std::move(object->value), object->version};
}

}  // namespace indigolead::internal
