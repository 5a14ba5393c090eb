#include "entry/stream_origin_service.h"

#include <optional>

#include "entry/events.h"

namespace indigolead {

StreamOriginService::StreamOriginService(boost::asio::io_context* io,
                                         StreamOrigins::Options options,
                                         Clock clock, const EventLog& log)
    : log_(log),
      link_(io, LinkHooks(), log),
      origins_(std::move(options), OriginsHooks(), std::move(clock)) {}

void StreamOriginService::Start(const std::string& address) {
  if (address.empty()) {
    return;
  }
  if (Status status = link_.Listen(address); !IsOk(status)) {
    log_(kStreamOriginsNotShared, {{"error", ToString(ErrorOf(status))}});
  }
}

void StreamOriginService::OnEntries(
    const std::vector<RelayCandidate>& entries) {
  std::vector<StreamPeer> peers;
  peers.reserve(entries.size());
  for (const RelayCandidate& it : entries) {
    peers.push_back({it.name, it.failure_domain, it.address});
  }
  origins_.OnEntries(peers);
}

StreamOrigins::Hooks StreamOriginService::OriginsHooks() {
  StreamOrigins::Hooks hooks;
  hooks.send_record = [this](const StreamPeer& peer, const std::string& id,
                             const StreamOrigin& origin) {
    link_.SendRecord(peer.address, id, origin);
  };
  hooks.send_question = [this](const StreamPeer& peer, const std::string& id) {
    link_.SendQuestion(peer.address, id);
  };
  hooks.send_reply = [this](const std::string& address, const std::string& id,
                            const std::optional<StreamOrigin>& origin) {
    link_.SendReply(address, id, origin);
  };
  return hooks;
}

StreamOriginLink::Hooks StreamOriginService::LinkHooks() {
  StreamOriginLink::Hooks hooks;
  hooks.on_record = [this](const std::string& id, const StreamOrigin& origin) {
    origins_.OnRecord(id, origin);
  };
  hooks.on_question = [this](const std::string& address,
                             const std::string& id) {
    origins_.OnQuestion(address, id);
  };
  hooks.on_reply = [this](const std::string& address, const std::string& id,
                          const std::optional<StreamOrigin>& origin) {
    origins_.OnReply(address, id, origin);
  };
  hooks.on_digest = [this](const std::string& address,
                           const BacklogDigest& digest) {
    if (on_digest_) {
      on_digest_(address, digest);
    }
  };
  return hooks;
}

}  // namespace indigolead
