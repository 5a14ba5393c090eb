#include "entry/stream_archive_json.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "core/base/bounded_json.h"
#include "core/base/json_problem.h"
#include "store/base64.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHashBytes = sizeof(StreamIdHash);
constexpr unsigned kBitsPerByte = 8;
constexpr char kDecodeStep[] = "stream_archive.decode";

/// Packs the hashes, least significant byte first.
std::string Pack(const std::vector<StreamIdHash>& ids) {
  std::string bytes;
  bytes.reserve(ids.size() * kHashBytes);
  for (StreamIdHash id : ids) {
    for (std::size_t n = 0; n < kHashBytes; ++n, id >>= kBitsPerByte) {
      bytes.push_back(static_cast<char>(id & 0xffU));
    }
  }
  return bytes;
}

std::optional<std::vector<StreamIdHash>> Unpack(const std::string& text) {
  const auto bytes = FromBase64(text);
  if (!bytes || bytes->size() % kHashBytes != 0) {
    return std::nullopt;
  }
  std::vector<StreamIdHash> ids(bytes->size() / kHashBytes);
  for (std::size_t n = bytes->size(); n-- > 0;) {
    StreamIdHash& id = ids[n / kHashBytes];
    id = id << kBitsPerByte | static_cast<unsigned char>((*bytes)[n]);
  }
  return ids;
}

Error Unreadable(const std::string& peer, std::string detail) {
  return {ErrorCode::kProtocol, kDecodeStep, peer, std::move(detail)};
}

}  // namespace

std::string EncodeStreamArchive(const StreamArchiveReport& report) {
  Json streams = Json::array();
  for (const ArchivedStreams& it : report) {
    streams.push_back({{"service", it.origin.service},
                       {"software", it.origin.software_version},
                       {"ids", ToBase64(Pack(it.ids))}});
  }
  return Json{{"streams", std::move(streams)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

Result<StreamArchiveReport> DecodeStreamArchive(const std::string& peer,
                                                const std::string& text) {
  StreamArchiveReport report;
  const auto parsed = ParseBoundedJson(text, kDecodeStep, peer);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    for (const Json& it : ValueOf(parsed).at("streams")) {
      ArchivedStreams streams{{it.at("service").get<std::string>(),
                               it.at("software").get<std::string>()},
                              {}};
      auto ids = Unpack(it.at("ids").get<std::string>());
      if (!ids) {
        return Unreadable(peer, "\"ids\" are not base64 of 8 bytes each");
      }
      if (streams.origin.service.empty() ||
          streams.origin.software_version.empty()) {
        return Unreadable(peer, "\"service\" or \"software\" is empty");
      }
      streams.ids = *std::move(ids);
      report.push_back(std::move(streams));
    }
  } catch (const Json::exception& e) {
    return Unreadable(peer, JsonProblem(e));
  }
  return report;
}

}  // namespace indigolead
